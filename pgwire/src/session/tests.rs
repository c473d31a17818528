//! Unit tests of `session`.

use super::*;
use crate::values::DateStyle;

#[test]
fn settings_that_the_router_keeps_are_set_and_reset() {
    let start = ValueFormats {
        bytea: Bytea::Escape,
        ..ValueFormats::default()
    };
    let mut session = Session::new(start);
    let reported = session.set("DateStyle", Some("German")).expect("known");
    assert_eq!(reported, Some(("DateStyle", "German, DMY".into())));
    session.set("bytea_output", Some("hex")).expect("known");
    session.set("statement_timeout", Some("2s")).expect("known");
    assert_eq!(
        (
            session.formats.dates.style,
            session.formats.bytea,
            session.timeout_ms
        ),
        (DateStyle::German, Bytea::Hex, Some(2_000))
    );
    session.set("bytea_output", None).expect("known");
    assert_eq!(
        session.formats.bytea,
        Bytea::Escape,
        "the listener's default"
    );
    session.set("all", None).expect("known");
    assert_eq!(session, Session::new(start));
    for (name, value) in [
        ("client_encoding", "UTF-8"),
        ("client_encoding", "unicode"),
        ("application_name", "x"),
    ] {
        assert_eq!(session.set(name, Some(value)), Ok(None), "{name}");
    }
}

#[test]
fn settings_that_the_router_cannot_keep_are_rejected_by_name() {
    // If the router accepted a setting and did not keep it, the client would misread values without any error.
    let mut session = Session::new(ValueFormats::default());
    for (name, value, code) in [
        ("search_path", "other", code::FEATURE_NOT_SUPPORTED),
        ("TimeZone", "UTC", code::FEATURE_NOT_SUPPORTED),
        ("client_encoding", "LATIN1", code::FEATURE_NOT_SUPPORTED),
        (
            "standard_conforming_strings",
            "off",
            code::FEATURE_NOT_SUPPORTED,
        ),
        ("DateStyle", "nonsense", "22023"),
        ("bytea_output", "base64", "22023"),
        ("statement_timeout", "soon", "22023"),
        ("statement_timeout", "99999999999999999999", "22023"),
    ] {
        let fault = session.set(name, Some(value)).expect_err(name);
        assert_eq!(fault.code, code, "{name}: {fault}");
        assert!(fault.text.contains(&name.to_ascii_lowercase()));
    }
    assert_eq!(session, Session::new(ValueFormats::default()));
}

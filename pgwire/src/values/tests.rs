//! Unit tests of `values`.

use super::*;

#[test]
fn bytea_is_escaped_as_before_9_0() {
    let formats = ValueFormats {
        bytea: Bytea::Escape,
        ..ValueFormats::default()
    };
    let said = |value: &[u8]| {
        formats
            .rewrite(kind::BYTEA, value)
            .map(|v| String::from_utf8(v).expect("ASCII"))
    };
    assert_eq!(
        said(b"\\x9f0041205c7e7f").as_deref(),
        Some("\\237\\000A \\\\~\\177")
    );
    assert_eq!(said(b"\\x").as_deref(), Some(""));
    for odd in [&b"\\x9"[..], b"\\xzz", b"plain", b""] {
        assert_eq!(said(odd), None, "{odd:?} stays as it came");
    }
    assert_eq!(formats.rewrite(25, b"\\x9f"), None, "a text is no bytea");
    assert_eq!(ValueFormats::default().rewrite(kind::BYTEA, b"\\x9f"), None);
}

#[test]
fn dates_are_written_in_every_style() {
    let said = |style: &str, kind: u32, text: &str| {
        let dates = DateFormat::default().with_setting(style).expect("a style");
        let new = ValueFormats {
            dates,
            ..ValueFormats::default()
        }
        .rewrite(kind, text.as_bytes());
        new.map(|v| String::from_utf8(v).expect("text"))
    };
    for (style, date, stamp, zoned) in [
        (
            "SQL, MDY",
            "12/01/2026",
            "12/01/2026 17:20:00.5",
            "12/01/2026 17:20:00+07",
        ),
        (
            "SQL, DMY",
            "01/12/2026",
            "01/12/2026 17:20:00.5",
            "01/12/2026 17:20:00+07",
        ),
        (
            "Postgres",
            "12-01-2026",
            "Tue Dec 01 17:20:00.5 2026",
            "Tue Dec 01 17:20:00 2026 +07",
        ),
        (
            "postgres, dmy",
            "01-12-2026",
            "Tue 01 Dec 17:20:00.5 2026",
            "Tue 01 Dec 17:20:00 2026 +07",
        ),
        (
            "German",
            "01.12.2026",
            "01.12.2026 17:20:00.5",
            "01.12.2026 17:20:00+07",
        ),
    ] {
        assert_eq!(said(style, kind::DATE, "2026-12-01").as_deref(), Some(date));
        assert_eq!(
            said(style, kind::TIMESTAMP, "2026-12-01 17:20:00.5").as_deref(),
            Some(stamp)
        );
        assert_eq!(
            said(style, kind::TIMESTAMPTZ, "2026-12-01 17:20:00+07").as_deref(),
            Some(zoned)
        );
    }
    assert_eq!(
        said("SQL", kind::DATE, "0044-03-15 BC").as_deref(),
        Some("03/15/0044 BC")
    );
    assert_eq!(
        said("Postgres", kind::TIMESTAMP, "2000-02-29 00:00:00").as_deref(),
        Some("Tue Feb 29 00:00:00 2000")
    );
    for odd in [
        "infinity",
        "-infinity",
        "2026-13-01",
        "2026-1-1",
        "12/01/2026",
        "",
        "2026-12-01-01",
    ] {
        assert_eq!(
            said("SQL", kind::DATE, odd),
            None,
            "{odd:?} stays as it came"
        );
    }
    assert_eq!(said("ISO", kind::DATE, "2026-12-01"), None);
    assert_eq!(DateFormat::default().with_setting("nonsense"), None);
    assert_eq!(
        DateFormat::default()
            .with_setting("German")
            .map(DateFormat::setting_value)
            .as_deref(),
        Some("German, DMY")
    );
}

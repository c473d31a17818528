//! Unit tests of `values`.

use super::*;

#[test]
fn bytea_is_converted_to_the_escape_format_of_old_versions() {
    let formats = ValueFormats {
        bytea: Bytea::Escape,
        ..ValueFormats::default()
    };
    let reformat = |value: &[u8]| {
        formats
            .rewrite(type_oid::BYTEA, value)
            .map(|v| String::from_utf8(v).expect("ASCII"))
    };
    assert_eq!(
        reformat(b"\\x9f0041205c7e7f").as_deref(),
        Some("\\237\\000A \\\\~\\177")
    );
    assert_eq!(reformat(b"\\x").as_deref(), Some(""));
    for unchanged in [&b"\\x9"[..], b"\\xzz", b"plain", b""] {
        assert_eq!(reformat(unchanged), None, "{unchanged:?} stays unchanged");
    }
    assert_eq!(
        formats.rewrite(25, b"\\x9f"),
        None,
        "a text is not converted"
    );
    assert_eq!(
        ValueFormats::default().rewrite(type_oid::BYTEA, b"\\x9f"),
        None
    );
}

#[test]
fn dates_are_reformatted_in_every_style() {
    let reformat = |style: &str, type_oid: u32, text: &str| {
        let dates = DateFormat::default().with_setting(style).expect("a style");
        let reformatted = ValueFormats {
            dates,
            ..ValueFormats::default()
        }
        .rewrite(type_oid, text.as_bytes());
        reformatted.map(|v| String::from_utf8(v).expect("text"))
    };
    for (style, date, timestamp, timestamp_tz) in [
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
        assert_eq!(
            reformat(style, type_oid::DATE, "2026-12-01").as_deref(),
            Some(date)
        );
        assert_eq!(
            reformat(style, type_oid::TIMESTAMP, "2026-12-01 17:20:00.5").as_deref(),
            Some(timestamp)
        );
        assert_eq!(
            reformat(style, type_oid::TIMESTAMPTZ, "2026-12-01 17:20:00+07").as_deref(),
            Some(timestamp_tz)
        );
    }
    assert_eq!(
        reformat("SQL", type_oid::DATE, "0044-03-15 BC").as_deref(),
        Some("03/15/0044 BC")
    );
    assert_eq!(
        reformat("Postgres", type_oid::TIMESTAMP, "2000-02-29 00:00:00").as_deref(),
        Some("Tue Feb 29 00:00:00 2000")
    );
    for unchanged in [
        "infinity",
        "-infinity",
        "2026-13-01",
        "2026-1-1",
        "12/01/2026",
        "",
        "2026-12-01-01",
    ] {
        assert_eq!(
            reformat("SQL", type_oid::DATE, unchanged),
            None,
            "{unchanged:?} stays unchanged"
        );
    }
    assert_eq!(reformat("ISO", type_oid::DATE, "2026-12-01"), None);
    assert_eq!(DateFormat::default().with_setting("nonsense"), None);
    assert_eq!(
        DateFormat::default()
            .with_setting("German")
            .map(DateFormat::setting_value)
            .as_deref(),
        Some("German, DMY")
    );
}

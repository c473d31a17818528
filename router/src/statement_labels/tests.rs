//! Unit tests of `statement_labels`.

use super::*;

const READ: &str = "/* id=9b,c=basket,t=acme,d=480,cluster=2,after=17 */ SELECT body FROM objects WHERE oid = '7f3a'";

#[test]
fn only_the_timeout_of_a_statement_changes() {
    let labels = read_labels(READ).expect("well formed");
    assert_eq!(
        (labels.class, labels.tenant, labels.group),
        ("basket", Some("acme"), 2)
    );
    assert_eq!(
        (labels.timeout_ms, labels.min_position_ms, labels.quoted_key),
        (480, Some(17), Some("7f3a"))
    );
    let mut out = Vec::new();
    Statement::new(READ, &labels, Shape::OneValue).append_query(&mut out, 33);
    let mut want = Vec::new();
    put_query(&mut want, &READ.replace("d=480", "d=33"));
    assert_eq!(out, want);
}

/// Guards against turns of seconds: each name was compared with all before it.
#[test]
fn very_many_labels_are_rejected_at_once() {
    let labels: String = (0..300_000).map(|number| format!("a{number}=,")).collect();
    let began_at = std::time::Instant::now();
    let text = format!("/* {labels}id=1,c=a,d=5,cluster=1 */ SELECT 1");
    assert_eq!(read_labels(&text), Err(Mislabelled::TooMany));
    assert!(
        began_at.elapsed().as_millis() < 100,
        "{:?}",
        began_at.elapsed()
    );
    let few: String = (0..25).map(|number| format!("a{number}=,")).collect();
    let text = format!("/* {few}id=1,c=a,d=5,cluster=1 */ SELECT 1");
    assert!(read_labels(&text).is_ok());
}

#[test]
fn faults_in_comments_are_named_and_nothing_panics() {
    for (text, complaint) in [
        ("SELECT 1", "comment"),
        ("/* id=1", "does not end"),
        ("/**/ SELECT 1", "not name=value"),
        ("/* c=a,d=x,cluster=1 */", "d: \"x\""),
        ("/* d=5,cluster=1 */", "class"),
        ("/* c=a */", "cluster"),
        ("/* c=a,cluster=-1 */", "cluster: \"-1\""),
        ("/* id=1,id=2 */", "id is told twice"),
        ("/* id=a b */", "id: expected"),
        ("/* c=a,cluster=1,d=5 */", "id is missing"),
        ("/* id=1,c=a,cluster=1 */", "d, the patience"),
        ("/* id=1,c=a,cluster=1,d=-5 */", "d: \"-5\""),
    ] {
        let fault = read_labels(text).expect_err(text).to_string();
        assert!(fault.contains(complaint), "{text}: {fault}");
    }
}

#[test]
fn lengths_out_of_bounds_are_malformed_and_incomplete_messages_are_not() {
    assert_eq!(parse_message(b"Q\0\0\0\x03", 100), Err(Malformed));
    assert_eq!(parse_message(b"Q\xff\xff\xff\xff", 100), Err(Malformed));
    for part in [&b""[..], b"Q", b"Q\0\0\0", b"Q\0\0\0\x06a"] {
        assert_eq!(parse_message(part, 100), Ok(None));
    }
    assert_eq!(parse_single_value(b"\0\x01\0\0\0\x02ab"), Some(&b"ab"[..]));
    assert_eq!(
        (
            parse_single_value(b"\0\x02\0\0\0\x02ab"),
            parse_single_value(b"\0\x01\xff\xff\xff\xff")
        ),
        (None, None)
    );
}

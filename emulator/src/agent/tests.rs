//! Unit tests of `agent`.

#[test]
fn numbers_are_read_from_the_first_line_of_a_request() {
    let line = "GET /api/targets?after=41&wait_ms=200 HTTP/1.1\r\n";
    assert_eq!(
        (
            super::query_number(line, "after"),
            super::query_number(line, "wait_ms")
        ),
        (Some(41), Some(200))
    );
    assert_eq!(
        super::query_number("GET /api/targets HTTP/1.1", "after"),
        None
    );
}

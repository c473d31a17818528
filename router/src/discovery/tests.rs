//! Unit tests of `discovery`.

use super::*;

#[test]
fn answers_are_parsed_only_when_complete_in_every_framing() {
    let answer =
        |bytes: &[u8], has_ended| parse_answer(bytes, has_ended).map_err(|e| e.to_string());
    let complete = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{  }HTTP";
    assert_eq!(
        answer(complete, false),
        Ok(Some((b"{  }".to_vec(), complete.len() - 4)))
    );
    for end in 0..complete.len() - 4 {
        assert_eq!(answer(&complete[..end], false), Ok(None));
    }
    let chunked =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n2\r\n }\r\n0\r\n\r\n";
    assert_eq!(
        answer(chunked, false),
        Ok(Some((b"{ }".to_vec(), chunked.len())))
    );
    assert_eq!(answer(&chunked[..chunked.len() - 3], false), Ok(None));
    let without_length = b"HTTP/1.1 200 OK\r\n\r\n{}";
    assert_eq!(
        (answer(without_length, false), answer(without_length, true)),
        (Ok(None), Ok(Some((b"{}".to_vec(), without_length.len()))))
    );
    assert!(answer(b"HTTP/1.1 503 No\r\n\r\n", false).is_err_and(|e| e.contains("503")));
    assert!(answer(b"nonsense\r\n", false).is_err());
}

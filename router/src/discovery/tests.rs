//! Unit tests of `discovery`.

use super::*;

#[test]
fn answers_are_taken_whole_in_every_form() {
    let answer = |bytes: &[u8], ended| answer(bytes, ended).map_err(|e| e.to_string());
    let whole = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{  }HTTP";
    assert_eq!(
        answer(whole, false),
        Ok(Some((b"{  }".to_vec(), whole.len() - 4)))
    );
    for end in 0..whole.len() - 4 {
        assert_eq!(answer(&whole[..end], false), Ok(None));
    }
    let pieces =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n2\r\n }\r\n0\r\n\r\n";
    assert_eq!(
        answer(pieces, false),
        Ok(Some((b"{ }".to_vec(), pieces.len())))
    );
    assert_eq!(answer(&pieces[..pieces.len() - 3], false), Ok(None));
    let open = b"HTTP/1.1 200 OK\r\n\r\n{}";
    assert_eq!(
        (answer(open, false), answer(open, true)),
        (Ok(None), Ok(Some((b"{}".to_vec(), open.len()))))
    );
    assert!(answer(b"HTTP/1.1 503 No\r\n\r\n", false).is_err_and(|e| e.contains("503")));
    assert!(answer(b"nonsense\r\n", false).is_err());
}

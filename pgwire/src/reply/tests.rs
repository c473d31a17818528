//! Unit tests of `reply`.

use super::*;

const COLUMN: &[u8] = b"\0\x01body\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
const ROW: &[u8] = b"\0\x01\0\0\0\x01v";
const TOO_MANY_CONNECTIONS_ERROR: &[u8] = b"SERROR\0C53300\0Mno\0\0";

fn outcome_of(shape: Shape, messages: &[(u8, &[u8])]) -> Result<Outcome, InvalidReply> {
    let mut reply = Reply::new(shape);
    for (kind, body) in messages {
        reply.read_message(&Message {
            kind: *kind,
            body,
            raw: body,
        })?;
    }
    Ok(reply.outcome())
}

#[test]
fn with_one_value_only_a_complete_reply_in_order_is_served() {
    // A client that receives anything but the value made for its request takes it for the answer and never gets its own.
    let (column, row, tag) = ((b'T', COLUMN), (b'D', ROW), (b'C', &b"SELECT 1\0"[..]));
    let status = (b'S', &b"replication_role\0standby\0"[..]);
    let one_value = |messages: &[(u8, &[u8])]| outcome_of(Shape::OneValue, messages);
    assert_eq!(one_value(&[column, row, tag, status]), Ok(Outcome::Served));
    assert_eq!(one_value(&[column, tag]), Ok(Outcome::Failed));
    // The type and format of the column may be corrupted on the way; rejecting the reply for it would lose an answer whose
    // value is intact.
    let mut corrupted_column = COLUMN.to_vec();
    corrupted_column[20..].fill(0x7f);
    assert_eq!(
        one_value(&[(b'T', &corrupted_column), row, tag]),
        Ok(Outcome::Served)
    );
    assert_eq!(
        one_value(&[(b'E', TOO_MANY_CONNECTIONS_ERROR)]),
        Ok(Outcome::Overloaded)
    );
    for invalid in [
        &[row][..],
        &[column, row, row],
        &[column, row, tag, row],
        &[column, row, tag, tag],
        &[column, column],
        &[(b'T', &COLUMN[1..])],
        &[(b'T', b"")],
        &[column, (b'D', b"\0\x01\0\0\0\x02v")],
        &[column, (b'D', b"\0\x01\xff\xff\xff\xff")],
        &[column, row, (b'C', b"SELECT 1")],
        &[column, row, (b'C', b"\x7f\x01\0")],
        &[column, row, (b'E', TOO_MANY_CONNECTIONS_ERROR)],
        &[(b'E', b"SERROR\0C53")],
        &[(b'E', b"noise")],
        &[(b'S', b"replication_role\0standby")],
        &[(b'S', b"a\0b\0c\0")],
        &[(b'I', b"")],
        &[(b'A', b"\0\0\0\x01a\0b\0")],
        &[(b'H', b"\0\0\0")],
    ] {
        assert_eq!(one_value(invalid), Err(InvalidReply), "{invalid:?}");
    }
}

#[test]
fn with_any_shape_all_results_are_served_and_an_error_is_never_taken_for_success() {
    let (column, row, tag) = ((b'T', COLUMN), (b'D', ROW), (b'C', &b"SELECT 1\0"[..]));
    let (rejected, empty) = ((b'E', TOO_MANY_CONNECTIONS_ERROR), (b'I', &b""[..]));
    let any_shape = |messages: &[(u8, &[u8])]| outcome_of(Shape::Any, messages);
    for served in [
        &[column, row, row, tag][..],
        &[column, tag],
        &[empty],
        &[column, row, tag, column, tag],
        &[(b'C', b"INSERT 0 1\0")],
        &[
            (b'H', b"\0\0\0"),
            (b'd', b"1\n"),
            (b'c', b""),
            (b'C', b"COPY 1\0"),
        ],
    ] {
        assert_eq!(any_shape(served), Ok(Outcome::Served), "{served:?}");
    }
    assert_eq!(any_shape(&[rejected]), Ok(Outcome::Overloaded));
    let unique_violation = (b'E', &b"SERROR\0C23505\0Mtwice\0\0"[..]);
    assert_eq!(
        (
            any_shape(&[unique_violation]),
            any_shape(&[column, row, tag, unique_violation])
        ),
        (Ok(Outcome::StatementError), Ok(Outcome::StatementError))
    );
    assert_eq!(
        outcome_of(Shape::OneValue, &[unique_violation]),
        Ok(Outcome::Failed),
        "with one value, no error is taken for an error of the statement"
    );
    for code in [
        "XX000", "40003", "57P01", "53200", "58030", "08006", "99999",
    ] {
        let text = format!("SERROR\0C{code}\0Mno\0\0");
        assert_eq!(
            any_shape(&[(b'E', text.as_bytes())]),
            Ok(Outcome::Failed),
            "{code} may have had an effect"
        );
    }
    for failed in [
        &[column, row, rejected][..],
        &[column, row, tag, rejected],
        &[(b'H', b"\0\0\0"), (b'd', b"1\n"), rejected],
        &[(b'G', b"\0\0\0"), rejected],
        &[column, row],
        &[],
    ] {
        assert_eq!(any_shape(failed), Ok(Outcome::Failed), "{failed:?}");
    }
    for invalid in [
        &[column, rejected, tag][..],
        &[(b'd', b"")],
        &[column, (b'D', b"\0\0")],
        &[(b'1', b"")],
        &[(b'W', b"\0\0\0")],
    ] {
        assert_eq!(any_shape(invalid), Err(InvalidReply), "{invalid:?}");
    }
}

#[test]
fn a_reply_that_leaves_a_transaction_open_fails_and_its_connection_is_not_reused() {
    let mut reply = Reply::new(Shape::Any);
    reply
        .read_message(&Message {
            kind: b'C',
            body: b"BEGIN\0",
            raw: b"",
        })
        .expect("a tag");
    assert_eq!(
        (reply.read_ready(b"T"), reply.outcome()),
        (Ok(false), Outcome::Failed)
    );
    let mut incomplete = Reply::new(Shape::Any);
    assert_eq!(incomplete.read_ready(b"I"), Err(InvalidReply));
}

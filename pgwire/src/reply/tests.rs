//! Unit tests of `reply`.

use super::*;

const COLUMN: &[u8] = b"\0\x01body\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
const ROW: &[u8] = b"\0\x01\0\0\0\x01v";
const NO: &[u8] = b"SERROR\0C53300\0Mno\0\0";

fn of(shape: Shape, messages: &[(u8, &[u8])]) -> Result<Outcome, InvalidReply> {
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
fn on_the_platform_only_a_whole_reply_in_its_order_is_served() {
    // Danger: a client served with anything but the value made for its request loses it.
    let (column, row, tag) = ((b'T', COLUMN), (b'D', ROW), (b'C', &b"SELECT 1\0"[..]));
    let status = (b'S', &b"replication_role\0standby\0"[..]);
    let one = |messages: &[(u8, &[u8])]| of(Shape::OneValue, messages);
    assert_eq!(one(&[column, row, tag, status]), Ok(Outcome::Served));
    assert_eq!(one(&[column, tag]), Ok(Outcome::Failed));
    // Danger: the column's type or form spoilt on its way would cost an answer whose value is whole.
    let mut odd = COLUMN.to_vec();
    odd[20..].fill(0x7f);
    assert_eq!(one(&[(b'T', &odd), row, tag]), Ok(Outcome::Served));
    assert_eq!(one(&[(b'E', NO)]), Ok(Outcome::Overloaded));
    for spoilt in [
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
        &[column, row, (b'E', NO)],
        &[(b'E', b"SERROR\0C53")],
        &[(b'E', b"noise")],
        &[(b'S', b"replication_role\0standby")],
        &[(b'S', b"a\0b\0c\0")],
        &[(b'I', b"")],
        &[(b'A', b"\0\0\0\x01a\0b\0")],
        &[(b'H', b"\0\0\0")],
    ] {
        assert_eq!(one(spoilt), Err(InvalidReply), "{spoilt:?}");
    }
}

#[test]
fn elsewhere_results_of_every_kind_are_taken_and_an_error_never_looks_like_success() {
    let (column, row, tag) = ((b'T', COLUMN), (b'D', ROW), (b'C', &b"SELECT 1\0"[..]));
    let (no, empty) = ((b'E', NO), (b'I', &b""[..]));
    let any = |messages: &[(u8, &[u8])]| of(Shape::Any, messages);
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
        assert_eq!(any(served), Ok(Outcome::Served), "{served:?}");
    }
    assert_eq!(any(&[no]), Ok(Outcome::Overloaded));
    let blamed = (b'E', &b"SERROR\0C23505\0Mtwice\0\0"[..]);
    assert_eq!(
        (any(&[blamed]), any(&[column, row, tag, blamed])),
        (Ok(Outcome::StatementError), Ok(Outcome::StatementError))
    );
    assert_eq!(
        of(Shape::OneValue, &[blamed]),
        Ok(Outcome::Failed),
        "the platform's table knows no such thing"
    );
    for code in [
        "XX000", "40003", "57P01", "53200", "58030", "08006", "99999",
    ] {
        let text = format!("SERROR\0C{code}\0Mno\0\0");
        assert_eq!(
            any(&[(b'E', text.as_bytes())]),
            Ok(Outcome::Failed),
            "{code} may have had an effect"
        );
    }
    for failed in [
        &[column, row, no][..],
        &[column, row, tag, no],
        &[(b'H', b"\0\0\0"), (b'd', b"1\n"), no],
        &[(b'G', b"\0\0\0"), no],
        &[column, row],
        &[],
    ] {
        assert_eq!(any(failed), Ok(Outcome::Failed), "{failed:?}");
    }
    for spoilt in [
        &[column, no, tag][..],
        &[(b'd', b"")],
        &[column, (b'D', b"\0\0")],
        &[(b'1', b"")],
        &[(b'W', b"\0\0\0")],
    ] {
        assert_eq!(any(spoilt), Err(InvalidReply), "{spoilt:?}");
    }
}

#[test]
fn a_transaction_left_open_has_failed_and_its_connection_ends() {
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
    let mut early = Reply::new(Shape::Any);
    assert_eq!(early.read_ready(b"I"), Err(InvalidReply));
}

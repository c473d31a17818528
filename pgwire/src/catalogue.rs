//! Every message that a client or a server can send, and what becomes of it.
//!
//! This is the table that the operators' page prints, that the router acts by, and that the test of translation walks: a
//! message without a line here has no way through. Sources: "Frontend/Backend Protocol" of the PostgreSQL manuals, for 2.0
//! that of release 7.3, for 3.0 and 3.2 that of release 18.

use crate::Version;
use std::fmt::Write as _;

/// Who sends a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// A client, to the router.
    Client,
    /// A server, to the router.
    Server,
}

/// What becomes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// It goes on, in the other side's version where that differs only in framing.
    Pass,
    /// It goes on, and what it says changes.
    Rewrite,
    /// The router reads it and passes nothing on.
    Absorb,
    /// The router answers it itself.
    Answer,
    /// The one who sent it hears an error, or the attempt fails.
    Reject,
}

impl Treatment {
    /// As the table writes it.
    pub fn label(self) -> &'static str {
        match self {
            Treatment::Pass => "passed",
            Treatment::Rewrite => "rewritten",
            Treatment::Absorb => "absorbed",
            Treatment::Answer => "answered here",
            Treatment::Reject => "refused",
        }
    }
}

/// One kind of message.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Who sends it.
    pub side: Side,
    /// Its first byte; none for packets without a kind.
    pub tag: Option<u8>,
    /// Its name.
    pub name: &'static str,
    /// The versions that have it.
    pub versions: &'static [Version],
    /// What becomes of it.
    pub treatment: Treatment,
    /// Why.
    pub why: &'static str,
}

use Side::{Client, Server};
use Treatment::{Absorb, Answer, Pass, Reject, Rewrite};
const V2: &[Version] = &[Version::V2];
const V3: &[Version] = &[Version::V30, Version::V32];
const ALL: &[Version] = &[Version::V2, Version::V30, Version::V32];

const fn of(
    side: Side,
    tag: u8,
    name: &'static str,
    versions: &'static [Version],
    treatment: Treatment,
    why: &'static str,
) -> Entry {
    Entry {
        side,
        tag: if tag == 0 { None } else { Some(tag) },
        name,
        versions,
        treatment,
        why,
    }
}

/// The catalogue.
pub const ENTRIES: &[Entry] = &[
    of(
        Client,
        0,
        "StartupMessage",
        V3,
        Answer,
        "the session ends at the router; a newer minor version is told the newest that is spoken here",
    ),
    of(
        Client,
        0,
        "StartupPacket",
        V2,
        Answer,
        "the session ends at the router; texts of fixed width, without options",
    ),
    of(
        Client,
        0,
        "SSLRequest",
        ALL,
        Answer,
        "N: no encryption on this listener",
    ),
    of(
        Client,
        0,
        "GSSENCRequest",
        V3,
        Answer,
        "N: no encryption on this listener",
    ),
    of(
        Client,
        0,
        "CancelRequest",
        ALL,
        Answer,
        "the key is the router's own; the request under way is ended, and its server asked to stop",
    ),
    of(
        Client,
        b'p',
        "PasswordMessage",
        V3,
        Answer,
        "checked against the verifiers; no server ever sees it",
    ),
    of(
        Client,
        0,
        "PasswordPacket",
        V2,
        Answer,
        "checked against the verifiers; no server ever sees it",
    ),
    of(
        Client,
        b'p',
        "SASLInitialResponse",
        V3,
        Answer,
        "SCRAM-SHA-256 ends at the router",
    ),
    of(
        Client,
        b'p',
        "SASLResponse",
        V3,
        Answer,
        "SCRAM-SHA-256 ends at the router",
    ),
    of(
        Client,
        b'p',
        "GSSResponse",
        V3,
        Reject,
        "GSSAPI is never asked for",
    ),
    of(
        Client,
        b'Q',
        "Query",
        ALL,
        Rewrite,
        "labels go in front, then it is a request like any other",
    ),
    of(
        Client,
        b'F',
        "FunctionCall",
        ALL,
        Reject,
        "nothing says whether a function writes; 0A000, and the session stays",
    ),
    of(
        Client,
        b'P',
        "Parse",
        V3,
        Reject,
        "extended queries: 0A000, and all up to Sync is skipped",
    ),
    of(
        Client,
        b'B',
        "Bind",
        V3,
        Reject,
        "extended queries: 0A000, and all up to Sync is skipped",
    ),
    of(
        Client,
        b'D',
        "Describe",
        V3,
        Reject,
        "extended queries: 0A000, and all up to Sync is skipped",
    ),
    of(
        Client,
        b'E',
        "Execute",
        V3,
        Reject,
        "extended queries: 0A000, and all up to Sync is skipped",
    ),
    of(
        Client,
        b'C',
        "Close",
        V3,
        Reject,
        "extended queries: 0A000, and all up to Sync is skipped",
    ),
    of(
        Client,
        b'H',
        "Flush",
        V3,
        Reject,
        "extended queries: 0A000, and all up to Sync is skipped",
    ),
    of(
        Client,
        b'S',
        "Sync",
        V3,
        Answer,
        "ReadyForQuery ends the skipping",
    ),
    of(
        Client,
        b'd',
        "CopyData",
        V3,
        Absorb,
        "no copy is ever begun; what comes late, after an error, is skipped as servers do",
    ),
    of(Client, b'c', "CopyDone", V3, Absorb, "see CopyData"),
    of(Client, b'f', "CopyFail", V3, Absorb, "see CopyData"),
    of(
        Client,
        b'X',
        "Terminate",
        ALL,
        Answer,
        "the session ends; pooled connections to servers stay",
    ),
    of(
        Server,
        b'R',
        "AuthenticationOk",
        V3,
        Absorb,
        "the router's own login",
    ),
    of(
        Server,
        b'R',
        "AuthenticationKerberosV5",
        V3,
        Reject,
        "the connection ends, and the log names what both sides can do",
    ),
    of(
        Server,
        b'R',
        "AuthenticationCleartextPassword",
        V3,
        Absorb,
        "the router's own login",
    ),
    of(
        Server,
        b'R',
        "AuthenticationMD5Password",
        V3,
        Absorb,
        "the router's own login",
    ),
    of(
        Server,
        b'R',
        "AuthenticationGSS",
        V3,
        Reject,
        "the connection ends, and the log names what both sides can do",
    ),
    of(
        Server,
        b'R',
        "AuthenticationGSSContinue",
        V3,
        Reject,
        "GSSAPI is never begun",
    ),
    of(
        Server,
        b'R',
        "AuthenticationSSPI",
        V3,
        Reject,
        "the connection ends, and the log names what both sides can do",
    ),
    of(
        Server,
        b'R',
        "AuthenticationSASL",
        V3,
        Absorb,
        "the router's own login, where SCRAM-SHA-256 is among the methods",
    ),
    of(
        Server,
        b'R',
        "AuthenticationSASLContinue",
        V3,
        Absorb,
        "the router's own login",
    ),
    of(
        Server,
        b'R',
        "AuthenticationSASLFinal",
        V3,
        Absorb,
        "the router's own login; a server that cannot prove itself is left",
    ),
    of(
        Server,
        b'K',
        "BackendKeyData",
        V3,
        Absorb,
        "kept for cancels; clients get keys of the router's own, of four bytes, as old clients read",
    ),
    of(
        Server,
        b'v',
        "NegotiateProtocolVersion",
        V3,
        Absorb,
        "the router goes on with the older minor version",
    ),
    of(
        Server,
        b'S',
        "ParameterStatus",
        V3,
        Absorb,
        "a pooled connection's settings are no client's; each client was told its own at the start",
    ),
    of(
        Server,
        b'T',
        "RowDescription",
        V3,
        Rewrite,
        "2.0 has neither table, column number nor format",
    ),
    of(
        Server,
        b'D',
        "DataRow",
        V3,
        Rewrite,
        "2.0 marks NULL in a bitmap; bytea and dates are written as the client's settings say",
    ),
    of(
        Server,
        b'C',
        "CommandComplete",
        V3,
        Rewrite,
        "2.0 knows SELECT and FETCH without a count",
    ),
    of(
        Server,
        b'I',
        "EmptyQueryResponse",
        V3,
        Pass,
        "2.0 has an empty text with it",
    ),
    of(
        Server,
        b'E',
        "ErrorResponse",
        V3,
        Rewrite,
        "2.0 has one text; fields that 3.0 did not have are left out",
    ),
    of(
        Server,
        b'N',
        "NoticeResponse",
        V3,
        Rewrite,
        "as ErrorResponse; it is no part of the outcome",
    ),
    of(
        Server,
        b'A',
        "NotificationResponse",
        V3,
        Absorb,
        "LISTEN is refused, so a notification on a pooled connection is for no client",
    ),
    of(
        Server,
        b'Z',
        "ReadyForQuery",
        V3,
        Rewrite,
        "2.0 has no state with it; a transaction left open fails the attempt, and the connection ends",
    ),
    of(
        Server,
        b'G',
        "CopyInResponse",
        V3,
        Reject,
        "the server is told CopyFail, and the client hears the error",
    ),
    of(
        Server,
        b'H',
        "CopyOutResponse",
        V3,
        Pass,
        "2.0 sends bare lines; held whole, and bounded, like any answer",
    ),
    of(
        Server,
        b'W',
        "CopyBothResponse",
        V3,
        Reject,
        "replication is no request; the attempt fails",
    ),
    of(Server, b'd', "CopyData", V3, Pass, "within a copy out only"),
    of(
        Server,
        b'c',
        "CopyDone",
        V3,
        Pass,
        "within a copy out only; 2.0 ends with a line of its own",
    ),
    of(
        Server,
        b'V',
        "FunctionCallResponse",
        V3,
        Reject,
        "no function is ever called; the attempt fails",
    ),
    of(
        Server,
        b'1',
        "ParseComplete",
        V3,
        Reject,
        "answers an extended query, and none was asked; the attempt fails",
    ),
    of(
        Server,
        b'2',
        "BindComplete",
        V3,
        Reject,
        "see ParseComplete",
    ),
    of(
        Server,
        b'3',
        "CloseComplete",
        V3,
        Reject,
        "see ParseComplete",
    ),
    of(Server, b'n', "NoData", V3, Reject, "see ParseComplete"),
    of(
        Server,
        b's',
        "PortalSuspended",
        V3,
        Reject,
        "see ParseComplete",
    ),
    of(
        Server,
        b't',
        "ParameterDescription",
        V3,
        Reject,
        "see ParseComplete",
    ),
];

/// What is done with a message that is not in the catalogue.
pub const UNKNOWN: &str = "a client's ends its session with 08P01; a server's ends the connection, and the attempt has failed: \
it may have run, and no message after it can be trusted to mean what it seems to";

/// The entries for a tag.
pub fn find(side: Side, tag: u8, version: Version) -> impl Iterator<Item = &'static Entry> {
    ENTRIES
        .iter()
        .filter(move |e| e.side == side && e.tag == Some(tag) && e.versions.contains(&version))
}

/// The table for the operators' page.
pub fn table() -> String {
    let mut out = String::from(
        "| from | message | versions | what becomes of it | why |\n| --- | --- | --- | --- | --- |\n",
    );
    for entry in ENTRIES {
        let from = if entry.side == Client {
            "client"
        } else {
            "server"
        };
        let tag = entry
            .tag
            .map_or(String::new(), |tag| format!(" `{}`", tag as char));
        let versions: Vec<&str> = entry.versions.iter().map(|v| v.name()).collect();
        let _ = writeln!(
            out,
            "| {from} | {}{tag} | {} | {} | {} |",
            entry.name,
            versions.join(", "),
            entry.treatment.label(),
            entry.why
        );
    }
    let _ = writeln!(
        out,
        "\nA message of a kind that is not in the table: {UNKNOWN}."
    );
    out
}

#[cfg(test)]
mod tests;

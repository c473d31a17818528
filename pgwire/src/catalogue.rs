//! Every message that a client or a server can send, and what the router does with it.
//!
//! The operators' page prints this table, and the translator test checks that the router handles each entry as stated. A
//! message without an entry is never passed on. Sources: the chapter "Frontend/Backend Protocol" of the PostgreSQL manual,
//! that of release 7.3 for version 2.0 and that of release 18 for versions 3.0 and 3.2.

use crate::Version;
use std::fmt::Write as _;

/// The sender of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// A client sends it to the router.
    Client,
    /// A server sends it to the router.
    Server,
}

/// What the router does with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// The message is forwarded; only its framing may change, to that of the receiver's version.
    Pass,
    /// The message is forwarded with changed contents.
    Rewrite,
    /// The router reads the message and forwards nothing.
    Absorb,
    /// The router answers the message itself.
    Answer,
    /// The sender receives an error, or the attempt fails.
    Reject,
}

impl Treatment {
    /// Returns the text that the table prints.
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

/// One type of message.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// The sender.
    pub side: Side,
    /// The first byte, or `None` for packets without a type byte.
    pub tag: Option<u8>,
    /// The name in the PostgreSQL manual.
    pub name: &'static str,
    /// The versions that define this message.
    pub versions: &'static [Version],
    /// What the router does with it.
    pub treatment: Treatment,
    /// The reason for this treatment, as the table prints it.
    pub why: &'static str,
}

use Side::{Client, Server};
use Treatment::{Absorb, Answer, Pass, Reject, Rewrite};
const V2: &[Version] = &[Version::V2];
const V3: &[Version] = &[Version::V30, Version::V32];
const ALL: &[Version] = &[Version::V2, Version::V30, Version::V32];

/// Returns one entry of the catalogue. A `tag` of 0 stands for a packet without a type byte.
const fn entry(
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

/// All messages, those of clients first.
pub const ENTRIES: &[Entry] = &[
    entry(
        Client,
        0,
        "StartupMessage",
        V3,
        Answer,
        "the session ends at the router; a newer minor version is told the newest that is spoken here",
    ),
    entry(
        Client,
        0,
        "StartupPacket",
        V2,
        Answer,
        "the session ends at the router; texts of fixed width, without options",
    ),
    entry(
        Client,
        0,
        "SSLRequest",
        ALL,
        Answer,
        "N: no encryption on this listener",
    ),
    entry(
        Client,
        0,
        "GSSENCRequest",
        V3,
        Answer,
        "N: no encryption on this listener",
    ),
    entry(
        Client,
        0,
        "CancelRequest",
        ALL,
        Answer,
        "the key is the router's own; the request under way is ended, and its server asked to stop",
    ),
    entry(
        Client,
        b'p',
        "PasswordMessage",
        V3,
        Answer,
        "checked against the verifiers; no server ever sees it",
    ),
    entry(
        Client,
        0,
        "PasswordPacket",
        V2,
        Answer,
        "checked against the verifiers; no server ever sees it",
    ),
    entry(
        Client,
        b'p',
        "SASLInitialResponse",
        V3,
        Answer,
        "SCRAM-SHA-256 ends at the router",
    ),
    entry(
        Client,
        b'p',
        "SASLResponse",
        V3,
        Answer,
        "SCRAM-SHA-256 ends at the router",
    ),
    entry(
        Client,
        b'p',
        "GSSResponse",
        V3,
        Reject,
        "GSSAPI is never asked for",
    ),
    entry(
        Client,
        b'Q',
        "Query",
        ALL,
        Rewrite,
        "labels go in front, then it is a request like any other",
    ),
    entry(
        Client,
        b'F',
        "FunctionCall",
        ALL,
        Reject,
        "nothing says whether a function writes; 0A000, and the session stays",
    ),
    entry(
        Client,
        b'P',
        "Parse",
        V3,
        Reject,
        "extended queries: 0A000, and all up to Sync is skipped",
    ),
    entry(
        Client,
        b'B',
        "Bind",
        V3,
        Reject,
        "extended queries: 0A000, and all up to Sync is skipped",
    ),
    entry(
        Client,
        b'D',
        "Describe",
        V3,
        Reject,
        "extended queries: 0A000, and all up to Sync is skipped",
    ),
    entry(
        Client,
        b'E',
        "Execute",
        V3,
        Reject,
        "extended queries: 0A000, and all up to Sync is skipped",
    ),
    entry(
        Client,
        b'C',
        "Close",
        V3,
        Reject,
        "extended queries: 0A000, and all up to Sync is skipped",
    ),
    entry(
        Client,
        b'H',
        "Flush",
        V3,
        Reject,
        "extended queries: 0A000, and all up to Sync is skipped",
    ),
    entry(
        Client,
        b'S',
        "Sync",
        V3,
        Answer,
        "ReadyForQuery ends the skipping",
    ),
    entry(
        Client,
        b'd',
        "CopyData",
        V3,
        Absorb,
        "no copy is ever begun; what comes late, after an error, is skipped as servers do",
    ),
    entry(Client, b'c', "CopyDone", V3, Absorb, "see CopyData"),
    entry(Client, b'f', "CopyFail", V3, Absorb, "see CopyData"),
    entry(
        Client,
        b'X',
        "Terminate",
        ALL,
        Answer,
        "the session ends; pooled connections to servers stay",
    ),
    entry(
        Server,
        b'R',
        "AuthenticationOk",
        V3,
        Absorb,
        "the router's own login",
    ),
    entry(
        Server,
        b'R',
        "AuthenticationKerberosV5",
        V3,
        Reject,
        "the connection ends, and the log names what both sides can do",
    ),
    entry(
        Server,
        b'R',
        "AuthenticationCleartextPassword",
        V3,
        Absorb,
        "the router's own login",
    ),
    entry(
        Server,
        b'R',
        "AuthenticationMD5Password",
        V3,
        Absorb,
        "the router's own login",
    ),
    entry(
        Server,
        b'R',
        "AuthenticationGSS",
        V3,
        Reject,
        "the connection ends, and the log names what both sides can do",
    ),
    entry(
        Server,
        b'R',
        "AuthenticationGSSContinue",
        V3,
        Reject,
        "GSSAPI is never begun",
    ),
    entry(
        Server,
        b'R',
        "AuthenticationSSPI",
        V3,
        Reject,
        "the connection ends, and the log names what both sides can do",
    ),
    entry(
        Server,
        b'R',
        "AuthenticationSASL",
        V3,
        Absorb,
        "the router's own login, where SCRAM-SHA-256 is among the methods",
    ),
    entry(
        Server,
        b'R',
        "AuthenticationSASLContinue",
        V3,
        Absorb,
        "the router's own login",
    ),
    entry(
        Server,
        b'R',
        "AuthenticationSASLFinal",
        V3,
        Absorb,
        "the router's own login; a server that cannot prove itself is left",
    ),
    entry(
        Server,
        b'K',
        "BackendKeyData",
        V3,
        Absorb,
        "kept for cancels; clients get keys of the router's own, of four bytes, as old clients read",
    ),
    entry(
        Server,
        b'v',
        "NegotiateProtocolVersion",
        V3,
        Absorb,
        "the router goes on with the older minor version",
    ),
    entry(
        Server,
        b'S',
        "ParameterStatus",
        V3,
        Absorb,
        "a pooled connection's settings are no client's; each client was told its own at the start",
    ),
    entry(
        Server,
        b'T',
        "RowDescription",
        V3,
        Rewrite,
        "2.0 has neither table, column number nor format",
    ),
    entry(
        Server,
        b'D',
        "DataRow",
        V3,
        Rewrite,
        "2.0 marks NULL in a bitmap; bytea and dates are written as the client's settings say",
    ),
    entry(
        Server,
        b'C',
        "CommandComplete",
        V3,
        Rewrite,
        "2.0 knows SELECT and FETCH without a count",
    ),
    entry(
        Server,
        b'I',
        "EmptyQueryResponse",
        V3,
        Pass,
        "2.0 has an empty text with it",
    ),
    entry(
        Server,
        b'E',
        "ErrorResponse",
        V3,
        Rewrite,
        "2.0 has one text; fields that 3.0 did not have are left out",
    ),
    entry(
        Server,
        b'N',
        "NoticeResponse",
        V3,
        Rewrite,
        "as ErrorResponse; it is no part of the outcome",
    ),
    entry(
        Server,
        b'A',
        "NotificationResponse",
        V3,
        Absorb,
        "LISTEN is refused, so a notification on a pooled connection is for no client",
    ),
    entry(
        Server,
        b'Z',
        "ReadyForQuery",
        V3,
        Rewrite,
        "2.0 has no state with it; a transaction left open fails the attempt, and the connection ends",
    ),
    entry(
        Server,
        b'G',
        "CopyInResponse",
        V3,
        Reject,
        "the server is told CopyFail, and the client hears the error",
    ),
    entry(
        Server,
        b'H',
        "CopyOutResponse",
        V3,
        Pass,
        "2.0 sends bare lines; held whole, and bounded, like any answer",
    ),
    entry(
        Server,
        b'W',
        "CopyBothResponse",
        V3,
        Reject,
        "replication is no request; the attempt fails",
    ),
    entry(Server, b'd', "CopyData", V3, Pass, "within a copy out only"),
    entry(
        Server,
        b'c',
        "CopyDone",
        V3,
        Pass,
        "within a copy out only; 2.0 ends with a line of its own",
    ),
    entry(
        Server,
        b'V',
        "FunctionCallResponse",
        V3,
        Reject,
        "no function is ever called; the attempt fails",
    ),
    entry(
        Server,
        b'1',
        "ParseComplete",
        V3,
        Reject,
        "answers an extended query, and none was asked; the attempt fails",
    ),
    entry(
        Server,
        b'2',
        "BindComplete",
        V3,
        Reject,
        "see ParseComplete",
    ),
    entry(
        Server,
        b'3',
        "CloseComplete",
        V3,
        Reject,
        "see ParseComplete",
    ),
    entry(Server, b'n', "NoData", V3, Reject, "see ParseComplete"),
    entry(
        Server,
        b's',
        "PortalSuspended",
        V3,
        Reject,
        "see ParseComplete",
    ),
    entry(
        Server,
        b't',
        "ParameterDescription",
        V3,
        Reject,
        "see ParseComplete",
    ),
];

/// What the router does with a message that is not in the catalogue, as the table prints it.
pub const UNKNOWN: &str = "a client's ends its session with 08P01; a server's ends the connection, and the attempt has failed: \
it may have run, and no message after it can be trusted to mean what it seems to";

/// Returns the entries for a type byte in a version of the protocol.
pub fn find(side: Side, tag: u8, version: Version) -> impl Iterator<Item = &'static Entry> {
    ENTRIES.iter().filter(move |entry| {
        entry.side == side && entry.tag == Some(tag) && entry.versions.contains(&version)
    })
}

/// Returns the table for the operators' page, in Markdown.
pub fn table() -> String {
    let mut out = String::from(
        "| from | message | versions | what becomes of it | why |\n| --- | --- | --- | --- | --- |\n",
    );
    for message in ENTRIES {
        let from = if message.side == Client {
            "client"
        } else {
            "server"
        };
        let tag = message
            .tag
            .map_or(String::new(), |tag| format!(" `{}`", tag as char));
        let versions: Vec<&str> = message.versions.iter().map(|v| v.name()).collect();
        let _ = writeln!(
            out,
            "| {from} | {}{tag} | {} | {} | {} |",
            message.name,
            versions.join(", "),
            message.treatment.label(),
            message.why
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

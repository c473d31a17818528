//! Why the router closes a client's connection, or ends its session, as the log states it.

use crate::net::stream::PeerState;

/// Why a connection is closed, or its session ends with a lingering close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The client has closed or reset the connection, or it broke.
    Peer(PeerState),
    /// The session ended: the client said so, or was told an error that ends it.
    SessionEnded,
    /// The client was idle for too long, or no first request arrived in time.
    IdleTimeout,
    /// The rest of a message did not arrive in time.
    IncompleteMessage,
    /// The client did not read its answers in time.
    UnreadAnswers,
    /// Another client needs the slot.
    SlotNeeded,
    /// Another connection needs the descriptor.
    DescriptorNeeded,
    /// The router shuts down, and the client is between requests.
    Shutdown,
    /// The lingering close is over.
    LingerEnded,
}

impl CloseReason {
    /// Returns the text for the field `reason` of the log.
    pub(super) fn label(self) -> &'static str {
        match self {
            CloseReason::Peer(PeerState::Reset) => "reset by the client",
            CloseReason::Peer(_) => "closed by the client",
            CloseReason::SessionEnded => "session ended",
            CloseReason::IdleTimeout => "idle",
            CloseReason::IncompleteMessage => "incomplete message",
            CloseReason::UnreadAnswers => "unread answers",
            CloseReason::SlotNeeded => "slot needed",
            CloseReason::DescriptorNeeded => "descriptor needed",
            CloseReason::Shutdown => "shutdown",
            CloseReason::LingerEnded => "linger ended",
        }
    }
}

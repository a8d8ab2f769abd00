//! The reasons for closing a client's connection.

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client has closed its side, or the connection broke.
    PeerClosed,
    /// Reading or writing failed.
    CallFailed,
    /// The client did not send a request, or did not read a reply, in time.
    Overdue,
    /// The connection makes room for a new client.
    Evicted,
    /// The last reply was sent: after `QUIT`, a protocol error or too many errors.
    SessionEnded,
    /// The process shuts down or drains.
    Draining,
    /// The client did not close its side after the last reply.
    LingerTimeout,
}

impl CloseReason {
    /// All reasons, in the order in which they are reported.
    pub const ALL: [CloseReason; 7] = [
        CloseReason::PeerClosed,
        CloseReason::CallFailed,
        CloseReason::Overdue,
        CloseReason::Evicted,
        CloseReason::SessionEnded,
        CloseReason::Draining,
        CloseReason::LingerTimeout,
    ];

    /// The name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::PeerClosed => "peer_closed",
            CloseReason::CallFailed => "call_failed",
            CloseReason::Overdue => "overdue",
            CloseReason::Evicted => "evicted",
            CloseReason::SessionEnded => "session_ended",
            CloseReason::Draining => "draining",
            CloseReason::LingerTimeout => "linger_timeout",
        }
    }
}

//! One HTTP exchange with an endpoint: the response, as far as it has arrived.

use crate::connection::ConnectionId;
use crate::delivery::Runtime;
use crate::http;
use crate::http::Head;
use bellsill_core::interface::Nanos;

/// An answer as far as it has come: its head, once that is whole, and how much more may come.
pub struct ResponseProgress {
    pub(crate) head: Option<Head>,
    pub(crate) left: u64,
}

/// The most that an answer's body may take.
pub const MAX_BODY_BYTES: u64 = 64 * 1024;

/// How long an answer may take from its first byte to its last. One that does not end would else hold its slot until the
/// time-out; it covers peers that stall within an answer. The harm: a slower one counts as spoilt.
pub const RESPONSE_TIMEOUT: Nanos = 1_000_000_000;

impl Runtime {
    /// Reads on in an answer. True: it is whole.
    pub(crate) fn read_response(
        &mut self,
        id: ConnectionId,
        answer: &mut ResponseProgress,
    ) -> Result<bool, http::Malformed> {
        let Some(conn) = self.connections.get_mut(id) else {
            return Err(http::Malformed);
        };
        if answer.head.is_none() {
            answer.head = http::take_head(&mut conn.input)?;
        }
        let Some(head) = &mut answer.head else {
            return Ok(false);
        };
        let whole = head.body.discard(&mut conn.input, &mut answer.left)?;
        // Without a length it ends with its connection.
        Ok(whole || (conn.peer_closed && head.body == http::Body::UntilEnd))
    }
}

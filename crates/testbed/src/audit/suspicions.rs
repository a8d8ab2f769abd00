//! What looks like a violation, until the order in which it was observed is certain.

use crate::record::CallNumber;
use bellsill_core::interface::MessageId;

use super::verdict::Rule;

/// Something that may turn out to be a violation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Suspicion {
    /// The earlier call must turn out to have been closed by then.
    StillInFlight {
        by: MessageId,
        earlier: CallNumber,
        rule: Rule,
    },
    /// The earlier message must turn out to have ended by then.
    NotEnded { by: MessageId, earlier: MessageId },
    /// The answer must turn out to have crossed the closing of its connection.
    AfterDelivery { by: MessageId, answered: CallNumber },
}

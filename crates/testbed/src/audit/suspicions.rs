//! Possible violations that stay pending until the order of the observations is certain.

use crate::record::CallNumber;
use bellsill_core::interface::MessageId;

use super::verdict::Rule;

/// A possible violation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Suspicion {
    /// Cleared if the earlier call has ended by the time of the check.
    StillInFlight {
        by: MessageId,
        earlier: CallNumber,
        rule: Rule,
    },
    /// Cleared if the earlier message has ended by the time of the check.
    NotEnded { by: MessageId, earlier: MessageId },
    /// Cleared if the response crossed the closing of its connection.
    AfterDelivery { by: MessageId, answered: CallNumber },
}

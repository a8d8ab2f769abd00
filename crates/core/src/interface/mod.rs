//! The interface of the decision logic: its settings, its input events and the resulting
//! [`Actions`].

mod actions;
mod attempts;
mod endpoints;
mod ids;
mod messages;
mod settings;

pub use actions::Actions;
pub use attempts::{AttemptEnd, Outcome};
pub use endpoints::{EndpointEntry, EndpointUpdate};
pub use ids::{
    AttemptNumber, ClassId, DestinationId, EndpointId, KeyId, KindId, MessageId, Nanos, ZoneId,
};
pub use messages::{MessageHistory, NewMessage, PossibleRun};
pub use settings::{ClassSettings, DeduplicationScope, DeliverySemantics, Settings, ValueDecay};

//! Notifications: what the platform is owed for messages that were accepted and not delivered, until it has
//! acknowledged it.

mod queue;
mod sender;

pub(crate) use queue::Notifications;
pub(crate) use sender::NotificationEvent;

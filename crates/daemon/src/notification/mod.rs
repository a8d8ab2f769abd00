//! Notifications: reports to the platform of accepted messages that failed or were rejected, sent until acknowledged.

mod queue;
mod sender;

pub(crate) use queue::Notifications;
pub(crate) use sender::NotificationEvent;

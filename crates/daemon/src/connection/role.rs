//! The role of a connection's peer.

use bellsill_core::interface::EndpointId;

/// The role of a connection's peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Role {
    /// A client that submits messages.
    Client,
    /// An endpoint that messages are delivered to.
    Endpoint(EndpointId),
    /// Discovery or a control process, which sends the watched configuration.
    Watch,
    /// The platform, which receives notifications.
    Notifications,
    /// An operator, who sends admin requests.
    Admin,
}

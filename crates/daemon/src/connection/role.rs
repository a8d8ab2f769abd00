//! Who is at the other end of a connection.

use bellsill_core::interface::EndpointId;

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Role {
    /// A client that hands in messages.
    Client,
    /// An endpoint, to which messages are delivered.
    Endpoint(EndpointId),
    /// Discovery or a control process, whose configuration is watched.
    Watch,
    /// The platform, which takes notifications.
    Notifications,
    /// An operator.
    Admin,
}

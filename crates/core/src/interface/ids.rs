//! Identifiers and the unit of time.

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// A message ID, unique for the lifetime of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u64);

/// An endpoint number, assigned by the caller. An endpoint keeps its number until
/// [`Actions::endpoint_removed`](super::Actions::endpoint_removed).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct EndpointId(pub u32);

/// A destination: the system of another company, with one or more endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct DestinationId(pub u64);

/// An ordering key: messages of ordered classes that share a key are delivered in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u64);

/// A queue class, as its index in [`Settings::classes`](super::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// A kind of destinations, as its index in
/// [`Settings::per_endpoint_limits`](super::Settings::per_endpoint_limits).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct KindId(pub usize);

/// The zone of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct ZoneId(pub usize);

/// The number of an attempt among those of its message, counted from zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptNumber(pub u32);

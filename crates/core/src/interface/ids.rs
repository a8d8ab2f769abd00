//! Identifiers and the unit of time.

/// A time or a duration, in whole nanoseconds.
pub type Nanos = u64;

/// A message; unique for as long as an instance lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u64);

/// An endpoint. The caller assigns the numbers; one endpoint keeps its number for as long as an
/// instance lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct EndpointId(pub u32);

/// A destination: the system of another firm, with several endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct DestinationId(pub u64);

/// An ordering key: messages of an ordered class with the same key are delivered in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u64);

/// A queue class, by its index in [`Settings::classes`](super::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// A kind of destinations, by its index in
/// [`Settings::per_endpoint_limits`](super::Settings::per_endpoint_limits).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct KindId(pub usize);

/// The zone of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct ZoneId(pub usize);

/// The attempts of one message, numbered from zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptNumber(pub u32);

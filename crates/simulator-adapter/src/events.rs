//! Decodes lines into events, translating the simulator's names into those of `bellsill-core`.

use crate::endpoint_list::{EndpointLists, WatchEvent};
use crate::error::LineError;
use crate::line::Line;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bellsill_core::interface::{
    AttemptEnd, AttemptNumber, ClassId, DestinationId, KeyId, MessageHistory, MessageId, Nanos,
    NewMessage, Outcome,
};
use bellsill_settings::{PlatformNames, PlatformSettings};

const NANOS_PER_MILLISECOND: Nanos = 1_000_000;
/// The prefix of the rate limit in a load report.
const RATE_LIMIT_PREFIX: &str = "x1:";
/// The highest rate limit accepted from a load report, in attempts per second.
const MAX_REPORTED_RATE_LIMIT: f64 = 1e9;

/// The kinds of events.
#[derive(Clone, Copy)]
pub(crate) enum EventKind {
    Start,
    Crash,
    Watch,
    NewMessage,
    AttemptEnded,
    HealthCheck,
    Gossip,
    MessageWithdrawn,
    Wakeup,
    /// The head of a streamed response. None is expected from the simulator, and any is ignored.
    ResponseHead,
}

impl EventKind {
    pub(crate) fn from_line(line: &Line) -> Result<Self, LineError> {
        Ok(match line.name {
            "BOOT" => EventKind::Start,
            "CRASH_NOW" => EventKind::Crash,
            "MEMBERS" => EventKind::Watch,
            "CALL" => EventKind::NewMessage,
            "CLOSED_ATTEMPT" => EventKind::AttemptEnded,
            "CHECKED" => EventKind::HealthCheck,
            "PEER" => EventKind::Gossip,
            "ABANDONED" => EventKind::MessageWithdrawn,
            "DEADLINE_HIT" => EventKind::Wakeup,
            "HEADERS" => EventKind::ResponseHead,
            _ => return Err(line.invalid_name("a known event name")),
        })
    }
}

/// An event for a running instance.
pub(crate) enum Event<'a> {
    Watch(WatchEvent<'a>),
    NewMessage(NewMessage),
    AttemptEnded(AttemptEnd),
    MessageWithdrawn(MessageId),
    Wakeup,
    /// The event is valid, but the decision logic does not use it.
    Ignored,
}

impl<'a> Event<'a> {
    /// Decodes a line that holds an event of this kind; `names` are the names of the receiving instance.
    pub(crate) fn parse(
        kind: EventKind,
        line: &Line,
        names: &PlatformNames,
        endpoint_lists: &'a EndpointLists,
    ) -> Result<Self, LineError> {
        Ok(match kind {
            EventKind::Watch => Event::Watch(WatchEvent::parse(line, endpoint_lists)?),
            EventKind::NewMessage => Event::NewMessage(parse_new_message(line, names)?),
            EventKind::AttemptEnded => Event::AttemptEnded(parse_attempt_end(line)?),
            EventKind::MessageWithdrawn => Event::MessageWithdrawn(line.message_id("txn")?),
            EventKind::Wakeup => Event::Wakeup,
            // The decision logic sends neither health checks nor gossip, so none are expected; the lines are still
            // validated.
            EventKind::HealthCheck => {
                validate_health_check(line)?;
                Event::Ignored
            }
            EventKind::Gossip => {
                validate_gossip(line)?;
                Event::Ignored
            }
            EventKind::ResponseHead | EventKind::Start | EventKind::Crash => Event::Ignored,
        })
    }
}

/// Parses the settings in the line that starts an instance.
pub(crate) fn parse_start(line: &Line) -> Result<PlatformSettings, LineError> {
    let seed = line.number("salt")?;
    let json = serde_json::from_str(line.required("boot-info")?)
        .map_err(|error| line.invalid_field("boot-info", &format!("JSON ({error})")))?;
    bellsill_settings::read(&json, seed, "boot-info")
        .map_err(|error| line.invalid_field(&error.field, &error.expected))
}

fn parse_new_message(line: &Line, names: &PlatformNames) -> Result<NewMessage, LineError> {
    validate_tenant(line, names)?;
    Ok(NewMessage {
        id: line.message_id("txn")?,
        class: parse_class(line, names)?,
        key: line.optional_number("resource")?.map(KeyId),
        destination: DestinationId(line.number("destination")?),
        deadline: line.number("due-ns")?,
        history: MessageHistory::default(),
    })
}

fn parse_class(line: &Line, names: &PlatformNames) -> Result<ClassId, LineError> {
    let name = line.required("tier-class")?;
    match names.classes.iter().position(|class| class == name) {
        Some(index) => Ok(ClassId(index)),
        None => Err(line.invalid_field("tier-class", "a name defined in the settings")),
    }
}

/// Rejects an unknown tenant if the settings define tenants. The decision logic does not use the tenant.
fn validate_tenant(line: &Line, names: &PlatformNames) -> Result<(), LineError> {
    match line.optional("client-group") {
        Some(name)
            if !names.tenants.is_empty() && !names.tenants.iter().any(|tenant| tenant == name) =>
        {
            Err(line.invalid_field("client-group", "a name defined in the settings"))
        }
        _ => Ok(()),
    }
}

fn parse_attempt_end(line: &Line) -> Result<AttemptEnd, LineError> {
    let note = line.optional_number("note")?.unwrap_or(0);
    Ok(AttemptEnd {
        message: line.message_id("txn")?,
        number: AttemptNumber(line.number("round-no")? as u32),
        outcome: parse_outcome(line, note)?,
        message_ended: line.optional("over") == Some("1"),
        elapsed: line.optional_number("wait-time-ns")?.unwrap_or(0),
        reported_rate_limit: parse_reported_rate_limit(line)?,
    })
}

/// For a rate-limited attempt, `note` is the Retry-After in milliseconds, 0 if there is none. For an attempt that was
/// not sent, it is 1 if the reason was a lack of capacity.
fn parse_outcome(line: &Line, note: u64) -> Result<Outcome, LineError> {
    Ok(match line.number("disposition")? {
        200 => Outcome::Delivered,
        502 => Outcome::ServerError,
        429 => Outcome::RateLimited {
            retry_after: Some(note.saturating_mul(NANOS_PER_MILLISECOND))
                .filter(|&retry_after| retry_after > 0),
        },
        408 => Outcome::TimedOut,
        521 => Outcome::ConnectFailed,
        520 => Outcome::ConnectionReset,
        444 => Outcome::Cancelled,
        409 => Outcome::NotSent {
            no_capacity: note == 1,
        },
        _ => return Err(line.invalid_field("disposition", "a known outcome code")),
    })
}

/// Parses the rate limit in the load report of a response, in attempts per second.
fn parse_reported_rate_limit(line: &Line) -> Result<Option<f64>, LineError> {
    let report = line.optional("usage").unwrap_or("");
    let limit = report
        .split(',')
        .find_map(|pair| pair.strip_prefix(RATE_LIMIT_PREFIX));
    match limit.map(str::parse::<f64>) {
        None => Ok(None),
        Some(Ok(limit)) if (0.0..=MAX_REPORTED_RATE_LIMIT).contains(&limit) => Ok(Some(limit)),
        Some(_) => Err(line.invalid_field("usage", "x1 as a number from 0 to 1e9")),
    }
}

fn validate_health_check(line: &Line) -> Result<(), LineError> {
    line.required("endpoint")?;
    parse_outcome(line, 0)?;
    Ok(())
}

fn validate_gossip(line: &Line) -> Result<(), LineError> {
    let raw = line.required("raw")?;
    let payload = if raw == "-" { "" } else { raw };
    match STANDARD.decode(payload) {
        Ok(_) => Ok(()),
        Err(_) => Err(line.invalid_field("raw", "base64")),
    }
}

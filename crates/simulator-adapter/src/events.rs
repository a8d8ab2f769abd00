//! Decodes lines into events. The simulator's words end here.

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
/// What a load report calls the limit of an endpoint.
const REPORTED_LIMIT: &str = "x1:";
/// The highest limit that is believed, in calls a second.
const MAX_REPORTED_LIMIT: f64 = 1e9;

/// The kinds of events that a line may hold.
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
    /// The head of a streamed response, which does not occur here.
    ResponseHead,
}

impl EventKind {
    pub(crate) fn of(line: &Line) -> Result<Self, LineError> {
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
            _ => return Err(line.invalid_name("a known message name")),
        })
    }
}

/// An event of one running instance.
pub(crate) enum Event<'a> {
    Watch(WatchEvent<'a>),
    NewMessage(NewMessage),
    AttemptEnded(AttemptEnd),
    MessageWithdrawn(MessageId),
    Wakeup,
    /// The line is valid, but the decisions have no use for it.
    Ignored,
}

impl<'a> Event<'a> {
    /// Decodes a line of that kind; `names` are those of the instance that it is for.
    pub(crate) fn parse(
        kind: EventKind,
        line: &Line,
        names: &PlatformNames,
        lists: &'a EndpointLists,
    ) -> Result<Self, LineError> {
        Ok(match kind {
            EventKind::Watch => Event::Watch(WatchEvent::parse(line, lists)?),
            EventKind::NewMessage => Event::NewMessage(parse_new_message(line, names)?),
            EventKind::AttemptEnded => Event::AttemptEnded(parse_attempt_end(line)?),
            EventKind::MessageWithdrawn => Event::MessageWithdrawn(line.message_id("txn")?),
            EventKind::Wakeup => Event::Wakeup,
            // The decisions send neither health checks nor gossip, so none should arrive.
            EventKind::HealthCheck => {
                check_health_check(line)?;
                Event::Ignored
            }
            EventKind::Gossip => {
                check_gossip(line)?;
                Event::Ignored
            }
            EventKind::ResponseHead | EventKind::Start | EventKind::Crash => Event::Ignored,
        })
    }
}

/// The settings in the line that starts an instance.
pub(crate) fn parse_start(line: &Line) -> Result<PlatformSettings, LineError> {
    let seed = line.number("salt")?;
    let json = serde_json::from_str(line.text("boot-info")?)
        .map_err(|error| line.invalid("boot-info", &format!("JSON ({error})")))?;
    bellsill_settings::read(&json, seed, "boot-info")
        .map_err(|error| line.invalid(&error.field, &error.expected))
}

fn parse_new_message(line: &Line, names: &PlatformNames) -> Result<NewMessage, LineError> {
    check_tenant(line, names)?;
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
    let name = line.text("tier-class")?;
    match names.classes.iter().position(|known| known == name) {
        Some(class) => Ok(ClassId(class)),
        None => Err(line.invalid("tier-class", "a name given in the settings")),
    }
}

/// The decisions have no use for the tenant, but one that the settings do not name is an error of the line.
fn check_tenant(line: &Line, names: &PlatformNames) -> Result<(), LineError> {
    match line.get("client-group") {
        Some(name) if !names.tenants.is_empty() && !names.tenants.iter().any(|n| n == name) => {
            Err(line.invalid("client-group", "a name given in the settings"))
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
        message_ended: line.get("over") == Some("1"),
        elapsed: line.optional_number("wait-time-ns")?.unwrap_or(0),
        reported_rate_limit: parse_reported_limit(line)?,
    })
}

/// `note` holds the wait in milliseconds of a rate limit, and 1 where a message was not sent for want of capacity.
fn parse_outcome(line: &Line, note: u64) -> Result<Outcome, LineError> {
    Ok(match line.number("disposition")? {
        200 => Outcome::Delivered,
        502 => Outcome::ServerError,
        429 => Outcome::RateLimited {
            retry_after: Some(note.saturating_mul(NANOS_PER_MILLISECOND)).filter(|&wait| wait > 0),
        },
        408 => Outcome::TimedOut,
        521 => Outcome::ConnectFailed,
        520 => Outcome::ConnectionReset,
        444 => Outcome::Cancelled,
        409 => Outcome::NotSent {
            no_capacity: note == 1,
        },
        _ => return Err(line.invalid("disposition", "a known outcome code")),
    })
}

/// The limit that the load report of an answer states, in calls a second.
fn parse_reported_limit(line: &Line) -> Result<Option<f64>, LineError> {
    let report = line.get("usage").unwrap_or("");
    let limit = report
        .split(',')
        .find_map(|pair| pair.strip_prefix(REPORTED_LIMIT));
    match limit.map(str::parse::<f64>) {
        None => Ok(None),
        Some(Ok(limit)) if (0.0..=MAX_REPORTED_LIMIT).contains(&limit) => Ok(Some(limit)),
        Some(_) => Err(line.invalid("usage", "x1 as a rate")),
    }
}

fn check_health_check(line: &Line) -> Result<(), LineError> {
    line.text("endpoint")?;
    parse_outcome(line, 0)?;
    Ok(())
}

fn check_gossip(line: &Line) -> Result<(), LineError> {
    let raw = line.text("raw")?;
    let raw = if raw == "-" { "" } else { raw };
    match STANDARD.decode(raw) {
        Ok(_) => Ok(()),
        Err(_) => Err(line.invalid("raw", "base64")),
    }
}

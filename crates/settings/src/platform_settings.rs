//! Parses the platform's settings as a whole.

use crate::bounds::{MAX_VALUE, MIN_SHARE};
use crate::class_settings::read_classes;
use crate::names::PlatformNames;
use crate::reader::{FieldReader, InvalidField};
use bellsill_core::interface::{ClassSettings, Nanos, Settings, ValueDecay};
use serde_json::Value;

/// The optional field with the maximum number of messages per request, for each kind of endpoint.
const BATCH_SIZES_FIELD: &str = "family-info.per-call";
/// The column of a load report that holds the limit of an endpoint.
const LIMIT_COLUMN: &str = "x1";

/// The parsed settings of the platform.
pub struct PlatformSettings {
    /// The settings of the decision logic.
    pub settings: Settings,
    /// The platform's names for the numeric ids of the decision logic.
    pub names: PlatformNames,
    /// How long an idle connection to an endpoint stays usable.
    pub keep_alive: Nanos,
    /// How long an endpoint may still receive new messages after it is reported as draining; 0 if the settings do not
    /// say.
    pub drain_grace: Nanos,
    /// Whether responses carry load reports with the limit of the endpoint.
    pub reports_limits: bool,
}

/// Parses the settings; error messages start with `path_prefix`.
pub fn read(json: &Value, seed: u64, path_prefix: &str) -> Result<PlatformSettings, InvalidField> {
    let fields = &FieldReader { json, path_prefix };
    let (class_names, classes) = read_classes(fields)?
        .into_iter()
        .map(|class| (class.name, class.settings))
        .unzip();
    let names = PlatformNames::read(fields, class_names)?;
    check_penalties(fields)?;
    Ok(PlatformSettings {
        settings: read_settings(fields, seed, classes)?,
        names,
        keep_alive: fields.unsigned_integer("limits.keepalive-ns")?,
        drain_grace: match fields.get("guarantees.drain-grace-ns") {
            None => 0,
            Some(_) => fields.unsigned_integer("guarantees.drain-grace-ns")?,
        },
        reports_limits: reports_limits(fields),
    })
}

/// Checks that all penalties are in range. The core does not use them, but an invalid one is still a settings error.
fn check_penalties(fields: &FieldReader) -> Result<(), InvalidField> {
    let penalties = fields.get("penalties").and_then(Value::as_object);
    for name in penalties.into_iter().flat_map(|penalties| penalties.keys()) {
        fields.number_in_range(0.0, MAX_VALUE, &format!("penalties.{name}"))?;
    }
    Ok(())
}

fn read_settings(
    fields: &FieldReader,
    seed: u64,
    classes: Vec<ClassSettings>,
) -> Result<Settings, InvalidField> {
    let per_endpoint_limits = fields
        .array("family-info.own-limits")?
        .iter()
        .map(|limit| limit.as_bool().unwrap_or(false))
        .collect();
    let batch_sizes = match fields.get(BATCH_SIZES_FIELD) {
        None => &[],
        Some(_) => fields.array(BATCH_SIZES_FIELD)?,
    };
    Ok(Settings {
        seed,
        dispatchers: fields.require(
            "balancers",
            "a whole number from 1 to 4294967295",
            |value| u32::try_from(value.as_u64()?).ok().filter(|n| *n > 0),
        )?,
        dispatcher_index: fields
            .get("position")
            .and_then(Value::as_u64)
            .and_then(|n| u32::try_from(n).ok()),
        classes,
        per_endpoint_limits,
        max_batch: read_max_batch(fields, batch_sizes)?,
        value_decay: match fields.string("family-info.decay")? {
            "halves" => ValueDecay::Halving,
            _ => ValueDecay::Linear,
        },
        max_in_flight: fields.integer_at_least(1, "family-info.workers")? as usize,
        queue_capacity: fields.integer_at_least(1, "limits.max-open")? as usize,
        caller_admission: false,
        max_attempts: fields.integer_at_least(1, "limits.max-attempts")? as u32,
        connect_timeout: fields.unsigned_integer("limits.connect-timeout-ns")?,
        max_retry_after: read_max_retry_after(fields)?,
        cold_capacity_share: fields.number_in_range(MIN_SHARE, 1.0, "guarantees.cold-share")?,
        slow_start: fields.unsigned_integer("guarantees.ramp-time-ns")?,
        overload_multiple: fields.number_in_range(
            MIN_SHARE,
            MAX_VALUE,
            "guarantees.tip-multiple",
        )?,
        overload_window: fields.unsigned_integer("guarantees.overload-for-ns")?,
        key_cooldown: fields
            .get("guarantees.turn-gap-ns")
            .and_then(Value::as_u64)
            .unwrap_or(0),
        max_watch_request_delay: read_watch_request_limit(fields)?,
        clock_resolution: fields.integer_at_least(1, "tick-ns")?,
    })
}

/// Reads the maximum number of messages per request to an endpoint, for each kind of endpoint.
fn read_max_batch(fields: &FieldReader, sizes: &[Value]) -> Result<Vec<usize>, InvalidField> {
    let size = |value: &Value| {
        let size = value
            .as_u64()
            .filter(|n| (1..=MAX_VALUE as u64).contains(n));
        size.map(|n| n as usize)
            .ok_or_else(|| fields.invalid(BATCH_SIZES_FIELD, "an array of whole numbers from 1"))
    };
    sizes.iter().map(size).collect()
}

fn read_max_retry_after(fields: &FieldReader) -> Result<Option<Nanos>, InvalidField> {
    if fields.flag("limits.retry-after") {
        fields
            .unsigned_integer("limits.max-retry-after-ns")
            .map(Some)
    } else {
        Ok(None)
    }
}

/// Reads the time within which a watch has to be requested; `None` if the platform pushes endpoint lists.
fn read_watch_request_limit(fields: &FieldReader) -> Result<Option<Nanos>, InvalidField> {
    match fields.get("discovery").map(Value::as_str) {
        None | Some(Some("pushed")) => Ok(None),
        Some(Some("on_request")) => fields
            .integer_at_least(1, "guarantees.ask-within-ns")
            .map(Some),
        _ => Err(fields.invalid("discovery", "pushed or on_request")),
    }
}

/// Whether load reports have the limit column and arrive in responses. A platform without load reports may omit the
/// `report` section.
fn reports_limits(fields: &FieldReader) -> bool {
    let columns = fields.get("report.columns").and_then(Value::as_array);
    columns.is_some_and(|columns| {
        columns
            .iter()
            .any(|name| name.as_str() == Some(LIMIT_COLUMN))
    }) && matches!(fields.string("report.how"), Ok("inline"))
}

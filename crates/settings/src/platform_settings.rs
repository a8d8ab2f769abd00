//! All that the platform's settings say.

use crate::bounds::{MAX_VALUE, MIN_SHARE};
use crate::class_settings::read_classes;
use crate::names::Names;
use crate::reader::{InvalidField, Reader};
use bellsill_core::interface::{ClassSettings, Nanos, Settings, ValueDecay};
use serde_json::Value;

/// The field with the number of messages that a request may carry, which may be left out.
const BATCH_SIZES: &str = "family-info.per-call";
/// What a load report calls the limit of an endpoint.
const LIMIT_COLUMN: &str = "x1";

/// All that the settings say.
pub struct PlatformSettings {
    /// What the decisions start with.
    pub settings: Settings,
    /// The platform's names for what the decisions know by number.
    pub names: Names,
    /// For how long an idle connection to an endpoint stays usable.
    pub keep_alive: Nanos,
    /// For how long after an endpoint is reported as draining it may still get new messages; 0 where the settings do not
    /// say.
    pub drain_grace: Nanos,
    /// Whether answers hold load reports with the endpoint's limit.
    pub reports_limits: bool,
}

/// Reads the settings; `place` names the object in errors.
pub fn read(json: &Value, seed: u64, place: &str) -> Result<PlatformSettings, InvalidField> {
    let fields = &Reader { json, place };
    let (class_names, classes) = read_classes(fields)?
        .into_iter()
        .map(|class| (class.name, class.settings))
        .unzip();
    let names = Names::read(fields, class_names)?;
    check_prices(fields)?;
    Ok(PlatformSettings {
        settings: read_settings(fields, seed, classes)?,
        names,
        keep_alive: fields.count("limits.keepalive-ns")?,
        drain_grace: match fields.get("guarantees.drain-grace-ns") {
            None => 0,
            Some(_) => fields.count("guarantees.drain-grace-ns")?,
        },
        reports_limits: reports_limits(fields),
    })
}

/// The decisions use no price, but one that makes no sense is an error of the settings.
fn check_prices(fields: &Reader) -> Result<(), InvalidField> {
    let prices = fields.get("penalties").and_then(Value::as_object);
    for name in prices.into_iter().flat_map(|prices| prices.keys()) {
        fields.within(0.0, MAX_VALUE, &format!("penalties.{name}"))?;
    }
    Ok(())
}

fn read_settings(
    fields: &Reader,
    seed: u64,
    classes: Vec<ClassSettings>,
) -> Result<Settings, InvalidField> {
    let per_endpoint_limits = fields
        .list("family-info.own-limits")?
        .iter()
        .map(|limit| limit.as_bool().unwrap_or(false))
        .collect();
    let batch_sizes = match fields.get(BATCH_SIZES) {
        None => &[],
        Some(_) => fields.list(BATCH_SIZES)?,
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
        max_in_flight: fields.whole_number_from(1, "family-info.workers")? as usize,
        queue_capacity: fields.whole_number_from(1, "limits.max-open")? as usize,
        caller_admission: false,
        max_attempts: fields.whole_number_from(1, "limits.max-attempts")? as u32,
        connect_timeout: fields.count("limits.connect-timeout-ns")?,
        max_retry_after: read_max_retry_after(fields)?,
        cold_capacity_share: fields.within(MIN_SHARE, 1.0, "guarantees.cold-share")?,
        slow_start: fields.count("guarantees.ramp-time-ns")?,
        overload_multiple: fields.within(MIN_SHARE, MAX_VALUE, "guarantees.tip-multiple")?,
        overload_window: fields.count("guarantees.overload-for-ns")?,
        key_cooldown: fields
            .get("guarantees.turn-gap-ns")
            .and_then(Value::as_u64)
            .unwrap_or(0),
        max_watch_request_delay: read_watch_request_limit(fields)?,
        clock_resolution: fields.whole_number_from(1, "tick-ns")?,
    })
}

/// How many messages a request to an endpoint may carry, by kind.
fn read_max_batch(fields: &Reader, sizes: &[Value]) -> Result<Vec<usize>, InvalidField> {
    let size = |value: &Value| {
        let size = value
            .as_u64()
            .filter(|n| (1..=MAX_VALUE as u64).contains(n));
        size.map(|n| n as usize)
            .ok_or_else(|| fields.invalid(BATCH_SIZES, "whole numbers from 1"))
    };
    sizes.iter().map(size).collect()
}

fn read_max_retry_after(fields: &Reader) -> Result<Option<Nanos>, InvalidField> {
    if fields.flag("limits.retry-after") {
        fields.count("limits.max-retry-after-ns").map(Some)
    } else {
        Ok(None)
    }
}

/// Within what time a watch has to be requested, where the platform does not push endpoint lists.
fn read_watch_request_limit(fields: &Reader) -> Result<Option<Nanos>, InvalidField> {
    match fields.get("discovery").map(Value::as_str) {
        None | Some(Some("pushed")) => Ok(None),
        Some(Some("on_request")) => fields
            .whole_number_from(1, "guarantees.ask-within-ns")
            .map(Some),
        _ => Err(fields.invalid("discovery", "pushed or on_request")),
    }
}

/// Settings of a platform without load reports may leave their description out.
fn reports_limits(fields: &Reader) -> bool {
    let columns = fields.get("report.columns").and_then(Value::as_array);
    columns.is_some_and(|all| all.iter().any(|name| name.as_str() == Some(LIMIT_COLUMN)))
        && matches!(fields.string("report.how"), Ok("inline"))
}

//! The settings that an instance gets at its start: JSON under the platform's names, read into [`Settings`].
// Not finished yet: see docs/ROADMAP.md.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::cognitive_complexity,
    clippy::let_underscore_must_use,
    clippy::map_err_ignore,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::wildcard_imports
)]

use bellsill_core::interface::*;
use serde_json::Value;

/// A field of the settings that is missing or of the wrong form.
#[derive(Debug, PartialEq)]
pub struct InvalidField {
    pub field: String,
    pub expected: String,
}

impl std::fmt::Display for InvalidField {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "field {}: expected {}", self.field, self.expected)
    }
}

/// A weight of an endpoint list that is no rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidWeight;

/// The platform's names for what the decisions know by number, and what the weights of its lists mean.
pub struct Names {
    pub classes: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    /// Who shares the service; none where the settings name nobody.
    pub tenants: Vec<String>,
    /// A weight is a rate; else it says nothing.
    pub weights_are_rates: bool,
}

impl Names {
    /// The rate that a weight in an endpoint list states, if it states one.
    pub fn rate(&self, weight: Option<f64>) -> Result<Option<f64>, InvalidWeight> {
        match weight {
            Some(weight) if self.weights_are_rates => {
                if !(0.0..=MOST).contains(&weight) {
                    return Err(InvalidWeight);
                }
                Ok(Some(weight).filter(|&rate| rate > 0.0))
            }
            _ => Ok(None),
        }
    }
}

/// The least part of a capacity and the most of any rate, price, worth or multiple that make sense.
const LEAST_PART: f64 = 1e-6;
const MOST: f64 = 1e9;

/// All that the settings say.
pub struct PlatformSettings {
    pub settings: Settings,
    pub names: Names,
    /// How long an idle connection to an endpoint stays good.
    pub keep_alive: Nanos,
    /// For how long after a drain is told something new may still go there; nought where nothing is said.
    pub drain_grace: Nanos,
    /// Answers hold load reports that tell the limit met.
    pub reports_limits: bool,
}

/// Reads values under a path such as `limits.max-open`, with a plain word on what is missing.
pub struct Reader<'a> {
    pub json: &'a Value,
    /// Where in the whole the JSON stands, for messages.
    pub place: &'a str,
}

impl<'a> Reader<'a> {
    pub fn bad(&self, path: &str, expected: &str) -> InvalidField {
        let dot = if self.place.is_empty() { "" } else { "." };
        InvalidField {
            field: format!("{}{dot}{path}", self.place),
            expected: expected.to_string(),
        }
    }
    pub fn at(&self, path: &str) -> Option<&'a Value> {
        path.split('.').try_fold(self.json, |v, part| v.get(part))
    }
    pub fn need<T>(
        &self,
        path: &str,
        expected: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, InvalidField> {
        self.at(path)
            .and_then(read)
            .ok_or_else(|| self.bad(path, expected))
    }
    pub fn num(&self, path: &str) -> Result<f64, InvalidField> {
        self.need(path, "a number", Value::as_f64)
    }
    /// A number between these.
    pub fn within(&self, least: f64, most: f64, path: &str) -> Result<f64, InvalidField> {
        let expected = format!("a number from {least} to {most}");
        self.need(path, &expected, |v| {
            v.as_f64().filter(|n| (least..=most).contains(n))
        })
    }
    pub fn count(&self, path: &str) -> Result<u64, InvalidField> {
        self.need(path, "a whole number", Value::as_u64)
    }
    /// A whole number that is no less than this.
    pub fn from(&self, least: u64, path: &str) -> Result<u64, InvalidField> {
        let expected = format!("a whole number from {least}");
        self.need(path, &expected, |v| v.as_u64().filter(|n| *n >= least))
    }
    pub fn word(&self, path: &str) -> Result<&'a str, InvalidField> {
        self.need(path, "a word", Value::as_str)
    }
    pub fn flag(&self, path: &str) -> bool {
        self.at(path).and_then(Value::as_bool).unwrap_or(false)
    }
    pub fn list(&self, path: &str) -> Result<&'a [Value], InvalidField> {
        self.need(path, "a list", |v| v.as_array().map(Vec::as_slice))
    }
    pub fn words(&self, path: &str) -> Result<Vec<String>, InvalidField> {
        let word = |v: &Value| {
            v.as_str()
                .map(str::to_string)
                .ok_or_else(|| self.bad(path, "words"))
        };
        self.list(path)?.iter().map(word).collect()
    }
}

fn class(json: &Value, place: &str) -> Result<(String, ClassSettings), InvalidField> {
    let r = Reader { json, place };
    let semantics = match r.word("repeat")? {
        "idempotent" => DeliverySemantics::Idempotent,
        "deduplicated" => DeliverySemantics::IdempotencyKey {
            window: r.count("window-ns")?,
            scope: match r.word("dedup-scope")? {
                "all" => DeduplicationScope::Destination,
                _ => DeduplicationScope::Zone,
            },
        },
        "at_most_once" => DeliverySemantics::AtMostOnce,
        _ => return Err(r.bad("repeat", "idempotent, deduplicated or at_most_once")),
    };
    let facts = ClassSettings {
        priority_weight: r.within(0.0, MOST, "worth")?,
        latency_objective: r.from(1, "aim-ns")?,
        lifetime: r.count("deadline-ns")?,
        late_value_share: r.within(0.0, 1.0, "late-share")?,
        semantics,
        ordered: r.flag("in-turn"),
    };
    Ok((r.word("name")?.to_string(), facts))
}

/// Reads the settings; `place` names the object in messages.
pub fn read(json: &Value, seed: u64, place: &str) -> Result<PlatformSettings, InvalidField> {
    let r = Reader { json, place };
    let services = r.list("services")?.iter().enumerate();
    let classes = services
        .map(|(i, c)| class(c, &format!("{place}.services[{i}]")))
        .collect::<Result<Vec<_>, _>>()?;
    let (class_names, classes): (Vec<_>, Vec<_>) = classes.into_iter().unzip();
    let names = Names {
        classes: class_names,
        kinds: r.words("flavors")?,
        zones: r.words("dcs")?,
        tenants: match r.at("realms").and_then(Value::as_array) {
            None => vec![],
            Some(all) => {
                let name = |v: &Value| v.get("name").and_then(Value::as_str).map(str::to_string);
                let bad = || r.bad("realms", "a name for each");
                all.iter()
                    .map(|v| name(v).ok_or_else(bad))
                    .collect::<Result<_, _>>()?
            }
        },
        weights_are_rates: matches!(r.word("weights"), Ok("rough" | "nominal")),
    };
    for price in r
        .at("penalties")
        .and_then(Value::as_object)
        .into_iter()
        .flat_map(|p| p.keys())
    {
        r.within(0.0, MOST, &format!("penalties.{price}"))?;
    }
    let own = r.list("family-info.own-limits")?;
    let batch = match r.at("family-info.per-call") {
        None => vec![],
        Some(_) => r.list("family-info.per-call")?.to_vec(),
    };
    let most = |v: &Value| {
        let most = v.as_u64().filter(|n| (1..=MOST as u64).contains(n));
        most.map(|n| n as usize)
            .ok_or_else(|| r.bad("family-info.per-call", "whole numbers from 1"))
    };
    let settings = Settings {
        seed,
        dispatchers: r.need("balancers", "a whole number from 1 to 4294967295", |v| {
            u32::try_from(v.as_u64()?).ok().filter(|n| *n > 0)
        })?,
        dispatcher_index: r
            .at("position")
            .and_then(Value::as_u64)
            .and_then(|n| u32::try_from(n).ok()),
        classes,
        per_endpoint_limits: own.iter().map(|v| v.as_bool().unwrap_or(false)).collect(),
        max_batch: batch.iter().map(most).collect::<Result<_, _>>()?,
        value_decay: match r.word("family-info.decay")? {
            "halves" => ValueDecay::Halving,
            _ => ValueDecay::Linear,
        },
        max_in_flight: r.from(1, "family-info.workers")? as usize,
        queue_capacity: r.from(1, "limits.max-open")? as usize,
        caller_admission: false,
        max_attempts: r.from(1, "limits.max-attempts")? as u32,
        connect_timeout: r.count("limits.connect-timeout-ns")?,
        max_retry_after: if r.flag("limits.retry-after") {
            Some(r.count("limits.max-retry-after-ns")?)
        } else {
            None
        },
        cold_capacity_share: r.within(LEAST_PART, 1.0, "guarantees.cold-share")?,
        slow_start: r.count("guarantees.ramp-time-ns")?,
        overload_multiple: r.within(LEAST_PART, MOST, "guarantees.tip-multiple")?,
        overload_window: r.count("guarantees.overload-for-ns")?,
        key_cooldown: r
            .at("guarantees.turn-gap-ns")
            .and_then(Value::as_u64)
            .unwrap_or(0),
        watch_request_limit: match r.at("discovery").map(Value::as_str) {
            None | Some(Some("pushed")) => None,
            Some(Some("on_request")) => Some(r.from(1, "guarantees.ask-within-ns")?),
            _ => return Err(r.bad("discovery", "pushed or on_request")),
        },
        clock_resolution: r.from(1, "tick-ns")?,
    };
    let keep_alive = r.count("limits.keepalive-ns")?;
    let drain_grace = match r.at("guarantees.drain-grace-ns") {
        None => 0,
        Some(_) => r.count("guarantees.drain-grace-ns")?,
    };
    // Settings of a world without reports may leave them out.
    let columns = r.at("report.columns").and_then(Value::as_array);
    let tells = columns.is_some_and(|all| all.iter().any(|name| name.as_str() == Some("x1")));
    let reports_limits = tells && matches!(r.word("report.how"), Ok("inline"));
    Ok(PlatformSettings {
        settings,
        names,
        keep_alive,
        drain_grace,
        reports_limits,
    })
}

//! The first message of an instance: its settings, read from JSON under the wire's names.

use crate::line::{Bad, Line};
use bellsill::interface::*;
use serde_json::Value;

/// The wire's names for what the decisions know by number.
pub struct Names {
    pub classes: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
}

impl Names {
    pub fn find(&self, names: &[String], line: &Line, field: &str) -> Result<usize, Bad> {
        let name = line.text(field)?;
        names.iter().position(|n| n == name).ok_or_else(|| line.bad(field, "a name given in the settings"))
    }
}

/// Reads values under a path such as `limits.max-open`, with a plain word on what is missing.
struct Reader<'a>(&'a Value, &'a Line<'a>);

impl<'a> Reader<'a> {
    fn at(&self, path: &str) -> Option<&'a Value> {
        path.split('.').try_fold(self.0, |v, part| v.get(part))
    }
    fn need<T>(&self, path: &str, expected: &str, read: impl Fn(&'a Value) -> Option<T>) -> Result<T, Bad> {
        let field = format!("boot-info {path}");
        self.at(path).and_then(read).ok_or_else(|| self.1.bad(&field, expected))
    }
    fn num(&self, path: &str) -> Result<f64, Bad> {
        self.need(path, "a number", Value::as_f64)
    }
    fn count(&self, path: &str) -> Result<u64, Bad> {
        self.need(path, "a whole number", Value::as_u64)
    }
    fn word(&self, path: &str) -> Result<&'a str, Bad> {
        self.need(path, "a word", Value::as_str)
    }
    fn flag(&self, path: &str) -> bool {
        self.at(path).and_then(Value::as_bool).unwrap_or(false)
    }
    fn list(&self, path: &str) -> Result<&'a [Value], Bad> {
        self.need(path, "a list", |v| v.as_array().map(Vec::as_slice))
    }
    fn words(&self, path: &str) -> Result<Vec<String>, Bad> {
        let word = |v: &Value| v.as_str().map(str::to_string).ok_or_else(|| self.1.bad(path, "words"));
        self.list(path)?.iter().map(word).collect()
    }
}

fn class(v: &Value, line: &Line) -> Result<(String, ClassFacts), Bad> {
    let r = Reader(v, line);
    let repeat = match r.word("repeat")? {
        "idempotent" => Repeat::Redeliverable,
        "deduplicated" => {
            Repeat::Tagged { window: r.count("window-ns")?, same_zone: r.word("dedup-scope")? != "all" }
        }
        "at_most_once" => Repeat::OnceOnly,
        _ => {
            return Err(line.bad("boot-info services.repeat", "idempotent, deduplicated or at_most_once"));
        }
    };
    let facts = ClassFacts {
        importance: r.num("worth")?,
        target_delay: r.count("aim-ns")?,
        lifetime: r.count("deadline-ns")?,
        late_share: r.num("late-share")?,
        repeat,
        ordered: r.flag("in-turn"),
    };
    Ok((r.word("name")?.to_string(), facts))
}

pub fn read(line: &Line) -> Result<(BootFacts, Names), Bad> {
    let seed = line.num("salt")?;
    let json: Value = serde_json::from_str(line.text("boot-info")?)
        .map_err(|e| line.bad("boot-info", &format!("JSON ({e})")))?;
    let r = Reader(&json, line);
    let classes = r.list("services")?.iter().map(|c| class(c, line)).collect::<Result<Vec<_>, _>>()?;
    let (class_names, classes): (Vec<_>, Vec<_>) = classes.into_iter().unzip();
    let names = Names { classes: class_names, kinds: r.words("flavors")?, zones: r.words("dcs")? };
    let own = r.list("family-info.own-limits")?;
    let facts = BootFacts {
        seed,
        dispatchers: r.count("balancers")?.max(1) as u32,
        classes,
        apart: own.iter().map(|v| v.as_bool().unwrap_or(false)).collect(),
        halves: r.word("family-info.decay")? == "halves",
        slots: r.count("family-info.workers")? as usize,
        holding_room: r.count("limits.max-open")? as usize,
        max_connects: r.count("limits.max-attempts")? as u32,
        connect_timeout: r.count("limits.connect-timeout-ns")?,
        max_come_back: if r.flag("limits.retry-after") { r.count("limits.max-retry-after-ns")? } else { 0 },
        cold_share: r.num("guarantees.cold-share")?,
        ramp: r.count("guarantees.ramp-time-ns")?,
        tip_multiple: r.num("guarantees.tip-multiple")?,
        tip_window: r.count("guarantees.overload-for-ns")?,
        key_rest: r.at("guarantees.turn-gap-ns").and_then(Value::as_u64).unwrap_or(0),
        tick: r.count("tick-ns")?,
    };
    Ok((facts, names))
}

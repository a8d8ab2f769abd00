//! The bench's wire: reads lines, calls the decisions, writes their answers. It decides nothing.
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

mod line;

use base64::Engine;
use bellsill_core::control::Dispatcher;
use bellsill_core::interface::*;
use bellsill_settings::{InvalidWeight, Names};
use line::{Bad, Line};
use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// One instance and the names that the wire uses for what it knows.
struct Instance {
    dispatcher: Dispatcher,
    names: Names,
    endpoints: Vec<String>,
    endpoint_ids: HashMap<String, EndpointId>,
}

/// Writes the answers of one instance as actions of the wire.
struct Writer<'a> {
    out: &'a mut Vec<u8>,
    instance: &'a str,
    endpoints: &'a [String],
}

impl Writer<'_> {
    fn action(&mut self, name: &str, rest: std::fmt::Arguments) {
        writeln!(self.out, "{name} dispatcher={}{rest}", self.instance).expect("writing to memory");
    }
}

impl Actions for Writer<'_> {
    fn send_attempt(&mut self, mail: MessageId, endpoint: EndpointId, time_out: Nanos) {
        let to = &self.endpoints[endpoint.0 as usize];
        self.action(
            "SEND",
            format_args!(
                " txn={:016x} give-up-after-ns={time_out} endpoint={to}",
                mail.0
            ),
        );
    }
    fn reject(&mut self, mail: MessageId, come_back: Nanos) {
        self.action(
            "OVERLOAD_REPLY",
            format_args!(" txn={:016x} backoff-ns={come_back}", mail.0),
        );
    }
    fn fail(&mut self, mail: MessageId) {
        self.action("END_FAILED", format_args!(" txn={:016x}", mail.0));
    }
    fn cancel_attempt(&mut self, mail: MessageId, no: AttemptNumber) {
        self.action(
            "CALL_OFF",
            format_args!(" txn={:016x} round-no={}", mail.0, no.0),
        );
    }
    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        let to = &self.endpoints[endpoint.0 as usize];
        self.action("SHUT_IDLE", format_args!(" endpoint={to}"));
    }
    // The bench's days are short: a name keeps its number.
    fn endpoint_removed(&mut self, _: EndpointId) {}
    fn request_watch(&mut self) {
        self.action("LISTEN", format_args!(" want=1"));
    }
    fn schedule_wakeup(&mut self, after: Nanos) {
        self.action("ARM", format_args!(" mark=wake sleep-for-ns={after}"));
    }
    fn log(&mut self, line: &str) {
        self.action(
            "LOG",
            format_args!(" message={}", line.replace(['\n', '\r'], " ")),
        );
    }
}

struct Item {
    endpoint: String,
    locality: String,
    shape: String,
    belongs_to: DestinationId,
    serving: bool,
    weight: Option<f64>,
}

#[derive(Default)]
struct Link {
    instances: HashMap<String, Instance>,
    lists: HashMap<u64, Vec<Item>>,
    now: Nanos,
    out: Vec<u8>,
}

impl Link {
    fn event(&mut self, line: &Line) -> Result<(), Bad> {
        let name = line.text("dispatcher")?;
        let now = self.now;
        match line.name {
            "BOOT" => {
                let boot = read_boot(line)?;
                let (dispatcher, names) = (Dispatcher::new(now, boot.settings), boot.names);
                let fresh = Instance {
                    dispatcher,
                    names,
                    endpoints: vec![],
                    endpoint_ids: HashMap::new(),
                };
                self.instances.insert(name.to_string(), fresh);
                return Ok(());
            }
            "CRASH_NOW" => {
                self.instances.remove(name);
                return Ok(());
            }
            "MEMBERS" | "CALL" | "CLOSED_ATTEMPT" | "CHECKED" | "PEER" | "ABANDONED"
            | "DEADLINE_HIT" | "HEADERS" => {}
            _ => return Err(line.bad("", "a known message name")),
        }
        let Some(it) = self.instances.get_mut(name) else {
            return Ok(());
        };
        let news = if line.name == "MEMBERS" {
            Some(read_news(line, &self.lists, it)?)
        } else {
            None
        };
        let from = self.out.len();
        let out = &mut Writer {
            out: &mut self.out,
            instance: name,
            endpoints: &it.endpoints,
        };
        let d = &mut it.dispatcher;
        let names = &it.names;
        let decided = catch_unwind(AssertUnwindSafe(|| -> Result<(), Bad> {
            match line.name {
                "MEMBERS" => match news.flatten() {
                    Some((scope, entries)) => d.update_endpoints(now, scope, &entries, out),
                    None => d.watch_lost(now, out),
                },
                "CALL" => {
                    check_tenant(names, line)?;
                    let mail = NewMessage {
                        id: line.hex("txn")?,
                        class: ClassId(read_class(names, line)?),
                        key: line.maybe_num("resource")?.map(KeyId),
                        destination: DestinationId(line.num("destination")?),
                        deadline: line.num("due-ns")?,
                        history: MessageHistory::default(),
                    };
                    d.accept(now, [mail], out);
                }
                "CLOSED_ATTEMPT" => {
                    let note = line.maybe_num("note")?.unwrap_or(0);
                    let end = AttemptEnd {
                        message: line.hex("txn")?,
                        number: AttemptNumber(line.num("round-no")? as u32),
                        outcome: outcome(line, note)?,
                        message_ended: line.get("over") == Some("1"),
                        elapsed: line.maybe_num("wait-time-ns")?.unwrap_or(0),
                        reported_limit: told_limit(line)?,
                    };
                    d.attempt_ended(now, end, out);
                }
                // Neither probes nor notes are sent, so none should come; told of one, the decisions have no use for it.
                "CHECKED" => drop((line.text("endpoint")?, outcome(line, 0)?)),
                "PEER" => {
                    let raw = line.text("raw")?;
                    let raw = if raw == "-" { "" } else { raw };
                    let note = base64::engine::general_purpose::STANDARD.decode(raw);
                    note.map_err(|_| line.bad("raw", "base64"))?;
                }
                "ABANDONED" => d.message_withdrawn(now, line.hex("txn")?, out),
                "DEADLINE_HIT" => d.wakeup(now, out),
                // Streams do not occur here.
                _ => {}
            }
            Ok(())
        }));
        match decided {
            Ok(done) => done,
            Err(panic) => {
                let text = panic
                    .downcast_ref::<String>()
                    .map(String::as_str)
                    .or_else(|| panic.downcast_ref::<&str>().copied())
                    .unwrap_or("panic")
                    .replace(['\n', '\r'], " ");
                self.out.truncate(from);
                writeln!(self.out, "GIVE_IN dispatcher={name} message={text}")
                    .expect("writing to memory");
                self.instances.remove(name);
                Ok(())
            }
        }
    }
}

fn read_boot(line: &Line) -> Result<bellsill_settings::PlatformSettings, Bad> {
    let seed = line.num("salt")?;
    let json = serde_json::from_str(line.text("boot-info")?)
        .map_err(|e| line.bad("boot-info", &format!("JSON ({e})")))?;
    bellsill_settings::read(&json, seed, "boot-info")
        .map_err(|bad| line.bad(&bad.field, &bad.expected))
}

fn read_class(names: &Names, line: &Line) -> Result<usize, Bad> {
    let name = line.text("tier-class")?;
    let found = names.classes.iter().position(|n| n == name);
    found.ok_or_else(|| line.bad("tier-class", "a name given in the settings"))
}

/// The decisions have no use for the tenant; one that the settings don't name is a fault of the line all the same.
fn check_tenant(names: &Names, line: &Line) -> Result<(), Bad> {
    match line.get("client-group") {
        Some(name) if !names.tenants.is_empty() && !names.tenants.iter().any(|n| n == name) => {
            Err(line.bad("client-group", "a name given in the settings"))
        }
        _ => Ok(()),
    }
}

/// What an answer tells of the limit there, in calls a second.
fn told_limit(line: &Line) -> Result<Option<f64>, Bad> {
    let told = line
        .get("usage")
        .unwrap_or("")
        .split(',')
        .find_map(|pair| pair.strip_prefix("x1:"));
    match told.map(str::parse::<f64>) {
        None => Ok(None),
        Some(Ok(limit)) if (0.0..=1e9).contains(&limit) => Ok(Some(limit)),
        Some(_) => Err(line.bad("usage", "x1 as a rate")),
    }
}

fn outcome(line: &Line, note: u64) -> Result<Outcome, Bad> {
    Ok(match line.num("disposition")? {
        200 => Outcome::Delivered,
        502 => Outcome::ServerError,
        429 => Outcome::RateLimited {
            retry_after: Some(note.saturating_mul(1_000_000)).filter(|&wait| wait > 0),
        },
        408 => Outcome::TimedOut,
        521 => Outcome::ConnectFailed,
        520 => Outcome::ConnectionReset,
        444 => Outcome::Cancelled,
        409 => Outcome::NotSent {
            no_capacity: note == 1,
        },
        _ => return Err(line.bad("disposition", "a known outcome code")),
    })
}

type News = Option<(EndpointUpdate, Vec<EndpointEntry>)>;

fn read_news(line: &Line, lists: &HashMap<u64, Vec<Item>>, it: &mut Instance) -> Result<News, Bad> {
    let scope = match line.text("scope")? {
        "update" => EndpointUpdate::Delta,
        "replace" | "restored" => EndpointUpdate::Snapshot,
        "unavailable" => return Ok(None),
        _ => return Err(line.bad("scope", "update, replace, restored or unavailable")),
    };
    let items = lists
        .get(&line.num("bank")?)
        .ok_or_else(|| line.bad("bank", "the number of a list"))?;
    let mut entries = Vec::with_capacity(items.len());
    for item in items {
        let next = EndpointId(it.endpoints.len() as u32);
        let endpoint = *it
            .endpoint_ids
            .entry(item.endpoint.clone())
            .or_insert_with(|| {
                it.endpoints.push(item.endpoint.clone());
                next
            });
        entries.push(EndpointEntry {
            endpoint,
            name_hash: crc32fast::hash(item.endpoint.as_bytes()),
            destination: item.belongs_to,
            zone: ZoneId(
                it.names
                    .zones
                    .iter()
                    .position(|z| *z == item.locality)
                    .unwrap_or(usize::MAX),
            ),
            kind: KindId(
                it.names
                    .kinds
                    .iter()
                    .position(|k| *k == item.shape)
                    .unwrap_or(usize::MAX),
            ),
            serving: item.serving,
            rate: it
                .names
                .rate(item.weight)
                .map_err(|InvalidWeight| line.bad("power-hint", "a rate"))?,
            retry_after_until: None,
        });
    }
    Ok(Some((scope, entries)))
}

fn read_item(line: &Line) -> Result<Item, Bad> {
    if line.name != "ITEM" {
        return Err(line.bad("", "ITEM"));
    }
    Ok(Item {
        endpoint: line.text("endpoint")?.to_string(),
        locality: line.get("locality").unwrap_or("").to_string(),
        shape: line.get("shape").unwrap_or("").to_string(),
        belongs_to: DestinationId(line.num("belongs-to")?),
        serving: match line.text("state")? {
            "SERVING" => true,
            "DRAINING" | "DELETED" => false,
            _ => return Err(line.bad("state", "SERVING, DRAINING or DELETED")),
        },
        weight: match line.get("power-hint").map(str::parse) {
            None => None,
            Some(weight) => Some(weight.map_err(|_| line.bad("power-hint", "a number"))?),
        },
    })
}

fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), Bad> {
    let mut link = Link::default();
    let mut lines = input.lines();
    let mut next = || {
        lines
            .next()
            .transpose()
            .map_err(|e| Bad(format!("cannot read input: {e}")))
    };
    let ended = || Bad("input ended inside a batch".into());
    while let Some(text) = next()? {
        if text.is_empty() {
            continue;
        }
        let head = Line::read(&text)?;
        if head.name != "BATCH" {
            return Err(head.bad("", "BATCH"));
        }
        link.now = head.num("time-ns")?;
        let seq = head.num("seq")?;
        loop {
            let text = next()?.ok_or_else(ended)?;
            let line = Line::read(&text)?;
            match line.name {
                "" => {}
                "EOF_BATCH" => break,
                "DEFINE_LIST" => {
                    let mut items = Vec::new();
                    for _ in 0..line.num("items")? {
                        items.push(read_item(&Line::read(&next()?.ok_or_else(ended)?)?)?);
                    }
                    link.lists.insert(line.num("bank")?, items);
                }
                _ => link.event(&line)?,
            }
        }
        writeln!(link.out, "FINISHED seq={seq}").expect("writing to memory");
        output
            .write_all(&link.out)
            .and_then(|()| output.flush())
            .map_err(|e| Bad(e.to_string()))?;
        link.out.clear();
    }
    Ok(())
}

fn main() {
    if let Err(Bad(why)) = serve(std::io::stdin().lock(), std::io::stdout().lock()) {
        eprintln!("bellsill-simulator-adapter: {why}");
        std::process::exit(2);
    }
}

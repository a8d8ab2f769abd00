//! Records the updates of the configuration in the update log, and applies those that another process has recorded.

use super::coordinator::Delivery;
use crate::endpoint_list::{self, EndpointList};
use crate::installation::Installation;
use crate::timer::Timer;
use crate::update_log::{DocumentHeader, InitialDocument, InitialList, KnownList, Record, Update};
use bellsill_core::interface::Nanos;
use bellsill_directory::line::{EndpointEntry, ScopedLine};
use bellsill_discovery_client::{Applied, ScopedList};
use serde_json::Value;
use std::borrow::Cow;
use std::io;

/// The delay before the list is saved as a whole after an update could not be recorded.
const SAVE_RETRY_INTERVAL: Nanos = 50_000_000;
/// The delay for each endpoint of the list, whose encoding would otherwise keep a process with a large list busy for as long
/// as the disk is full.
const SAVE_RETRY_INTERVAL_PER_ENDPOINT: Nanos = 10_000;

impl Delivery {
    /// Applies the `known` list and the updates that earlier processes have recorded.
    pub(crate) fn apply_initial_list(&mut self, known: &Value, records: &[Record]) {
        let discovery = self.discovery.address().to_string();
        let known_list = KnownList {
            json: known,
            checksum: self.updates.known_checksum(),
            discovery: &discovery,
        };
        let InitialList {
            documents,
            continues,
        } = known_list.replay(records);
        for document in &documents {
            // Each document is parsed only for as long as it is applied: a list of a large fleet takes much memory.
            match document {
                InitialDocument::Known => self.apply_json_list(known),
                InitialDocument::Recorded(record) => {
                    record
                        .json()
                        .iter()
                        .for_each(|json| self.apply_json_list(json));
                }
                InitialDocument::Derived(changes) => self.apply_json_list(changes),
            }
        }
        if !continues {
            self.discovery.set_version(0);
            self.restart_log();
        }
        if documents.len() > 1 || !continues {
            log::info!(
                "applied the updates that an earlier process has recorded, up to version {}",
                self.discovery.version()
            );
        }
    }

    fn apply_json_list(&mut self, json: &Value) {
        if let Some(list) = endpoint_list::read(json, self.discovery.names()) {
            self.apply_list(&list);
        }
    }

    /// Applies the entries of the scoped list, brought up to date by the updates that earlier processes have recorded. The
    /// list of the watch stays as it was saved: the control process sends what has changed since then again.
    pub(crate) fn apply_initial_scope(&mut self, installation: &Installation, records: &[Record]) {
        let Some(saved) = self.discovery.scoped_list() else {
            return;
        };
        let changed = if records.is_empty() {
            saved.entries().cloned().collect()
        } else {
            let layout = installation.layout.clone();
            let list = saved.copy(layout, installation.cache_destinations);
            entries_after(list, records)
        };
        self.apply_changes(&Applied {
            changed,
            ..Applied::default()
        });
    }

    /// Records a list received from discovery, before it is applied. `json` is the parsed document.
    pub(super) fn record_list(&mut self, list: &EndpointList, document: &[u8], json: &Value) {
        // Without a record of each version, the next one would seem to have missed an update.
        let is_unchanged = list.version == self.discovery.version();
        if !list.complete && list.endpoints.is_empty() && is_unchanged {
            return;
        }
        let source = self.discovery.address().to_string();
        let text = one_line(document, json);
        let update = Update {
            source: &source,
            since: self.discovery.version(),
            document: &text,
        };
        if list.complete {
            self.write_or_retry(|delivery| delivery.updates.write_list(update));
        } else {
            self.write_or_retry(|delivery| delivery.updates.append(update));
        }
    }

    /// Has the list saved as a whole, because the versions from now on are those of another server.
    pub(super) fn restart_log(&mut self) {
        self.updates.mark_incomplete();
        let now = self.runtime.now;
        self.runtime.timers.set(Timer::SaveConfiguration, now);
    }

    /// Replaces the log by the list that is in force, if it has grown too long.
    pub(super) fn compact_updates(&mut self) {
        if self.updates.needs_compaction() && !self.updates.is_incomplete() {
            self.save_list();
        }
    }

    /// Saves the list as a whole after an update could not be recorded.
    pub(crate) fn retry_updates(&mut self) {
        if !self.updates.is_incomplete() {
            return;
        }
        if self.updates.may_have_space() {
            self.save_list();
        } else {
            let at = self.runtime.now + self.save_retry_interval();
            self.runtime.timers.set(Timer::SaveConfiguration, at);
        }
    }

    fn save_list(&mut self) {
        let version = self.discovery.version();
        let source = self.discovery.address().to_string();
        let text = self.runtime.endpoints.to_json(version);
        let list = Update {
            source: &source,
            since: version,
            document: &text,
        };
        self.write_or_retry(|delivery| delivery.updates.write_list(list));
    }

    /// Records a line of a control process, before it is applied, unless it changes nothing.
    pub(super) fn record_line(&mut self, document: &[u8]) {
        let Some(list) = self.discovery.scoped_list() else {
            return;
        };
        let (Ok(line), Ok(text)) = (
            serde_json::from_slice::<ScopedLine>(document),
            std::str::from_utf8(document),
        ) else {
            return;
        };
        let has_buckets =
            !(line.gained.is_empty() && line.lost.is_empty() && line.filled.is_empty());
        if line.servers.is_empty() && !has_buckets && line.version == list.version() {
            return;
        }
        let (source, since) = (list.log().to_string(), list.version().0);
        let update = Update {
            source: &source,
            since,
            document: text,
        };
        self.write_or_retry(|delivery| delivery.updates.append(update));
    }

    /// Removes the recorded updates that the saved scope file includes.
    pub(crate) fn clear_updates(&mut self) {
        self.write_or_retry(|delivery| delivery.updates.clear());
    }

    /// The length of the update log.
    pub(crate) fn updates_bytes(&self) -> u64 {
        self.updates.length()
    }

    /// Writes to the update log. If that fails, the list is saved as a whole later: at once if space was freed for it. The
    /// update log reports the error.
    fn write_or_retry(&mut self, write: impl FnOnce(&mut Delivery) -> io::Result<()>) {
        let was_incomplete = self.updates.is_incomplete();
        let written = write(self);
        self.runtime.journal.other_files_changed();
        let Err(error) = written else {
            return;
        };
        let mut at = self.runtime.now;
        if error.kind() == io::ErrorKind::StorageFull && !was_incomplete {
            self.runtime.journal.free_space();
        } else {
            at += self.save_retry_interval();
        }
        self.runtime.timers.set(Timer::SaveConfiguration, at);
    }

    fn save_retry_interval(&self) -> Nanos {
        let endpoints = self.runtime.endpoints.serving() as Nanos;
        SAVE_RETRY_INTERVAL.max(endpoints * SAVE_RETRY_INTERVAL_PER_ENDPOINT)
    }

    /// Applies the updates that another process on the same state directory has recorded and this one has not received.
    pub(crate) fn apply_shared_updates(&mut self) {
        if self.stopped {
            return;
        }
        let records = match self.updates.read_changes() {
            Ok(Some(records)) => records,
            Ok(None) => return,
            Err(e) => return log::debug!("cannot read the update log, will retry: {e}"),
        };
        for record in &records {
            if self.discovery.scoped_list().is_some() {
                self.apply_shared_line(record);
            } else {
                self.apply_shared_list(record);
            }
        }
    }

    fn apply_shared_list(&mut self, record: &Record) {
        let known_version = self.discovery.version();
        let is_news = |header: &DocumentHeader| {
            header.version > known_version && (header.full || record.since <= known_version)
        };
        if record.source != self.discovery.address().to_string()
            || !record.header().is_some_and(|header| is_news(&header))
        {
            return;
        }
        let Some(list) = record
            .json()
            .ok()
            .and_then(|json| endpoint_list::read(&json, self.discovery.names()))
        else {
            return;
        };
        log::info!(
            "applied version {} of the list, which another process has received",
            list.version
        );
        self.apply_list(&list);
        self.shared_version = Some(list.version);
    }

    /// Applies what ends in a line that another process has received: endpoints that drain or were removed. What begins is
    /// left to the own watch.
    fn apply_shared_line(&mut self, record: &Record) {
        let Some(list) = self.discovery.scoped_list() else {
            return;
        };
        let Ok(line) = record.parse::<ScopedLine>() else {
            return;
        };
        if record.source != list.log() || line.version <= list.version() {
            return;
        }
        let stopped = line.servers.into_iter().filter(|entry| entry.stops());
        let applied = Applied {
            changed: stopped.collect(),
            ..Applied::default()
        };
        self.apply_changes(&applied);
    }

    /// Whether a list of the own watch is older than one that another process has received. Such lists are skipped until
    /// the watch is opened anew.
    pub(super) fn is_outdated(&self, list: &EndpointList) -> bool {
        self.shared_version
            .is_some_and(|version| list.version < version)
    }
}

/// The text of a document without line ends, which would end the line of its record.
fn one_line<'a>(document: &'a [u8], json: &Value) -> Cow<'a, str> {
    match std::str::from_utf8(document) {
        Ok(text) if !text.contains(['\n', '\r']) => Cow::Borrowed(text),
        _ => Cow::Owned(json.to_string()),
    }
}

/// The entries of a list after the recorded updates that continue it.
fn entries_after(mut list: ScopedList, records: &[Record]) -> Vec<EndpointEntry> {
    for record in records {
        if let Some(line) = next_line(&list, record)
            && let Err(e) = list.apply(line)
        {
            log::warn!("configuration: skipped a recorded update: {e}");
        }
    }
    list.entries().cloned().collect()
}

/// The line of a record, if it continues this list.
fn next_line(list: &ScopedList, record: &Record) -> Option<ScopedLine> {
    let line: ScopedLine = record.parse().ok()?;
    let follows = record.source == list.log() && record.since <= list.version().0;
    let starts_log = !line.log.is_empty() && line.log != list.log();
    (follows && (starts_log || line.version >= list.version())).then_some(line)
}

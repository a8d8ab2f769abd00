//! Decides which recorded updates a starting process applies, and on top of which list.

use super::record::{DocumentHeader, Record};
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// A document of the list that a process without a scoped configuration starts with.
pub(crate) enum InitialDocument<'a> {
    /// The `known` list of the configuration file.
    Known,
    /// An update that an earlier process has recorded.
    Recorded(&'a Record),
    /// Changes that follow from updates which cannot be applied.
    Derived(Value),
}

/// The list that a process without a scoped configuration starts with.
pub(crate) struct InitialList<'a> {
    /// The documents to apply, in order.
    pub(crate) documents: Vec<InitialDocument<'a>>,
    /// Whether the version of the last document is one of the configured discovery server, so that the watch can
    /// continue from it.
    pub(crate) continues: bool,
}

/// The `known` list of the configuration file, and the discovery server that the file names.
pub(crate) struct KnownList<'a> {
    pub(crate) json: &'a Value,
    pub(crate) checksum: u32,
    pub(crate) discovery: &'a str,
}

/// The state up to which records have been replayed.
struct Position {
    version: u64,
    /// `None` while only the `known` list has been applied.
    source: Option<String>,
}

impl KnownList<'_> {
    fn version(&self) -> u64 {
        self.json
            .get("version")
            .and_then(Value::as_u64)
            .unwrap_or(0)
    }

    /// Whether a record is an update of the list at this position. A record of another server is one if it was received
    /// by a process that had started with the same list.
    fn is_update(&self, record: &Record, position: &Position) -> bool {
        match &position.source {
            Some(source) => *source == record.source,
            None => record.known == self.checksum || record.source == self.discovery,
        }
    }

    /// Whether a complete list takes the place of the one at this position.
    fn is_newer_list(&self, record: &Record, version: u64, position: &Position) -> bool {
        match &position.source {
            Some(source) => *source != record.source || version >= position.version,
            None => {
                record.known == self.checksum
                    || (record.source == self.discovery && version >= position.version)
            }
        }
    }

    /// Replays records on top of the list. A record whose predecessor is missing is skipped, with those that follow it:
    /// discovery sends their changes again, because the version stays behind.
    pub(crate) fn replay<'r>(&self, records: &'r [Record]) -> InitialList<'r> {
        let mut position = Position {
            version: self.version(),
            source: None,
        };
        let mut documents = vec![InitialDocument::Known];
        let mut skipped = Vec::new();
        for record in records {
            let Some(header) = record.header() else {
                continue;
            };
            if !self.continues_from(record, &header, &position) {
                skipped.push(record);
                continue;
            }
            if header.full {
                documents.clear();
            }
            position = Position {
                version: header.version,
                source: Some(record.source.clone()),
            };
            documents.push(InitialDocument::Recorded(record));
        }
        let is_of_other_server = |record: &Record| record.source != self.discovery;
        if position.source.is_none() && records.iter().any(is_of_other_server) {
            documents.push(InitialDocument::Derived(self.without_stopped(&skipped)));
            return InitialList {
                documents,
                continues: false,
            };
        }
        InitialList {
            documents,
            continues: position
                .source
                .is_none_or(|source| source == self.discovery),
        }
    }

    /// Whether a record can be applied at this position.
    fn continues_from(
        &self,
        record: &Record,
        header: &DocumentHeader,
        position: &Position,
    ) -> bool {
        if header.full {
            return self.is_newer_list(record, header.version, position);
        }
        self.is_update(record, position)
            && record.since <= position.version
            && header.version >= position.version
    }

    /// The changes that take the endpoints out of the known list that were last reported to drain or to be removed. Whether
    /// that was before or after the list is unknown where the records are of another server, whose versions are not
    /// comparable. The complete list is requested then.
    fn without_stopped(&self, skipped: &[&Record]) -> Value {
        let documents: Vec<Value> = skipped.iter().filter_map(|r| r.json().ok()).collect();
        let mut stopped = BTreeSet::new();
        for entry in documents.iter().flat_map(entries) {
            let Some(id) = entry.get("id").and_then(Value::as_str) else {
                continue;
            };
            if entry.get("state").and_then(Value::as_str) == Some("up") {
                stopped.remove(id);
            } else {
                stopped.insert(id);
            }
        }
        let draining: Vec<Value> = stopped
            .iter()
            .map(|id| json!({"id": id, "state": "draining"}))
            .collect();
        json!({"version": self.version(), "full": false, "servers": draining})
    }
}

fn entries(document: &Value) -> impl Iterator<Item = &Value> {
    let servers = document.get("servers").and_then(Value::as_array);
    servers.into_iter().flatten()
}

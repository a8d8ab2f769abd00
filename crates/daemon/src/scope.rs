//! What a dispatcher keeps of the scoped configuration, in its state folder: saved now and then and read at a start, so that a
//! restart with all control processes gone serves what it served before.

use crate::endpoint_list::{EndpointList, ListedEndpoint};
use crate::installation::Installation;
use bellsill_directory::line::{EndpointEntry, EndpointState, Version};
use bellsill_discovery_client::{Applied, ScopedList};
use bellsill_net::Nanos;
use bellsill_settings::Names;
use std::io;
use std::path::{Path, PathBuf};

/// The file in the state folder.
pub const SCOPE_FILE: &str = "scope";
/// How often the list is saved where it has changed. The harm: a restart serves what was known so long ago.
pub const SAVE_EVERY: Nanos = 5_000_000_000;
/// Of the disk limit, what the file and the copy that takes its place may take together.
const DISK_SHARE: f64 = 0.5;

/// What has happened to the file, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScopeFileCounters {
    /// Files that were there and could not be taken.
    pub refused: u64,
    pub saved: u64,
    /// Times that it could not be saved.
    pub failed: u64,
}

/// The file of one dispatcher.
pub struct ScopeFile {
    path: PathBuf,
    dispatcher: String,
    most_bytes: usize,
    /// The list's revision when it was saved last.
    saved_revision: Option<u64>,
    pub counters: ScopeFileCounters,
}

/// How many of the disk's bytes are left for all else.
pub fn disk_left(disk_bytes: u64) -> u64 {
    disk_bytes - (disk_bytes as f64 * DISK_SHARE) as u64
}

impl ScopeFile {
    pub fn new(folder: &Path, dispatcher: &str, disk_bytes: u64) -> ScopeFile {
        ScopeFile {
            path: folder.join(SCOPE_FILE),
            dispatcher: dispatcher.to_string(),
            most_bytes: (disk_bytes as f64 * DISK_SHARE / 2.0) as usize,
            saved_revision: None,
            counters: ScopeFileCounters::default(),
        }
    }

    /// The list as it was saved last; none where there is no file. One that cannot be taken is logged and counted.
    pub fn load(&mut self, installation: &Installation) -> Option<ScopedList> {
        let bytes = match std::fs::read(&self.path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
            Err(e) => {
                self.refuse(&e);
                return None;
            }
        };
        let layout = installation.layout.clone();
        match ScopedList::from_bytes(
            &bytes,
            &self.dispatcher,
            layout,
            installation.cache_destinations,
        ) {
            Ok(list) => Some(list),
            Err(e) => {
                self.refuse(&e);
                None
            }
        }
    }

    fn refuse(&mut self, why: &dyn std::error::Error) {
        self.counters.refused += 1;
        log::error!(
            "{}: not taken, the configuration begins from nothing: {why}",
            self.path.display()
        );
    }

    /// Whether the list has changed since it was saved last.
    pub fn lacks(&self, list: &ScopedList) -> bool {
        self.saved_revision != Some(list.revision())
    }

    /// Saves the list where it has changed since it was saved last.
    pub fn save(&mut self, list: &ScopedList) {
        if !self.lacks(list) {
            return;
        }
        match self.write(&list.to_bytes(&self.dispatcher)) {
            Ok(()) => {
                self.counters.saved += 1;
                self.saved_revision = Some(list.revision());
            }
            Err(e) => {
                self.counters.failed += 1;
                log::error!("{}: cannot be saved: {e}", self.path.display());
            }
        }
    }

    /// Writes a file beside it that takes its place once it is whole.
    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        if bytes.len() > self.most_bytes {
            let why = format!(
                "{} bytes are more than a quarter of the disk limit",
                bytes.len()
            );
            return Err(io::Error::other(why));
        }
        // Of this process alone: another version of the dispatcher may run beside it.
        let beside = self
            .path
            .with_extension(format!("{}.new", std::process::id()));
        let written =
            std::fs::write(&beside, bytes).and_then(|()| std::fs::rename(&beside, &self.path));
        if written.is_err() {
            let _ = std::fs::remove_file(&beside);
        }
        written
    }
}

/// The entries of a list of endpoints that comes from no control process.
pub fn entries_of(list: &EndpointList) -> impl Iterator<Item = EndpointEntry> {
    let entry = |listed: &ListedEndpoint| EndpointEntry {
        id: listed.name.clone(),
        addr: listed.addr.map(|addr| addr.to_string()),
        zone: listed.zone.clone(),
        kind: listed.kind.clone(),
        destination: listed.destination,
        state: if listed.serving {
            EndpointState::Up
        } else {
            EndpointState::Draining
        },
        weight: listed.weight,
        version: Version(0),
    };
    list.endpoints.iter().map(entry)
}

/// What a dispatcher is told of the changes to its list. An entry whose weight makes no sense is logged and skipped.
pub fn list_of(applied: &Applied, names: &Names) -> EndpointList {
    let changed = applied
        .changed
        .iter()
        .filter_map(|entry| listed(entry, names));
    let dropped = applied.dropped.iter().filter_map(|entry| {
        let gone = EndpointEntry {
            state: EndpointState::Removed,
            ..entry.clone()
        };
        listed(&gone, names)
    });
    // One that is dropped and there again under the same name is there.
    let endpoints = dropped.chain(changed).collect();
    EndpointList {
        version: 0,
        whole: false,
        endpoints,
    }
}

fn listed(entry: &EndpointEntry, names: &Names) -> Option<ListedEndpoint> {
    let Ok(rate) = names.rate(entry.weight) else {
        crate::endpoint_list::warn_of_entry("weight");
        return None;
    };
    Some(ListedEndpoint {
        name: entry.id.clone(),
        addr: entry.addr.as_ref().and_then(|addr| addr.parse().ok()),
        zone: entry.zone.clone(),
        kind: entry.kind.clone(),
        destination: entry.destination,
        serving: entry.state == EndpointState::Up,
        weight: entry.weight,
        rate,
    })
}

//! The replicated state that a leader and a follower share: the configuration, its log on disk, and what watchers have
//! been sent of it.

use crate::config::Config;
use crate::storage::{OpenedStorage, Storage, StorageError};
use bellsill_directory::feed::FeedLine;
use bellsill_directory::line::Version;
use bellsill_directory::record::{LoggedRecord, Record};
use bellsill_directory::request::WatchRequest;
use bellsill_directory::state::{ApplyError, Directory, Retention};
use bellsill_directory::watchers::{OpenedWatch, WatchRejected, WatcherId, Watchers};
use bellsill_net::Nanos;

/// The replicated state of one control process.
pub(crate) struct Replica {
    /// None in a follower that has not received the configuration yet.
    directory: Option<Directory>,
    watchers: Watchers,
    storage: Storage,
    /// Records that are applied, but not yet on disk. Nothing is sent to a connection before they are.
    unsynced: Vec<LoggedRecord>,
    synced: SyncCounts,
}

/// What has been made durable since the start.
#[derive(Clone, Copy, Default)]
pub(crate) struct SyncCounts {
    pub(crate) records: u64,
    pub(crate) syncs: u64,
}

impl Replica {
    /// Reads the state directory of a process.
    pub(crate) fn open(config: &Config) -> Result<Replica, StorageError> {
        let OpenedStorage { storage, directory } = Storage::open(
            &config.state,
            &config.name,
            config.layout.clone(),
            Retention::default(),
        )?;
        Ok(Replica {
            directory,
            watchers: Watchers::new(config.fill_pace),
            storage,
            unsynced: Vec::new(),
            synced: SyncCounts::default(),
        })
    }

    pub(crate) fn directory(&self) -> Option<&Directory> {
        self.directory.as_ref()
    }

    pub(crate) fn watchers(&self) -> &Watchers {
        &self.watchers
    }

    pub(crate) fn watchers_mut(&mut self) -> &mut Watchers {
        &mut self.watchers
    }

    pub(crate) fn storage(&self) -> &Storage {
        &self.storage
    }

    pub(crate) fn synced(&self) -> SyncCounts {
        self.synced
    }

    /// The version of the last record that is applied; version 0 comes before the first record.
    pub(crate) fn version(&self) -> Version {
        self.directory
            .as_ref()
            .map_or(Version(0), |directory| directory.version())
    }

    /// Applies a record with the next version.
    pub(crate) fn append(&mut self, record: Record) -> Result<(), ApplyError> {
        let version = Version(self.version().0 + 1);
        self.apply(LoggedRecord { version, record })
    }

    /// Applies a record. Watchers are sent it once it is on disk.
    pub(crate) fn apply(&mut self, logged: LoggedRecord) -> Result<(), ApplyError> {
        let Some(directory) = &mut self.directory else {
            return Ok(());
        };
        let applied = directory.apply(&logged)?;
        self.watchers.record_applied(&applied, directory);
        self.unsynced.push(logged);
        Ok(())
    }

    /// Makes the applied records durable.
    pub(crate) fn sync(&mut self) -> Result<(), StorageError> {
        if self.unsynced.is_empty() {
            return Ok(());
        }
        self.storage.append(&self.unsynced)?;
        self.synced.records += self.unsynced.len() as u64;
        self.synced.syncs += 1;
        self.unsynced.clear();
        match &self.directory {
            Some(directory) if self.storage.needs_snapshot_while_running() => {
                self.storage.write_snapshot(directory)
            }
            _ => Ok(()),
        }
    }

    /// Writes a snapshot if reading the log at the next start would take long.
    pub(crate) fn compact_log_at_start(&mut self) -> Result<(), StorageError> {
        match &self.directory {
            Some(directory) if self.storage.needs_snapshot_at_start() => {
                self.storage.write_snapshot(directory)
            }
            _ => Ok(()),
        }
    }

    /// Replaces the whole configuration, on disk too. All watches end, since their cursors refer to the old one.
    pub(crate) fn replace(&mut self, directory: Directory) -> Result<(), StorageError> {
        self.sync()?;
        self.storage.replace_state(&directory)?;
        let open: Vec<WatcherId> = self.watchers.ids().collect();
        open.into_iter().for_each(|id| self.watchers.close(id));
        self.directory = Some(directory);
        Ok(())
    }

    /// Opens a watch; none is opened as long as there is no configuration.
    pub(crate) fn open_watch(
        &mut self,
        request: WatchRequest,
        now: Nanos,
    ) -> Option<Result<OpenedWatch, WatchRejected>> {
        let directory = self.directory.as_ref()?;
        Some(self.watchers.open(request, directory, now))
    }

    /// The next line to send to a watcher, if there is one now.
    pub(crate) fn next_line(&mut self, watcher: WatcherId, now: Nanos) -> Option<FeedLine> {
        let directory = self.directory.as_ref()?;
        self.watchers.next_line(watcher, directory, now)
    }
}

//! The replicated state that leaders and followers have in common: the configuration, its log on disk, and the progress
//! of the watchers.

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
    /// The configuration. None in a follower that has not received it yet.
    directory: Option<Directory>,
    watchers: Watchers,
    storage: Storage,
    /// Records that are applied but not yet durable. Nothing is sent on a connection until they are.
    unsynced: Vec<LoggedRecord>,
    synced: SyncCounts,
}

/// What has been made durable since the process started.
#[derive(Clone, Copy, Default)]
pub(crate) struct SyncCounts {
    pub(crate) records: u64,
    pub(crate) syncs: u64,
}

impl Replica {
    /// Opens the state directory and recovers the configuration from it.
    pub(crate) fn open(config: &Config) -> Result<Replica, StorageError> {
        let OpenedStorage { storage, directory } = Storage::open(
            &config.state_directory,
            &config.name,
            config.layout.clone(),
            Retention::default(),
        )?;
        Ok(Replica {
            directory,
            watchers: Watchers::new(config.fill_rate_limit),
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

    /// The version of the last applied record, or 0 before the first one.
    pub(crate) fn version(&self) -> Version {
        self.directory
            .as_ref()
            .map_or(Version(0), |directory| directory.version())
    }

    /// Applies a record as the next version.
    pub(crate) fn append(&mut self, record: Record) -> Result<(), ApplyError> {
        let version = Version(self.version().0 + 1);
        self.apply(LoggedRecord { version, record })
    }

    /// Applies a record. It is sent to watchers once it is durable.
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

    /// Replaces the log with a snapshot if it is so long that the next start would be slow.
    pub(crate) fn compact_log_at_start(&mut self) -> Result<(), StorageError> {
        match &self.directory {
            Some(directory) if self.storage.needs_snapshot_at_start() => {
                self.storage.write_snapshot(directory)
            }
            _ => Ok(()),
        }
    }

    /// Replaces the complete configuration in memory and on disk. All watches are closed, because their cursors refer
    /// to the previous configuration.
    pub(crate) fn replace(&mut self, directory: Directory) -> Result<(), StorageError> {
        self.sync()?;
        self.storage.replace_state(&directory)?;
        let watchers: Vec<WatcherId> = self.watchers.ids().collect();
        watchers.into_iter().for_each(|id| self.watchers.close(id));
        self.directory = Some(directory);
        Ok(())
    }

    /// Opens a watch. Returns None if there is no configuration yet.
    pub(crate) fn open_watch(
        &mut self,
        request: WatchRequest,
        now: Nanos,
    ) -> Option<Result<OpenedWatch, WatchRejected>> {
        let directory = self.directory.as_ref()?;
        Some(self.watchers.open(request, directory, now))
    }

    /// The next line to send to a watcher, if one is due.
    pub(crate) fn next_line(&mut self, watcher: WatcherId, now: Nanos) -> Option<FeedLine> {
        let directory = self.directory.as_ref()?;
        self.watchers.next_line(watcher, directory, now)
    }
}

//! Applies the lines of the watch on the leader to a follower's replica: changes, and transfers of the complete
//! configuration.

use crate::replica::Replica;
use crate::storage::StorageError;
use bellsill_directory::complete_line::{CompleteLine, InvalidChanges, TransferStep};
use bellsill_directory::state::{ApplyError, LogId, Restore, RestorePoint, Retention};
use bellsill_placement::Layout;
use thiserror::Error;

/// Why a line is rejected. Records that precede the invalid part of the line stay applied; the rest changes nothing.
#[derive(Debug, Error)]
pub(crate) enum LineError {
    #[error("cannot decode a line: {0}")]
    Decode(#[from] serde_json::Error),
    #[error("{0}")]
    Apply(#[from] ApplyError),
    #[error("{0}")]
    Changes(#[from] InvalidChanges),
    #[error("a transfer starts without a bucket assignment")]
    NoAssignment,
    #[error("a line belongs to a transfer that was not started")]
    NoTransfer,
    #[error("received changes before the first transfer")]
    NoConfiguration,
    #[error("received changes of history {found}, but this process has history {expected}")]
    HistoryMismatch { expected: String, found: String },
    #[error("version {version} was announced without its changes")]
    MissingChanges { version: u64 },
}

/// Why a line is not applied.
#[derive(Debug, Error)]
pub(crate) enum ReplicationError {
    /// The line is invalid. The follower can open another watch.
    #[error("{0}")]
    Rejected(#[from] LineError),
    /// The process cannot continue.
    #[error("{0}")]
    Storage(#[from] StorageError),
}

/// The effect of a line on the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineEffect {
    /// The line was a heartbeat, had changes, or was part of a transfer.
    Applied,
    /// The line completed a transfer, which replaced the configuration and closed all watches.
    ConfigurationReplaced,
}

/// The receiving side of replication.
pub(crate) struct Replication {
    layout: Layout,
    /// The transfer in progress.
    transfer: Option<Box<Restore>>,
}

impl Replication {
    pub(crate) fn new(layout: Layout) -> Replication {
        Replication {
            layout,
            transfer: None,
        }
    }

    /// Discards an incomplete transfer. The next watch starts a new one.
    pub(crate) fn abort_transfer(&mut self) {
        self.transfer = None;
    }

    /// Applies one line.
    pub(crate) fn apply_line(
        &mut self,
        line: &[u8],
        replica: &mut Replica,
    ) -> Result<LineEffect, ReplicationError> {
        if line.trim_ascii().is_empty() {
            return Ok(LineEffect::Applied);
        }
        let line: CompleteLine = serde_json::from_slice(line).map_err(LineError::from)?;
        match line.transfer {
            Some(TransferStep::Begin) => self.start_transfer(line)?,
            Some(TransferStep::Piece) => self.add_entries(line)?,
            Some(TransferStep::End) => {
                self.complete_transfer(replica)?;
                return Ok(LineEffect::ConfigurationReplaced);
            }
            None => self.apply_changes(line, replica)?,
        }
        Ok(LineEffect::Applied)
    }

    fn start_transfer(&mut self, line: CompleteLine) -> Result<(), LineError> {
        let restore_point = RestorePoint {
            log: LogId(line.log),
            version: line.version,
            forgotten: line.forgotten.unwrap_or(line.version),
        };
        log::info!(
            "started a transfer of the complete configuration from the leader at version {}",
            restore_point.version.0
        );
        let mut restore = Restore::begin(self.layout.clone(), restore_point, Retention::default());
        restore.add_members(line.members.into_iter().map(|line| line.member).collect())?;
        restore.set_assignment(&line.table.ok_or(LineError::NoAssignment)?)?;
        self.transfer = Some(Box::new(restore));
        Ok(())
    }

    fn add_entries(&mut self, line: CompleteLine) -> Result<(), LineError> {
        let restore = self.transfer.as_mut().ok_or(LineError::NoTransfer)?;
        for entry in line.servers {
            restore.add_endpoint(entry)?;
        }
        Ok(())
    }

    fn complete_transfer(&mut self, replica: &mut Replica) -> Result<(), ReplicationError> {
        let restore = self.transfer.take().ok_or(LineError::NoTransfer)?;
        let directory = restore.finish();
        let (version, entries) = (directory.version(), directory.entries().len());
        replica.replace(directory)?;
        log::info!(
            "transfer completed: the configuration is at version {} and has {entries} endpoints",
            version.0
        );
        Ok(())
    }

    fn apply_changes(
        &mut self,
        line: CompleteLine,
        replica: &mut Replica,
    ) -> Result<(), LineError> {
        let log = line.log.clone();
        let version = line.version;
        let records = line.into_records()?;
        if let Some(restore) = &mut self.transfer {
            for logged in &records {
                restore.apply(logged)?;
            }
            return Ok(());
        }
        let directory = replica.directory().ok_or(LineError::NoConfiguration)?;
        if !log.is_empty() && log != directory.log().0 {
            return Err(LineError::HistoryMismatch {
                expected: directory.log().0.clone(),
                found: log,
            });
        }
        for logged in records {
            replica.apply(logged)?;
        }
        if version > replica.version() {
            return Err(LineError::MissingChanges { version: version.0 });
        }
        Ok(())
    }
}

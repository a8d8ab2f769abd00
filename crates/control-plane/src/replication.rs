//! Applying the lines of the leader's watch to a follower's replica: changes, and transfers of the complete configuration.

use crate::replica::Replica;
use crate::storage::StorageError;
use bellsill_directory::complete_line::{CompleteLine, InvalidChanges, TransferStep};
use bellsill_directory::state::{ApplyError, LogId, Restore, RestorePoint, Retention};
use bellsill_placement::Layout;
use thiserror::Error;

/// Why a line is rejected. The configuration is not changed by it, apart from records that it had before the fault.
#[derive(Debug, Error)]
pub(crate) enum LineError {
    #[error("a line cannot be decoded: {0}")]
    Decode(#[from] serde_json::Error),
    #[error("{0}")]
    Apply(#[from] ApplyError),
    #[error("{0}")]
    Changes(#[from] InvalidChanges),
    #[error("a transfer starts without an assignment")]
    NoAssignment,
    #[error("part of a transfer that was not started")]
    NoTransfer,
    #[error("changes before any transfer")]
    NoConfiguration,
    #[error("changes of history {found}, this process has {expected}")]
    OtherHistory { expected: String, found: String },
    #[error("version {version} without its changes")]
    MissingChanges { version: u64 },
}

/// Why a line is not applied.
#[derive(Debug, Error)]
pub(crate) enum ReplicationError {
    /// The line makes no sense; the follower can ask the leader again.
    #[error("{0}")]
    Rejected(#[from] LineError),
    /// The process cannot continue.
    #[error("{0}")]
    Storage(#[from] StorageError),
}

/// What a line did to the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineEffect {
    /// It was empty, had changes, or was part of a transfer.
    Applied,
    /// It completed a transfer: the configuration is another one, and all watches have ended.
    ConfigurationReplaced,
}

/// The receiving side of replication.
pub(crate) struct Replication {
    layout: Layout,
    /// A transfer that is in progress.
    transfer: Option<Box<Restore>>,
}

impl Replication {
    pub(crate) fn new(layout: Layout) -> Replication {
        Replication {
            layout,
            transfer: None,
        }
    }

    /// Drops an incomplete transfer; the next watch starts another one.
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
        let point = RestorePoint {
            log: LogId(line.log),
            version: line.version,
            forgotten: line.forgotten.unwrap_or(line.version),
        };
        log::info!(
            "transfer of the complete configuration from the leader started, at version {}",
            point.version.0
        );
        let mut restore = Restore::begin(self.layout.clone(), point, Retention::default());
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
            "transfer complete: the configuration is at version {} with {entries} endpoints",
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
            return Err(LineError::OtherHistory {
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

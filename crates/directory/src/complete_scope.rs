//! The scope of a control process that follows: every record, or the complete configuration where records are missing.

use crate::complete_line::{CompleteLine, MemberLine, TransferStep};
use crate::entries::EntryIndex;
use crate::line::{LONGEST_LINE, Version};
use crate::line_budget::LineBudget;
use crate::record::{MAX_ENDPOINTS_IN_RECORD, Record};
use crate::state::{Directory, LogId};

/// The most endpoints on one line of changes, so that it keeps to [`LONGEST_LINE`].
const MAX_ENDPOINTS_ON_LINE: usize = MAX_ENDPOINTS_IN_RECORD;
/// What a piece may take beside its entries.
const BYTES_BESIDE_ENTRIES: usize = 512;

/// How far a transfer is.
#[derive(Clone, Copy)]
enum Transfer {
    /// It has to begin.
    Due,
    /// Endpoints at indices after this one have not been sent, except those that changed after the transfer began: these
    /// are sent as changes.
    After {
        index: Option<EntryIndex>,
        began_at: Version,
    },
}

/// What one control process is sent, and how far.
pub(crate) struct CompleteScope {
    /// All changes up to this version have been sent.
    sent: Version,
    /// The first line has been sent.
    begun: bool,
    transfer: Option<Transfer>,
}

impl CompleteScope {
    /// Begins after a version where all records from there on are in the history, else with a transfer.
    pub(crate) fn start(
        log: Option<&LogId>,
        since: Version,
        directory: &Directory,
    ) -> CompleteScope {
        let known = log == Some(directory.log()) && directory.history().covers(since);
        CompleteScope {
            sent: since,
            begun: false,
            transfer: (!known).then_some(Transfer::Due),
        }
    }

    pub(crate) fn sent(&self) -> Version {
        self.sent
    }

    /// The next line of changes, or the one that begins a transfer.
    pub(crate) fn next_changes(&mut self, directory: &Directory) -> Option<CompleteLine> {
        let behind = !directory.history().covers(self.sent);
        if behind || matches!(self.transfer, Some(Transfer::Due)) {
            return Some(self.begin_transfer(directory));
        }
        let mut line = self.next_records(directory);
        if self.begun && line.version == self.sent {
            return None;
        }
        if !self.begun {
            line.log = directory.log().0.clone();
        }
        self.begun = true;
        self.sent = line.version;
        Some(line)
    }

    /// The next records that fit on one line: endpoints together, others alone, since they may be long.
    fn next_records(&self, directory: &Directory) -> CompleteLine {
        let mut line = self.empty_line();
        let mut endpoints = 0;
        for logged in directory.history().after(self.sent) {
            if let Record::EndpointsChanged(changed) = &logged.record {
                endpoints += changed.len();
            }
            let may_be_long = !matches!(logged.record, Record::EndpointsChanged(_));
            let is_first = self.sent == line.version;
            if !is_first && (may_be_long || endpoints > MAX_ENDPOINTS_ON_LINE) {
                break;
            }
            line.version = logged.version;
            line.add(logged);
            if may_be_long {
                break;
            }
        }
        line
    }

    /// The next piece of a transfer, or its end; to be called only when all changes have been sent.
    pub(crate) fn next_piece(&mut self, directory: &Directory) -> Option<CompleteLine> {
        let Some(Transfer::After { index, began_at }) = self.transfer else {
            return None;
        };
        let mut line = self.empty_line();
        let mut budget = LineBudget::new(LONGEST_LINE - BYTES_BESIDE_ENTRIES);
        let mut last = index;
        let entries = directory.entries();
        let unchanged = entries
            .after(index)
            .filter(|index| entries.version(*index) <= Some(began_at));
        for index in unchanged {
            let Some(entry) = entries.entry(index) else {
                continue;
            };
            if budget.reserve(&entry).is_err() {
                break;
            }
            line.servers.push(entry);
            last = Some(index);
        }
        if line.servers.is_empty() {
            line.transfer = Some(TransferStep::End);
            self.transfer = None;
        } else {
            line.transfer = Some(TransferStep::Piece);
            self.transfer = Some(Transfer::After {
                index: last,
                began_at,
            });
        }
        Some(line)
    }

    /// A line with just the current version; to be called only when all changes have been sent.
    pub(crate) fn version_line(&mut self, directory: &Directory) -> CompleteLine {
        self.sent = directory.version();
        self.empty_line()
    }

    fn empty_line(&self) -> CompleteLine {
        CompleteLine {
            version: self.sent,
            ..CompleteLine::default()
        }
    }

    fn begin_transfer(&mut self, directory: &Directory) -> CompleteLine {
        let version = directory.version();
        self.begun = true;
        self.sent = version;
        self.transfer = Some(Transfer::After {
            index: None,
            began_at: version,
        });
        let members = directory.members().iter().cloned();
        CompleteLine {
            version,
            log: directory.log().0.clone(),
            transfer: Some(TransferStep::Begin),
            forgotten: Some(directory.forgotten()),
            table: Some(directory.assignment().to_table()),
            members: members
                .map(|member| MemberLine { member, version })
                .collect(),
            ..CompleteLine::default()
        }
    }
}

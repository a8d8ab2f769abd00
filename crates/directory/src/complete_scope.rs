//! The scope of a follower: every record, or a transfer of the complete configuration if the history lacks records that
//! it needs.

use crate::complete_line::{CompleteLine, MemberLine, TransferStep};
use crate::entries::EntryIndex;
use crate::line::{LONGEST_LINE, Version};
use crate::line_budget::LineBudget;
use crate::record::{MAX_ENDPOINTS_IN_RECORD, Record};
use crate::state::{Directory, LogId};

/// The maximum number of endpoints on one line of changes, so that the line stays within [`LONGEST_LINE`].
const MAX_ENDPOINTS_ON_LINE: usize = MAX_ENDPOINTS_IN_RECORD;
/// The maximum size of a piece without its entries.
const MAX_BYTES_WITHOUT_ENTRIES: usize = 512;

/// The progress of a transfer.
#[derive(Clone, Copy)]
enum Transfer {
    /// The transfer has yet to begin.
    Due,
    /// Endpoints at indices after this one have not been sent, except those that changed after the transfer began,
    /// which are sent as changes.
    After {
        index: Option<EntryIndex>,
        began_at: Version,
    },
}

/// What one follower is sent, and how much of it has been sent.
pub(crate) struct CompleteScope {
    /// All changes up to this version have been sent.
    sent: Version,
    first_line_sent: bool,
    transfer: Option<Transfer>,
}

impl CompleteScope {
    /// Starts after the version `since` if the history has all records from there on, else with a transfer.
    pub(crate) fn start(
        log: Option<&LogId>,
        since: Version,
        directory: &Directory,
    ) -> CompleteScope {
        let known = log == Some(directory.log()) && directory.history().covers(since);
        CompleteScope {
            sent: since,
            first_line_sent: false,
            transfer: (!known).then_some(Transfer::Due),
        }
    }

    pub(crate) fn sent(&self) -> Version {
        self.sent
    }

    /// The next line of changes, or the first line of a transfer.
    pub(crate) fn next_changes(&mut self, directory: &Directory) -> Option<CompleteLine> {
        let behind = !directory.history().covers(self.sent);
        if behind || matches!(self.transfer, Some(Transfer::Due)) {
            return Some(self.begin_transfer(directory));
        }
        let mut line = self.next_records(directory);
        if self.first_line_sent && line.version == self.sent {
            return None;
        }
        if !self.first_line_sent {
            line.log = directory.log().0.clone();
        }
        self.first_line_sent = true;
        self.sent = line.version;
        Some(line)
    }

    /// The next records that fit on one line. Records of endpoints share a line; any other record may be long and has a
    /// line to itself.
    fn next_records(&self, directory: &Directory) -> CompleteLine {
        let mut line = self.new_line();
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

    /// The next piece of a transfer, or its end. Call only once all changes have been sent.
    pub(crate) fn next_piece(&mut self, directory: &Directory) -> Option<CompleteLine> {
        let Some(Transfer::After { index, began_at }) = self.transfer else {
            return None;
        };
        let mut line = self.new_line();
        let mut budget = LineBudget::new(LONGEST_LINE - MAX_BYTES_WITHOUT_ENTRIES);
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

    /// A line with only the current version. Call only once all changes have been sent.
    pub(crate) fn version_line(&mut self, directory: &Directory) -> CompleteLine {
        self.sent = directory.version();
        self.new_line()
    }

    fn new_line(&self) -> CompleteLine {
        CompleteLine {
            version: self.sent,
            ..CompleteLine::default()
        }
    }

    fn begin_transfer(&mut self, directory: &Directory) -> CompleteLine {
        let version = directory.version();
        self.first_line_sent = true;
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

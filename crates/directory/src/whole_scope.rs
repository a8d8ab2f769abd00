//! The scope of a control process that follows: every record, or the whole configuration where records are missing.

use crate::entries::EntryIndex;
use crate::entry::longest_on_line;
use crate::line::{LONGEST_LINE, Version};
use crate::record::Record;
use crate::state::{Directory, LogId};
use crate::whole_line::{MemberLine, TransferStep, WholeLine};

/// The endpoints on one line of changes, so that it keeps to [`LONGEST_LINE`].
const MOST_ENDPOINTS_ON_LINE: usize = crate::record::MOST_ENDPOINTS_IN_RECORD;
/// What a piece may take beside its entries.
const BYTES_BESIDE_ENTRIES: usize = 512;

/// How far a transfer is.
enum Transfer {
    /// To be begun.
    Due,
    /// Endpoints at places after this one are still to come, but for those that changed after the transfer was begun: these
    /// are told as changes.
    After {
        place: Option<EntryIndex>,
        begun: Version,
    },
}

/// What one control process is told, and how far.
pub(crate) struct WholeScope {
    /// All changes up to this version have been told.
    told: Version,
    begun: bool,
    transfer: Option<Transfer>,
}

impl WholeScope {
    /// Begins after a version where the records from there on are kept, else with a transfer.
    pub fn start(log: Option<&LogId>, since: Version, directory: &Directory) -> WholeScope {
        let known = log == Some(directory.log()) && directory.history().covers(since);
        WholeScope {
            told: since,
            begun: false,
            transfer: (!known).then_some(Transfer::Due),
        }
    }

    pub fn told(&self) -> Version {
        self.told
    }

    /// The next line of changes, or the one that begins a transfer.
    pub fn next_changes(&mut self, directory: &Directory) -> Option<WholeLine> {
        let behind = !directory.history().covers(self.told);
        if behind || matches!(self.transfer, Some(Transfer::Due)) {
            return Some(self.begin_transfer(directory));
        }
        let mut line = WholeLine {
            version: self.told,
            ..WholeLine::default()
        };
        let mut endpoints = 0;
        for logged in directory.history().after(self.told) {
            if let Record::EndpointsChanged(changed) = &logged.record {
                endpoints += changed.len();
            }
            let long = !matches!(logged.record, Record::EndpointsChanged(_));
            let alone = self.told == line.version;
            if !alone && (long || endpoints > MOST_ENDPOINTS_ON_LINE) {
                break;
            }
            line.version = logged.version;
            line.add(logged);
            if long {
                break;
            }
        }
        if self.begun && line.version == self.told {
            return None;
        }
        if !self.begun {
            line.log = directory.log().0.clone();
        }
        self.begun = true;
        self.told = line.version;
        Some(line)
    }

    /// The next piece of a transfer, or its end; call only when all changes have been told.
    pub fn next_piece(&mut self, directory: &Directory) -> Option<WholeLine> {
        let Some(Transfer::After { place, begun }) = self.transfer else {
            return None;
        };
        let mut line = WholeLine {
            version: self.told,
            ..WholeLine::default()
        };
        let mut room = LONGEST_LINE - BYTES_BESIDE_ENTRIES;
        let mut last = place;
        let entries = directory.entries();
        for index in entries
            .after(place)
            .filter(|index| entries.version(*index) <= Some(begun))
        {
            let Some(entry) = entries.entry(index) else {
                continue;
            };
            let Some(left) = room.checked_sub(longest_on_line(&entry)) else {
                break;
            };
            room = left;
            line.servers.push(entry);
            last = Some(index);
        }
        let ended = line.servers.is_empty();
        line.transfer = Some(if ended {
            TransferStep::End
        } else {
            TransferStep::Piece
        });
        self.transfer = (!ended).then_some(Transfer::After { place: last, begun });
        Some(line)
    }

    /// A line that tells just the current version; call only when all changes have been told.
    pub fn version_line(&mut self, directory: &Directory) -> WholeLine {
        self.told = directory.version();
        WholeLine {
            version: self.told,
            ..WholeLine::default()
        }
    }

    fn begin_transfer(&mut self, directory: &Directory) -> WholeLine {
        self.begun = true;
        self.told = directory.version();
        self.transfer = Some(Transfer::After {
            place: None,
            begun: self.told,
        });
        let version = directory.version();
        let members = directory.members().iter().cloned();
        WholeLine {
            version,
            log: directory.log().0.clone(),
            transfer: Some(TransferStep::Begin),
            forgotten: Some(directory.forgotten()),
            table: Some(directory.assignment().to_table()),
            members: members
                .map(|member| MemberLine { member, version })
                .collect(),
            ..WholeLine::default()
        }
    }
}

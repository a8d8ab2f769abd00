//! The mails of each ordering key, in the order in which they were taken.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// The mails of one key.
#[derive(Default)]
pub struct KeyLine {
    /// Those that have not ended.
    pub mails: VecDeque<MailId>,
    /// Ended mails whose last connect has no outcome yet.
    pub loose: u32,
    /// Until then no other mail of the key goes out.
    pub rest_until: Nanos,
}

/// The lines of all keys that have anything to remember.
#[derive(Default)]
pub struct KeyLines {
    lines: BTreeMap<KeyId, KeyLine>,
}

impl KeyLines {
    /// Whether no key has anything to remember.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// The line of a mail's key.
    pub fn get(&self, key: Option<KeyId>) -> Option<&KeyLine> {
        key.and_then(|key| self.lines.get(&key))
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, key: Option<KeyId>) -> Option<&mut KeyLine> {
        key.and_then(|key| self.lines.get_mut(&key))
    }

    /// Puts a mail at the end of its line.
    pub fn join(&mut self, key: KeyId, mail: MailId) {
        self.lines.entry(key).or_default().mails.push_back(mail);
    }

    /// Takes out a mail that has ended, with a connect still out or not, and forgets lines without use.
    pub fn leave(&mut self, key: Option<KeyId>, mail: MailId, still_out: bool, now: Nanos) {
        if let Some(line) = self.get_mut(key) {
            line.mails.retain(|other| *other != mail);
            line.loose += u32::from(still_out);
        }
        self.lines.retain(|_, line| !line.mails.is_empty() || line.loose > 0 || line.rest_until > now);
    }
}

//! What one watcher is sent: a cursor over the configuration that yields the lines to write next.

use crate::complete_scope::CompleteScope;
use crate::line::Version;
use crate::member_scope::MemberScope;
use crate::rate_limiter::{Nanos, RateLimit, TokenBucket};
use crate::request::{RequestedScope, WatchRequest};
use crate::state::Directory;
use serde::Serialize;

/// An empty line is sent after this time without another one.
pub const HEARTBEAT_INTERVAL: Nanos = 500_000_000;
/// A watcher without changes is sent the current version this often, so that its `since` does not become too old.
pub const VERSION_LINE_INTERVAL: Nanos = 5_000_000_000;
/// What fills take of a dispatcher's network, unless configured otherwise: its budget for configuration is 17 KB/s.
pub const FILL_RATE: RateLimit = RateLimit {
    bytes_per_second: 8 * 1024,
    burst_bytes: 16 * 1024,
};
/// What the transfer to another control process takes.
pub const TRANSFER_RATE: RateLimit = RateLimit {
    bytes_per_second: 8 * 1024 * 1024,
    burst_bytes: 1024 * 1024,
};

/// What a line is for; metrics count them separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// It has changes, or just the current version.
    Change,
    /// It fills buckets, or is a piece of a transfer.
    Fill,
    /// It shows that the connection is alive.
    Heartbeat,
}

/// A line to write, its end included.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedLine {
    /// What the line is for.
    pub kind: LineKind,
    /// The bytes to write.
    pub bytes: Vec<u8>,
}

/// The cursor of one watcher.
pub struct Feed {
    /// The request of a watcher that knows more than this process, until this process has caught up.
    waiting: Option<WatchRequest>,
    pub(crate) scope: Scope,
    rate_limiter: TokenBucket,
    last_line: Nanos,
    last_version_line: Nanos,
}

/// What a watcher is sent, and how far.
pub(crate) enum Scope {
    Member(Box<MemberScope>),
    Complete(CompleteScope),
}

impl Feed {
    /// Begins with what the request says is known.
    pub(crate) fn start(
        request: WatchRequest,
        directory: &Directory,
        fill_pace: RateLimit,
        now: Nanos,
    ) -> Feed {
        let scope = Scope::start(&request, directory);
        let limits = match scope {
            Scope::Member(_) => fill_pace,
            Scope::Complete(_) => TRANSFER_RATE,
        };
        let ahead =
            request.log.as_ref() == Some(directory.log()) && request.since > directory.version();
        Feed {
            waiting: Some(request).filter(|_| ahead),
            scope,
            rate_limiter: TokenBucket::new(limits, now),
            last_line: now,
            last_version_line: now,
        }
    }

    /// Whether the watcher knows more than this process has.
    pub fn is_waiting(&self) -> bool {
        self.waiting.is_some()
    }

    /// The next line to write, where there is one now. Changes come first, fills when all changes have been sent, and an
    /// empty line when there was nothing else for a while.
    pub fn next_line(&mut self, directory: &Directory, now: Nanos) -> Option<FeedLine> {
        self.end_waiting(directory);
        let line = self
            .next_content(directory, now)
            .or_else(|| self.empty_line(directory, now))?;
        self.last_line = now;
        Some(line)
    }

    fn end_waiting(&mut self, directory: &Directory) {
        let reached = |request: &WatchRequest| request.since <= directory.version();
        if self.waiting.as_ref().is_some_and(reached)
            && let Some(request) = self.waiting.take()
        {
            self.scope = Scope::start(&request, directory);
        }
    }

    fn next_content(&mut self, directory: &Directory, now: Nanos) -> Option<FeedLine> {
        if self.is_waiting() {
            return None;
        }
        if let Some(bytes) = self.scope.next_changes(directory) {
            self.last_version_line = now;
            return Some(FeedLine {
                kind: LineKind::Change,
                bytes,
            });
        }
        if !self.rate_limiter.is_open(now) {
            return None;
        }
        let bytes = self.scope.next_filling(directory)?;
        self.rate_limiter.take(bytes.len());
        self.last_version_line = now;
        Some(FeedLine {
            kind: LineKind::Fill,
            bytes,
        })
    }

    fn empty_line(&mut self, directory: &Directory, now: Nanos) -> Option<FeedLine> {
        if now < self.last_line + HEARTBEAT_INTERVAL {
            return None;
        }
        let version_due = now >= self.last_version_line + VERSION_LINE_INTERVAL;
        if version_due && !self.is_waiting() && self.scope.sent() < directory.version() {
            self.last_version_line = now;
            return Some(FeedLine {
                kind: LineKind::Change,
                bytes: self.scope.version_line(directory),
            });
        }
        Some(FeedLine {
            kind: LineKind::Heartbeat,
            bytes: b"\n".to_vec(),
        })
    }
}

impl Scope {
    fn start(request: &WatchRequest, directory: &Directory) -> Scope {
        match &request.scope {
            RequestedScope::Member {
                name,
                buckets,
                destinations,
            } => {
                let known = directory.can_resume_from(request.log.as_ref(), request.since);
                let same_log = request.log.as_ref() == Some(directory.log());
                let since = if same_log { request.since } else { Version(0) };
                let scope =
                    MemberScope::start(name, since, known, buckets, destinations, directory);
                Scope::Member(Box::new(scope))
            }
            RequestedScope::Complete => Scope::Complete(CompleteScope::start(
                request.log.as_ref(),
                request.since,
                directory,
            )),
        }
    }

    fn sent(&self) -> Version {
        match self {
            Scope::Member(scope) => scope.sent(),
            Scope::Complete(scope) => scope.sent(),
        }
    }

    fn next_changes(&mut self, directory: &Directory) -> Option<Vec<u8>> {
        match self {
            Scope::Member(scope) => scope.next_changes(directory).map(|line| encode(&line)),
            Scope::Complete(scope) => scope.next_changes(directory).map(|line| encode(&line)),
        }
    }

    fn next_filling(&mut self, directory: &Directory) -> Option<Vec<u8>> {
        match self {
            Scope::Member(scope) => scope.next_filling(directory).map(|line| encode(&line)),
            Scope::Complete(scope) => scope.next_piece(directory).map(|line| encode(&line)),
        }
    }

    fn version_line(&mut self, directory: &Directory) -> Vec<u8> {
        match self {
            Scope::Member(scope) => encode(&scope.version_line(directory)),
            Scope::Complete(scope) => encode(&scope.version_line(directory)),
        }
    }
}

fn encode(line: &impl Serialize) -> Vec<u8> {
    let mut bytes = serde_json::to_vec(line).expect("lines have no maps");
    bytes.push(b'\n');
    bytes
}

//! A cursor over the configuration that yields the next lines to write to one watcher.

use crate::complete_scope::CompleteScope;
use crate::line::Version;
use crate::member_scope::MemberScope;
use crate::rate_limiter::{Nanos, RateLimit, TokenBucket};
use crate::request::{RequestedScope, WatchRequest};
use crate::state::Directory;
use serde::Serialize;

/// A heartbeat is sent after this time without another line.
pub const HEARTBEAT_INTERVAL: Nanos = 500_000_000;
/// How often a watcher without changes in its scope is sent the current version, so that its `since` does not become
/// too old to resume from.
pub const VERSION_LINE_INTERVAL: Nanos = 5_000_000_000;
/// The default rate limit of bucket fills per dispatcher. A dispatcher's network budget for configuration is 17 KB/s.
pub const FILL_RATE: RateLimit = RateLimit {
    bytes_per_second: 8 * 1024,
    burst_bytes: 16 * 1024,
};
/// The rate limit of a transfer to a follower.
pub const TRANSFER_RATE: RateLimit = RateLimit {
    bytes_per_second: 8 * 1024 * 1024,
    burst_bytes: 1024 * 1024,
};

/// The purpose of a line. Metrics count each kind separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// Contains changes, or only the current version.
    Change,
    /// Fills buckets, or is a piece or the end of a transfer.
    Fill,
    /// An empty line, which shows that the connection is alive.
    Heartbeat,
}

/// A line to write, including its line feed.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedLine {
    /// The purpose of the line.
    pub kind: LineKind,
    /// The bytes to write.
    pub bytes: Vec<u8>,
}

/// The position of one watcher in the configuration.
pub struct Feed {
    /// The request of a watcher that knows a later version than this process has, until this process has caught up.
    ahead_request: Option<WatchRequest>,
    pub(crate) scope: Scope,
    rate_limiter: TokenBucket,
    last_line: Nanos,
    last_version_line: Nanos,
}

/// The part of the configuration that a watcher is sent, and how much of it has been sent.
pub(crate) enum Scope {
    Member(Box<MemberScope>),
    Complete(CompleteScope),
}

impl Feed {
    /// Starts after the changes that the watcher already knows according to its request.
    pub(crate) fn start(
        request: WatchRequest,
        directory: &Directory,
        fill_rate: RateLimit,
        now: Nanos,
    ) -> Feed {
        let scope = Scope::start(&request, directory);
        let limits = match scope {
            Scope::Member(_) => fill_rate,
            Scope::Complete(_) => TRANSFER_RATE,
        };
        let ahead =
            request.log.as_ref() == Some(directory.log()) && request.since > directory.version();
        Feed {
            ahead_request: Some(request).filter(|_| ahead),
            scope,
            rate_limiter: TokenBucket::new(limits, now),
            last_line: now,
            last_version_line: now,
        }
    }

    /// Whether this process has yet to reach the version that the watcher knows; until then it sends only heartbeats.
    pub fn is_waiting(&self) -> bool {
        self.ahead_request.is_some()
    }

    /// The next line to write, if there is one now: changes first, then fills once all changes have been sent, then a
    /// heartbeat or the current version if no line has been written for [`HEARTBEAT_INTERVAL`].
    pub fn next_line(&mut self, directory: &Directory, now: Nanos) -> Option<FeedLine> {
        self.start_once_caught_up(directory);
        let line = self
            .next_content(directory, now)
            .or_else(|| self.idle_line(directory, now))?;
        self.last_line = now;
        Some(line)
    }

    fn start_once_caught_up(&mut self, directory: &Directory) {
        let reached = |request: &WatchRequest| request.since <= directory.version();
        if self.ahead_request.as_ref().is_some_and(reached)
            && let Some(request) = self.ahead_request.take()
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
        if !self.rate_limiter.has_tokens(now) {
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

    fn idle_line(&mut self, directory: &Directory, now: Nanos) -> Option<FeedLine> {
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
    let mut bytes = serde_json::to_vec(line).expect("lines contain no maps");
    bytes.push(b'\n');
    bytes
}

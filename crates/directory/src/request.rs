//! Requests to `/api/targets`, parsed from the query of the request target.

use crate::line::Version;
use crate::state::LogId;
use bellsill_placement::{BucketId, MemberName};
use std::collections::BTreeSet;
use std::str::FromStr;

/// A request for the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetsRequest {
    /// Watches all changes after a version.
    Watch(WatchRequest),
    /// Looks up the entries of some destinations.
    LookUp(LookUpRequest),
}

/// A request for all changes after a version.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchRequest {
    /// The watcher knows all changes up to this version.
    pub since: Version,
    /// The log to which the version belongs.
    pub log: Option<LogId>,
    /// The part of the configuration to watch.
    pub scope: RequestedScope,
}

/// The requested scope of a watch, and the parts of it that the watcher already knows.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestedScope {
    /// The buckets and cached destinations of one dispatcher.
    Member {
        /// The dispatcher.
        name: MemberName,
        /// The buckets of which the dispatcher knows every entry.
        buckets: BTreeSet<BucketId>,
        /// The destinations outside of its buckets that the dispatcher caches; `cells` in the query.
        destinations: BTreeSet<u64>,
    },
    /// The complete configuration, for a follower.
    Complete,
}

/// A request for destinations outside of the dispatcher's buckets. From then on, its watch also sends their changes.
#[derive(Clone, Debug, PartialEq)]
pub struct LookUpRequest {
    /// The dispatcher, which must have an open watch on this process.
    pub dispatcher: MemberName,
    /// The destinations; `cells` in the query.
    pub destinations: BTreeSet<u64>,
    /// Destinations whose changes are no longer needed.
    pub forget: BTreeSet<u64>,
}

/// A field of the query is missing or invalid.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidRequest {
    /// The field of the query.
    pub field: &'static str,
    /// The expected form of the value.
    pub expected: &'static str,
}

impl std::fmt::Display for InvalidRequest {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}: expected {}", self.field, self.expected)
    }
}

impl std::error::Error for InvalidRequest {}

/// The fields of a query. Unknown fields are ignored, since dispatchers of later versions may send more.
#[derive(Default)]
struct Fields {
    follow: bool,
    complete: bool,
    since: Version,
    log: Option<LogId>,
    dispatcher: Option<MemberName>,
    buckets: BTreeSet<BucketId>,
    destinations: BTreeSet<u64>,
    forget: BTreeSet<u64>,
}

impl TargetsRequest {
    /// Parses the query of a request target, which is the part after the question mark.
    pub fn parse(query: &str) -> Result<TargetsRequest, InvalidRequest> {
        let fields = Fields::parse(query)?;
        if !fields.follow {
            return Ok(TargetsRequest::LookUp(LookUpRequest {
                dispatcher: fields.dispatcher.ok_or(DISPATCHER_MISSING)?,
                destinations: fields.destinations,
                forget: fields.forget,
            }));
        }
        let scope = if fields.complete {
            RequestedScope::Complete
        } else {
            RequestedScope::Member {
                name: fields.dispatcher.ok_or(DISPATCHER_MISSING)?,
                buckets: fields.buckets,
                destinations: fields.destinations,
            }
        };
        Ok(TargetsRequest::Watch(WatchRequest {
            since: fields.since,
            log: fields.log,
            scope,
        }))
    }
}

const DISPATCHER_MISSING: InvalidRequest = InvalidRequest {
    field: "dispatcher",
    expected: "the name of a declared dispatcher",
};

impl Fields {
    fn parse(query: &str) -> Result<Fields, InvalidRequest> {
        let mut fields = Fields::default();
        for (name, value) in form_urlencoded::parse(query.as_bytes()) {
            match &*name {
                "follow" => fields.follow = value == "1",
                "scope" if value == "all" => fields.complete = true,
                "scope" => {
                    return Err(InvalidRequest {
                        field: "scope",
                        expected: "all, or no such field",
                    });
                }
                "since" => fields.since = Version(number("since", &value)?),
                "log" => {
                    fields.log = Some(LogId(value.into_owned())).filter(|log| !log.0.is_empty())
                }
                "dispatcher" => fields.dispatcher = Some(MemberName(value.into_owned())),
                "buckets" => {
                    fields.buckets = list("buckets", &value)?.into_iter().map(BucketId).collect()
                }
                "cells" => fields.destinations = list("cells", &value)?,
                "forget" => fields.forget = list("forget", &value)?,
                _ => {}
            }
        }
        Ok(fields)
    }
}

fn number<T: FromStr>(field: &'static str, text: &str) -> Result<T, InvalidRequest> {
    let invalid = InvalidRequest {
        field,
        expected: "whole numbers, separated by commas",
    };
    text.parse().ok().ok_or(invalid)
}

fn list<T: FromStr + Ord>(field: &'static str, text: &str) -> Result<BTreeSet<T>, InvalidRequest> {
    let numbers = text.split(',').filter(|part| !part.is_empty());
    numbers.map(|part| number(field, part)).collect()
}

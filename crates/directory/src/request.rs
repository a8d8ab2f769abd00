//! The requests for `/api/targets`, decoded from the query of their target.

use crate::line::Version;
use crate::state::LogId;
use bellsill_placement::{BucketId, MemberName};
use std::collections::BTreeSet;
use std::str::FromStr;

/// A request for the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetsRequest {
    /// For all changes from a version on.
    Watch(WatchRequest),
    /// For the entries of some destinations.
    LookUp(LookUpRequest),
}

/// A request for all changes from a version on.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchRequest {
    /// The version up to which all is known.
    pub since: Version,
    /// The log that the version counts.
    pub log: Option<LogId>,
    /// What the watch is to send.
    pub scope: RequestedScope,
}

/// Whose scope a watch has, and what of it is known.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestedScope {
    /// What one dispatcher needs.
    Member {
        /// The dispatcher.
        name: MemberName,
        /// Buckets of which it knows every entry.
        buckets: BTreeSet<BucketId>,
        /// Destinations outside of its buckets that it caches.
        destinations: BTreeSet<u64>,
    },
    /// The complete configuration, for a control process that follows.
    Complete,
}

/// A request for destinations that are in no bucket of the dispatcher; its watch sends their changes from then on.
#[derive(Clone, Debug, PartialEq)]
pub struct LookUpRequest {
    /// The dispatcher, which has a watch here.
    pub dispatcher: MemberName,
    /// The destinations.
    pub destinations: BTreeSet<u64>,
    /// Destinations whose changes are not needed any more.
    pub forget: BTreeSet<u64>,
}

/// A field of the query is missing or cannot be read.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidRequest {
    /// The field of the query.
    pub field: &'static str,
    /// The form that it has to have.
    pub expected: &'static str,
}

impl std::fmt::Display for InvalidRequest {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}: expected {}", self.field, self.expected)
    }
}

impl std::error::Error for InvalidRequest {}

/// The fields of a query. Unknown ones are ignored: a later dispatcher may send more.
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
    /// Reads the query of a request's target: what follows the question mark.
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

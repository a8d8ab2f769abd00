//! Builds the query strings of requests to a control process. On the wire a destination is called `cell`.

/// The target of a lookup request. The control process also stops sending updates for the `evicted` destinations.
pub(crate) fn lookup_target(dispatcher: &str, destinations: &[u64], evicted: &[u64]) -> String {
    let mut target = format!("/api/targets?dispatcher={dispatcher}");
    push_numbers(&mut target, "cells", destinations.iter().copied());
    push_numbers(&mut target, "forget", evicted.iter().copied());
    target
}

/// The query of a watch request, which describes the state of the dispatcher: it has applied `log` up to `version`
/// (`log` is empty before the first line of a control process), and has every entry of the `complete` buckets and of
/// the `cached` destinations.
pub(crate) fn watch_query(
    version: u64,
    log: &str,
    dispatcher: &str,
    complete: impl Iterator<Item = u64>,
    cached: impl Iterator<Item = u64>,
) -> String {
    let mut query = format!("since={version}");
    if !log.is_empty() {
        query.push_str(&format!("&log={log}"));
    }
    query.push_str(&format!("&dispatcher={dispatcher}"));
    push_numbers(&mut query, "buckets", complete);
    push_numbers(&mut query, "cells", cached);
    query
}

/// Appends a field with a comma-separated list of numbers, unless the list is empty.
fn push_numbers(query: &mut String, field: &str, numbers: impl Iterator<Item = u64>) {
    for (position, number) in numbers.enumerate() {
        match position {
            0 => query.push_str(&format!("&{field}={number}")),
            _ => query.push_str(&format!(",{number}")),
        }
    }
}

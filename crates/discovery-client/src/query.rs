//! The queries of requests to a control process. The wire's word for a destination is `cell`.

/// The target of a lookup request, which also releases the destinations that were evicted.
pub(crate) fn lookup_target(dispatcher: &str, destinations: &[u64], evicted: &[u64]) -> String {
    let mut target = format!("/api/targets?dispatcher={dispatcher}");
    push_numbers(&mut target, "cells", destinations.iter().copied());
    push_numbers(&mut target, "forget", evicted.iter().copied());
    target
}

/// The query of a watch request, which says what the dispatcher knows: all up to `version` of `log` (empty before the
/// first line of a control process), every entry of the `complete` buckets and of the `cached` destinations.
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

/// Appends a field with a list of numbers, if there are any.
fn push_numbers(query: &mut String, field: &str, numbers: impl Iterator<Item = u64>) {
    for (position, number) in numbers.enumerate() {
        match position {
            0 => query.push_str(&format!("&{field}={number}")),
            _ => query.push_str(&format!(",{number}")),
        }
    }
}

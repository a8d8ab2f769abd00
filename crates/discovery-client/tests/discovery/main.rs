//! Tests of the watch, its lookups and its list.

mod fixtures;
mod layout;
mod liveness;
mod lookups;
mod plain_watch;
mod scoped_list;
mod scoped_watch;

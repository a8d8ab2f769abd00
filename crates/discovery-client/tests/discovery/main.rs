//! The watch, its lookups and its list.

mod driver;
mod liveness;
mod lookups;
mod plain_watch;
mod scoped_list;
mod scoped_watch;
mod tens_layout;

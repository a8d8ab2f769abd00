//! The cases.

mod indented;
mod old_list;
mod late_notice;
mod restart_list;
mod scope_restart;

use crate::Verdict;
use crate::record::Record;

pub fn run(case: &str, trouble: bool, record: &Record) -> Verdict {
    match case {
        "old-list" => old_list::run(trouble, record),
        "restart-list" => restart_list::run(trouble, record),
        "late-notice" => late_notice::run(trouble, record),
        "scope-restart" => scope_restart::run(trouble, record),
        "indented" => indented::run(trouble, record),
        _ => Verdict::CannotRun(format!("there is no case {case}")),
    }
}

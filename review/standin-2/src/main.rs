//! Stand-ins for clients, endpoints and the platform, and the cases that use them.
//!
//! `standin2 CASE FOLDER` runs a case, writes `record.txt` to the folder and ends with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod dispatcher;
mod endpoint;
mod platform;
mod record;
mod settings;
mod soak;

use record::Record;
use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

/// How a run ended.
pub enum Verdict {
    Held,
    Broken(String),
    CannotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin2 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&PathBuf::from(folder).join("record.txt")).unwrap_or_else(|e| {
        eprintln!("record.txt: {e}");
        exit(2);
    });
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    let (case, of) = (case.clone(), record.clone());
    // The case drops its processes and its temporary folder when it returns or panics.
    let soak = case == "soak";
    let (done, end) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let verdict = std::panic::catch_unwind(|| if case == "soak" { soak::run(&of) } else { cases::run(&case, trouble, &of) });
        done.send(verdict).ok();
    });
    let verdict = match end.recv_timeout(Duration::from_secs(if soak { 1200 } else { 110 })) {
        Ok(Ok(verdict)) => verdict,
        _ => {
            dispatcher::kill_all();
            Verdict::CannotRun("the case failed or took too long".into())
        }
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_string()),
        Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
        Verdict::CannotRun(text) => (2, format!("the case could not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}

//! A worker process as the parent sees it: orders are written to it, reports become events.

use super::events::Event;
use super::messages::{Order, Report};
use super::options::WorkerOptions;
use anyhow::{Context, Result};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::mpsc::Sender;

pub struct WorkerProcess {
    child: Child,
    orders: ChildStdin,
}

impl WorkerProcess {
    /// Starts a worker without dispatchers.
    pub fn start(
        program: &Path,
        number: usize,
        options: &WorkerOptions,
        log: &Path,
        events: Sender<Event>,
    ) -> Result<Self> {
        let log = std::fs::File::create(log).with_context(|| log.display().to_string())?;
        let mut child = Command::new(program)
            .arg("hollow-worker")
            .arg(serde_json::to_string(options)?)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| program.display().to_string())?;
        let orders = child
            .stdin
            .take()
            .context("the worker has no standard input")?;
        let reports = child
            .stdout
            .take()
            .context("the worker has no standard output")?;
        std::thread::spawn(move || read_reports(number, reports, &events));
        Ok(WorkerProcess { child, orders })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn order(&mut self, order: &Order) -> Result<()> {
        let mut line = serde_json::to_vec(order)?;
        line.push(b'\n');
        self.orders.write_all(&line)?;
        Ok(self.orders.flush()?)
    }
}

impl Drop for WorkerProcess {
    fn drop(&mut self) {
        // It may just have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_reports(worker: usize, reports: ChildStdout, events: &Sender<Event>) {
    for line in BufReader::new(reports).lines() {
        let Ok(line) = line else { break };
        let event = match serde_json::from_str::<Report>(&line) {
            Ok(report) => Event::Report { worker, report },
            Err(e) => Event::BadReport {
                worker,
                what: e.to_string(),
            },
        };
        if events.send(event).is_err() {
            return; // The fleet has ended.
        }
    }
    // The same.
    let _ = events.send(Event::WorkerEnded { worker });
}

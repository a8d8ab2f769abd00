//! Runs a session: reads batches of lines, and writes the output of each batch at its end.

use crate::actions::{write_batch_end, write_panic};
use crate::endpoint_list::{EndpointLists, ListedEndpoint};
use crate::error::{LineError, SessionError};
use crate::events::{Event, EventKind, parse_start};
use crate::instance::{HandlingError, Instance};
use crate::line::Line;
use bellsill_core::interface::Nanos;
use std::collections::HashMap;
use std::io::{BufRead, Lines, Write};

/// Runs a session until the end of its input.
pub(crate) fn run_session(input: impl BufRead, mut output: impl Write) -> Result<(), SessionError> {
    let mut session = Session::default();
    let mut input = InputLines(input.lines());
    while let Some(text) = input.next()? {
        if text.is_empty() {
            continue;
        }
        let header = Line::parse(&text)?;
        if header.name != "BATCH" {
            return Err(header.invalid_name("BATCH").into());
        }
        session.now = header.number("time-ns")?;
        let batch = header.number("seq")?;
        session.process_batch(&mut input)?;
        write_batch_end(&mut session.out, batch);
        output
            .write_all(&session.out)
            .and_then(|()| output.flush())
            .map_err(SessionError::Write)?;
        session.out.clear();
    }
    Ok(())
}

struct InputLines<R>(Lines<R>);

impl<R: BufRead> InputLines<R> {
    fn next(&mut self) -> Result<Option<String>, SessionError> {
        self.0.next().transpose().map_err(SessionError::Read)
    }

    /// Reads the next line of an unfinished batch.
    fn next_in_batch(&mut self) -> Result<String, SessionError> {
        self.next()?.ok_or(SessionError::UnfinishedBatch)
    }
}

#[derive(Default)]
struct Session {
    instances: HashMap<String, Instance>,
    endpoint_lists: EndpointLists,
    /// The simulated time of the current batch.
    now: Nanos,
    /// The output of the current batch.
    out: Vec<u8>,
}

impl Session {
    fn process_batch(&mut self, input: &mut InputLines<impl BufRead>) -> Result<(), SessionError> {
        loop {
            let text = input.next_in_batch()?;
            let line = Line::parse(&text)?;
            match line.name {
                "" => {}
                "EOF_BATCH" => return Ok(()),
                "DEFINE_LIST" => self.define_list(&line, input)?,
                _ => self.handle_event(&line)?,
            }
        }
    }

    fn define_list(
        &mut self,
        line: &Line,
        input: &mut InputLines<impl BufRead>,
    ) -> Result<(), SessionError> {
        let mut endpoints = Vec::new();
        for _ in 0..line.number("items")? {
            let text = input.next_in_batch()?;
            endpoints.push(ListedEndpoint::parse(&Line::parse(&text)?)?);
        }
        self.endpoint_lists.insert(line.number("bank")?, endpoints);
        Ok(())
    }

    fn handle_event(&mut self, line: &Line) -> Result<(), LineError> {
        let name = line.required("dispatcher")?;
        match EventKind::from_line(line)? {
            EventKind::Start => {
                let instance = Instance::start(self.now, parse_start(line)?);
                self.instances.insert(name.to_string(), instance);
                Ok(())
            }
            EventKind::Crash => {
                self.instances.remove(name);
                Ok(())
            }
            kind => self.handle_instance_event(kind, name, line),
        }
    }

    /// Handles an event for an instance; the event is ignored if the instance is not running.
    fn handle_instance_event(
        &mut self,
        kind: EventKind,
        name: &str,
        line: &Line,
    ) -> Result<(), LineError> {
        let Some(instance) = self.instances.get_mut(name) else {
            return Ok(());
        };
        let event = Event::parse(kind, line, instance.names(), &self.endpoint_lists)?;
        match instance.handle(self.now, event, name, &mut self.out) {
            Ok(()) => Ok(()),
            Err(HandlingError::InvalidWeight) => {
                Err(line.invalid_field("power-hint", "a valid rate"))
            }
            Err(HandlingError::Panicked(reason)) => {
                write_panic(&mut self.out, name, &reason);
                self.instances.remove(name);
                Ok(())
            }
        }
    }
}

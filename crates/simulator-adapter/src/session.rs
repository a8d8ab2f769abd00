//! A session: reads batches of lines, and answers each batch as a whole.

use crate::actions::{write_batch_end, write_panic};
use crate::endpoint_list::{EndpointLists, ListedEndpoint};
use crate::error::{LineError, SessionError};
use crate::events::{Event, EventKind, parse_start};
use crate::instance::{HandlingError, Instance};
use crate::line::Line;
use bellsill_core::interface::Nanos;
use std::collections::HashMap;
use std::io::{BufRead, Lines, Write};

/// Serves a session until its input ends.
pub(crate) fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), SessionError> {
    let mut session = Session::default();
    let mut input = Input(input.lines());
    while let Some(text) = input.next()? {
        if text.is_empty() {
            continue;
        }
        let head = Line::parse(&text)?;
        if head.name != "BATCH" {
            return Err(head.invalid_name("BATCH").into());
        }
        session.now = head.number("time-ns")?;
        let batch = head.number("seq")?;
        session.read_batch(&mut input)?;
        write_batch_end(&mut session.out, batch);
        output
            .write_all(&session.out)
            .and_then(|()| output.flush())
            .map_err(SessionError::Write)?;
        session.out.clear();
    }
    Ok(())
}

/// The lines of the input.
struct Input<R>(Lines<R>);

impl<R: BufRead> Input<R> {
    fn next(&mut self) -> Result<Option<String>, SessionError> {
        self.0.next().transpose().map_err(SessionError::Read)
    }

    /// The next line of a batch, which has not ended yet.
    fn next_of_batch(&mut self) -> Result<String, SessionError> {
        self.next()?.ok_or(SessionError::UnfinishedBatch)
    }
}

#[derive(Default)]
struct Session {
    instances: HashMap<String, Instance>,
    lists: EndpointLists,
    /// The time of the batch.
    now: Nanos,
    /// The answer to the batch.
    out: Vec<u8>,
}

impl Session {
    fn read_batch(&mut self, input: &mut Input<impl BufRead>) -> Result<(), SessionError> {
        loop {
            let text = input.next_of_batch()?;
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
        input: &mut Input<impl BufRead>,
    ) -> Result<(), SessionError> {
        let mut endpoints = Vec::new();
        for _ in 0..line.number("items")? {
            let text = input.next_of_batch()?;
            endpoints.push(ListedEndpoint::parse(&Line::parse(&text)?)?);
        }
        self.lists.insert(line.number("bank")?, endpoints);
        Ok(())
    }

    fn handle_event(&mut self, line: &Line) -> Result<(), LineError> {
        let name = line.text("dispatcher")?;
        match EventKind::of(line)? {
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

    /// Events of an instance that does not run are dropped.
    fn handle_instance_event(
        &mut self,
        kind: EventKind,
        name: &str,
        line: &Line,
    ) -> Result<(), LineError> {
        let Some(instance) = self.instances.get_mut(name) else {
            return Ok(());
        };
        let event = Event::parse(kind, line, instance.names(), &self.lists)?;
        match instance.handle(self.now, event, name, &mut self.out) {
            Ok(()) => Ok(()),
            Err(HandlingError::InvalidWeight) => Err(line.invalid("power-hint", "a rate")),
            Err(HandlingError::Panicked(reason)) => {
                write_panic(&mut self.out, name, &reason);
                self.instances.remove(name);
                Ok(())
            }
        }
    }
}

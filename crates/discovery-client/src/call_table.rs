//! The open calls of a watch.

use crate::call::{Call, CallId};
use crate::command::{Command, Timer};
use bellsill_net::Nanos;

#[derive(Default)]
pub(crate) struct CallTable {
    calls: Vec<Call>,
}

impl CallTable {
    pub(crate) fn add(&mut self, call: Call) {
        self.calls.push(call);
    }

    pub(crate) fn get(&self, id: CallId) -> Option<&Call> {
        self.calls.iter().find(|call| call.id() == id)
    }

    pub(crate) fn get_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.iter_mut().find(|call| call.id() == id)
    }

    /// The call that serves the watch, if any.
    pub(crate) fn serving(&self) -> Option<CallId> {
        let call = self.calls.iter().find(|call| call.is_serving())?;
        Some(call.id())
    }

    /// Makes this call the one that serves the watch, and closes all others.
    pub(crate) fn promote(&mut self, now: Nanos, id: CallId) -> Vec<Command> {
        let commands = self.close_where(|call| call.id() != id);
        for call in &mut self.calls {
            call.mark_serving(now);
        }
        commands
    }

    pub(crate) fn close(&mut self, id: CallId) -> Vec<Command> {
        self.close_where(|call| call.id() == id)
    }

    pub(crate) fn close_all(&mut self) -> Vec<Command> {
        self.close_where(|_| true)
    }

    fn close_where(&mut self, closes: impl Fn(&Call) -> bool) -> Vec<Command> {
        self.calls
            .extract_if(.., |call| closes(call))
            .flat_map(|call| close_commands(call.id()))
            .collect()
    }
}

/// The commands that close the connection of a call.
pub(crate) fn close_commands(call: CallId) -> [Command; 2] {
    [Command::ClearTimer(Timer::Call(call)), Command::Close(call)]
}

//! Records the actions of the decision logic during a call, to be executed after the call.

use bellsill_core::interface::{Actions, AttemptNumber, EndpointId, MessageId, Nanos};

pub(super) enum Command {
    SendAttempt {
        message: MessageId,
        endpoint: EndpointId,
        timeout: Nanos,
    },
    Reject {
        message: MessageId,
        retry_after: Nanos,
    },
    Fail(MessageId),
    CancelAttempt(MessageId, AttemptNumber),
    CloseIdleConnections(EndpointId),
    ScheduleWakeup(Nanos),
}

pub(super) struct CommandRecorder {
    pub(super) commands: Vec<Command>,
    /// The dispatcher's index, for log lines.
    dispatcher: usize,
    now: Nanos,
}

impl CommandRecorder {
    pub(super) fn new(dispatcher: usize, now: Nanos) -> CommandRecorder {
        CommandRecorder {
            commands: vec![],
            dispatcher,
            now,
        }
    }
}

impl Actions for CommandRecorder {
    fn send_attempt(&mut self, message: MessageId, endpoint: EndpointId, timeout: Nanos) {
        self.commands.push(Command::SendAttempt {
            message,
            endpoint,
            timeout,
        });
    }

    fn reject(&mut self, message: MessageId, retry_after: Nanos) {
        self.commands.push(Command::Reject {
            message,
            retry_after,
        });
    }

    fn fail(&mut self, message: MessageId) {
        self.commands.push(Command::Fail(message));
    }

    fn cancel_attempt(&mut self, message: MessageId, number: AttemptNumber) {
        self.commands.push(Command::CancelAttempt(message, number));
    }

    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        self.commands.push(Command::CloseIdleConnections(endpoint));
    }

    fn endpoint_removed(&mut self, _: EndpointId) {}

    // The model publishes the endpoint list by itself.
    fn request_watch(&mut self) {}

    fn schedule_wakeup(&mut self, after: Nanos) {
        self.commands.push(Command::ScheduleWakeup(after));
    }

    fn log(&mut self, line: &str) {
        tracing::debug!(at = self.now, dispatcher = self.dispatcher, "{line}");
    }
}

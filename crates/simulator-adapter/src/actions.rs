//! Encodes the actions of a dispatcher instance as lines.

use bellsill_core::interface::{Actions, AttemptNumber, EndpointId, MessageId, Nanos};
use std::fmt;
use std::io::Write;

/// Appends the actions of one instance to the output.
pub(crate) struct ActionWriter<'a> {
    pub(crate) out: &'a mut Vec<u8>,
    /// The simulator's name for the instance.
    pub(crate) instance: &'a str,
    /// The simulator's names for the endpoints, indexed by endpoint ID.
    pub(crate) endpoint_names: &'a [String],
}

impl<'a> ActionWriter<'a> {
    fn write_action(&mut self, action: &str, fields: fmt::Arguments) {
        let instance = self.instance;
        append_line(
            self.out,
            format_args!("{action} dispatcher={instance}{fields}"),
        );
    }

    fn endpoint_name(&self, endpoint: EndpointId) -> &'a str {
        &self.endpoint_names[endpoint.0 as usize]
    }
}

impl Actions for ActionWriter<'_> {
    fn send_attempt(&mut self, message: MessageId, endpoint: EndpointId, timeout: Nanos) {
        let endpoint = self.endpoint_name(endpoint);
        self.write_action(
            "SEND",
            format_args!(
                " txn={:016x} give-up-after-ns={timeout} endpoint={endpoint}",
                message.0
            ),
        );
    }

    fn reject(&mut self, message: MessageId, retry_after: Nanos) {
        self.write_action(
            "OVERLOAD_REPLY",
            format_args!(" txn={:016x} backoff-ns={retry_after}", message.0),
        );
    }

    fn fail(&mut self, message: MessageId) {
        self.write_action("END_FAILED", format_args!(" txn={:016x}", message.0));
    }

    fn cancel_attempt(&mut self, message: MessageId, number: AttemptNumber) {
        self.write_action(
            "CALL_OFF",
            format_args!(" txn={:016x} round-no={}", message.0, number.0),
        );
    }

    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        let endpoint = self.endpoint_name(endpoint);
        self.write_action("SHUT_IDLE", format_args!(" endpoint={endpoint}"));
    }

    // Endpoint IDs are not reused, because a simulated run is short.
    fn endpoint_removed(&mut self, _: EndpointId) {}

    fn request_watch(&mut self) {
        self.write_action("LISTEN", format_args!(" want=1"));
    }

    fn schedule_wakeup(&mut self, after: Nanos) {
        self.write_action("ARM", format_args!(" mark=wake sleep-for-ns={after}"));
    }

    fn log(&mut self, line: &str) {
        self.write_action(
            "LOG",
            format_args!(" message={}", replace_line_breaks(line)),
        );
    }
}

/// Reports that an instance panicked; the report replaces its actions.
pub(crate) fn write_panic(out: &mut Vec<u8>, instance: &str, reason: &str) {
    append_line(
        out,
        format_args!(
            "GIVE_IN dispatcher={instance} message={}",
            replace_line_breaks(reason)
        ),
    );
}

/// Reports that all events of a batch have been handled.
pub(crate) fn write_batch_end(out: &mut Vec<u8>, batch: u64) {
    append_line(out, format_args!("FINISHED seq={batch}"));
}

fn replace_line_breaks(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}

fn append_line(out: &mut Vec<u8>, line: fmt::Arguments) {
    writeln!(out, "{line}").expect("writing to memory cannot fail");
}

//! Connects the event loop with the decision logic and the state that it works on.

use super::runtime::Runtime;
use crate::connection::ConnectionId;
use crate::discovery::Discovery;
use crate::io::Io;
use crate::update_log::UpdateLog;
use bellsill_core::control::Dispatcher;
use bellsill_core::interface::{ClassSettings, Nanos, Settings};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The decision logic, and the runtime and configuration that it works on.
pub(crate) struct Delivery {
    pub(super) dispatcher: Dispatcher,
    /// The connections, timers and messages.
    pub(crate) runtime: Runtime,
    pub(super) discovery: Discovery,
    pub(super) classes: Vec<ClassSettings>,
    pub(super) class_names: Vec<String>,
    /// The names of the endpoints that an operator has disabled.
    pub(super) disabled: BTreeSet<String>,
    /// The updates of the configuration, for the next process.
    pub(super) updates: UpdateLog,
    /// The version of a list that another process has received and the own watch may not have; reset when the watch is
    /// opened anew.
    pub(super) shared_version: Option<u64>,
    /// Set once the decision logic is no longer called. Messages still pending are left to the next process.
    pub(super) stopped: bool,
}

impl Delivery {
    /// Creates the delivery with no endpoints and no messages.
    pub(crate) fn new(
        settings: Settings,
        discovery: Discovery,
        runtime: Runtime,
        disabled: BTreeSet<String>,
        updates: UpdateLog,
    ) -> Delivery {
        Delivery {
            classes: settings.classes.clone(),
            class_names: discovery.names().classes.clone(),
            dispatcher: Dispatcher::new(runtime.now, settings),
            runtime,
            discovery,
            disabled,
            updates,
            shared_version: None,
            stopped: false,
        }
    }

    /// The watch of the configuration.
    pub(crate) fn discovery(&self) -> &Discovery {
        &self.discovery
    }

    /// The names of the queue classes, by index.
    pub(crate) fn class_names(&self) -> &[String] {
        &self.class_names
    }

    /// Looks up the index of a queue class by name.
    pub(crate) fn class_index(&self, name: &str) -> Option<usize> {
        self.class_names.iter().position(|class| class == name)
    }

    /// The number of endpoints to which the decision logic currently sends nothing.
    pub(crate) fn unavailable_endpoints(&self) -> usize {
        self.dispatcher.unavailable_endpoints()
    }

    /// Borrows the watch together with the I/O context of its methods.
    pub(super) fn discovery_and_io(&mut self) -> (&mut Discovery, Io<'_>) {
        let io = Io {
            now: self.runtime.now,
            connections: &mut self.runtime.connections,
            timers: &mut self.runtime.timers,
        };
        (&mut self.discovery, io)
    }

    /// Opens the watch of the configuration.
    pub(crate) fn start_watch(&mut self, drain_grace: Nanos) {
        let (discovery, mut io) = self.discovery_and_io();
        discovery.start(&mut io, drain_grace);
    }

    /// Changes the address of discovery, which also receives the notifications.
    pub(crate) fn relocate_discovery(&mut self, addr: SocketAddr) {
        self.shared_version = None;
        let is_moved = self.discovery.scoped_list().is_none() && self.discovery.address() != addr;
        let (discovery, mut io) = self.discovery_and_io();
        discovery.relocate(&mut io, addr);
        if is_moved {
            self.restart_log();
        }
        self.runtime.relocate_notifications(addr);
    }

    /// Reopens the watch of the configuration.
    pub(crate) fn reconnect_watch(&mut self) {
        self.shared_version = None;
        let (discovery, mut io) = self.discovery_and_io();
        discovery.reconnect(&mut io);
    }

    /// Retries the lookups of destinations.
    pub(crate) fn retry_lookups(&mut self) {
        let (discovery, mut io) = self.discovery_and_io();
        discovery.retry_lookups(&mut io);
    }

    /// Handles a watch connection on which an expected response is overdue.
    pub(crate) fn watch_connection_timed_out(&mut self, id: ConnectionId) {
        let (discovery, mut io) = self.discovery_and_io();
        discovery.connection_timed_out(&mut io, id);
    }

    /// Runs the wakeup that the decision logic scheduled.
    pub(crate) fn wakeup(&mut self) {
        if !self.stopped {
            self.dispatcher.wakeup(self.runtime.now, &mut self.runtime);
        }
    }

    /// Reports the queued attempt ends to the decision logic, which must not be called while it is carrying out an
    /// action.
    pub(crate) fn report_attempt_ends(&mut self) {
        while let Some(end) = self.runtime.attempt_ends.pop_front() {
            if !self.stopped {
                self.dispatcher
                    .attempt_ended(self.runtime.now, end, &mut self.runtime);
            }
        }
    }

    /// Stops accepting messages and starting attempts. Attempts in flight still run to their end.
    pub(crate) fn stop(&mut self) {
        self.stopped = true;
    }

    /// The names of the endpoints that an operator has disabled.
    pub(crate) fn disabled(&self) -> &BTreeSet<String> {
        &self.disabled
    }

    /// Replaces the set of disabled endpoints and reports the differences to the decision logic.
    pub(crate) fn set_disabled(&mut self, disabled: BTreeSet<String>) {
        let previous = std::mem::replace(&mut self.disabled, disabled);
        let now = self.runtime.now;
        for name in previous.symmetric_difference(&self.disabled) {
            if let Some(id) = self.runtime.endpoints.find(name) {
                let disabled = self.disabled.contains(name);
                self.dispatcher
                    .set_disabled(now, id, disabled, &mut self.runtime);
            }
        }
    }
}

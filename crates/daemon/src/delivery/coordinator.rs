//! What the decisions work on, and the calls that reach them from the event loop.

use super::runtime::Runtime;
use crate::connection::ConnectionId;
use crate::discovery::Discovery;
use crate::io::Io;
use bellsill_core::control::Dispatcher;
use bellsill_core::interface::{ClassSettings, Nanos, Settings};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The decisions and what they work on.
pub(crate) struct Delivery {
    pub(super) dispatcher: Dispatcher,
    /// Connections, timers and messages.
    pub(crate) runtime: Runtime,
    pub(super) discovery: Discovery,
    pub(super) classes: Vec<ClassSettings>,
    pub(super) class_names: Vec<String>,
    /// The endpoints that an operator has disabled, by name.
    pub(super) disabled: BTreeSet<String>,
    /// The decisions are not called any more: what is pending is left to the next process.
    pub(super) stopped: bool,
}

impl Delivery {
    /// Delivery with no endpoints and no messages.
    pub(crate) fn new(
        settings: Settings,
        discovery: Discovery,
        runtime: Runtime,
        disabled: BTreeSet<String>,
    ) -> Delivery {
        Delivery {
            classes: settings.classes.clone(),
            class_names: discovery.names().classes.clone(),
            dispatcher: Dispatcher::new(runtime.now, settings),
            runtime,
            discovery,
            disabled,
            stopped: false,
        }
    }

    /// The watch of the configuration.
    pub(crate) fn discovery(&self) -> &Discovery {
        &self.discovery
    }

    /// The names of the classes, by their index.
    pub(crate) fn class_names(&self) -> &[String] {
        &self.class_names
    }

    /// The index of a class by its name.
    pub(crate) fn class_index(&self, name: &str) -> Option<usize> {
        self.class_names.iter().position(|class| class == name)
    }

    /// How many endpoints the decisions send nothing to for now.
    pub(crate) fn unavailable_endpoints(&self) -> usize {
        self.dispatcher.unavailable_endpoints()
    }

    pub(super) fn watch(&mut self) -> (&mut Discovery, Io<'_>) {
        let io = Io {
            now: self.runtime.now,
            connections: &mut self.runtime.connections,
            timers: &mut self.runtime.timers,
        };
        (&mut self.discovery, io)
    }

    /// Opens the watch of the configuration.
    pub(crate) fn start_watch(&mut self, drain_grace: Nanos) {
        let (discovery, mut io) = self.watch();
        discovery.start(&mut io, drain_grace);
    }

    /// Discovery, which also takes notifications, has another address.
    pub(crate) fn relocate_discovery(&mut self, addr: SocketAddr) {
        let (discovery, mut io) = self.watch();
        discovery.relocate(&mut io, addr);
        self.runtime.relocate_notifications(addr);
    }

    /// The watch of the configuration is to be opened again.
    pub(crate) fn reconnect_watch(&mut self) {
        let (discovery, mut io) = self.watch();
        discovery.reconnect(&mut io);
    }

    /// Destinations are to be looked up again.
    pub(crate) fn retry_lookups(&mut self) {
        let (discovery, mut io) = self.watch();
        discovery.retry_lookups(&mut io);
    }

    /// A connection of the watch has been without an expected answer for too long.
    pub(crate) fn watch_connection_timed_out(&mut self, id: ConnectionId) {
        let (discovery, mut io) = self.watch();
        discovery.connection_timed_out(&mut io, id);
    }

    /// The decisions asked to be woken up.
    pub(crate) fn wakeup(&mut self) {
        if !self.stopped {
            self.dispatcher.wakeup(self.runtime.now, &mut self.runtime);
        }
    }

    /// Tells the decisions the outcomes that became known while they were at work.
    pub(crate) fn report_attempt_ends(&mut self) {
        while let Some(end) = self.runtime.attempt_ends.pop_front() {
            if !self.stopped {
                self.dispatcher
                    .attempt_ended(self.runtime.now, end, &mut self.runtime);
            }
        }
    }

    /// From now on no message is accepted and no attempt begins; those in flight still end.
    pub(crate) fn stop(&mut self) {
        self.stopped = true;
    }

    /// The endpoints that an operator has disabled.
    pub(crate) fn disabled(&self) -> &BTreeSet<String> {
        &self.disabled
    }

    /// Sets which endpoints an operator has disabled.
    pub(crate) fn set_disabled(&mut self, disabled: BTreeSet<String>) {
        let before = std::mem::replace(&mut self.disabled, disabled);
        let now = self.runtime.now;
        for name in before.symmetric_difference(&self.disabled) {
            if let Some(id) = self.runtime.endpoints.find(name) {
                let disabled = self.disabled.contains(name);
                self.dispatcher
                    .set_disabled(now, id, disabled, &mut self.runtime);
            }
        }
    }
}

//! One simulated instance: a dispatcher, and the simulator's names for what the dispatcher knows by id.

use crate::actions::ActionWriter;
use crate::endpoint_list::{ListedEndpoint, WatchEvent};
use crate::events::Event;
use bellsill_core::control::Dispatcher;
use bellsill_core::interface::{EndpointEntry, EndpointId, KindId, Nanos, ZoneId};
use bellsill_settings::{InvalidWeight, PlatformNames, PlatformSettings};
use std::any::Any;
use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Why an event was not handled.
pub(crate) enum HandlingError {
    /// An endpoint of a list has a weight that is not a rate.
    InvalidWeight,
    /// The dispatcher panicked with this message, and cannot be used any more.
    Panicked(String),
}

impl From<InvalidWeight> for HandlingError {
    fn from(InvalidWeight: InvalidWeight) -> Self {
        HandlingError::InvalidWeight
    }
}

pub(crate) struct Instance {
    dispatcher: Dispatcher,
    names: PlatformNames,
    endpoints: EndpointNames,
}

impl Instance {
    pub(crate) fn start(now: Nanos, settings: PlatformSettings) -> Self {
        Instance {
            dispatcher: Dispatcher::new(now, settings.settings),
            names: settings.names,
            endpoints: EndpointNames::default(),
        }
    }

    pub(crate) fn names(&self) -> &PlatformNames {
        &self.names
    }

    /// Handles an event and appends the dispatcher's actions under `name` to `out`. After a panic nothing is appended.
    pub(crate) fn handle(
        &mut self,
        now: Nanos,
        event: Event,
        name: &str,
        out: &mut Vec<u8>,
    ) -> Result<(), HandlingError> {
        let listed = match &event {
            Event::Watch(WatchEvent::Update(_, listed)) => self.entries(listed)?,
            _ => Vec::new(),
        };
        let length = out.len();
        let writer = &mut ActionWriter {
            out,
            instance: name,
            endpoints: &self.endpoints.names,
        };
        let dispatcher = &mut self.dispatcher;
        let handled = catch_unwind(AssertUnwindSafe(|| match event {
            Event::Watch(WatchEvent::Update(scope, _)) => {
                dispatcher.update_endpoints(now, scope, &listed, writer);
            }
            Event::Watch(WatchEvent::Lost) => dispatcher.watch_lost(now, writer),
            Event::NewMessage(message) => dispatcher.accept(now, [message], writer),
            Event::AttemptEnded(end) => dispatcher.attempt_ended(now, end, writer),
            Event::MessageWithdrawn(id) => dispatcher.message_withdrawn(now, id, writer),
            Event::Wakeup => dispatcher.wakeup(now, writer),
            Event::Ignored => {}
        }));
        handled.map_err(|panic| {
            out.truncate(length);
            HandlingError::Panicked(panic_message(&*panic).to_string())
        })
    }

    /// The dispatcher's form of a list; endpoints that are new get their ids.
    fn entries(&mut self, listed: &[ListedEndpoint]) -> Result<Vec<EndpointEntry>, InvalidWeight> {
        listed.iter().map(|endpoint| self.entry(endpoint)).collect()
    }

    fn entry(&mut self, listed: &ListedEndpoint) -> Result<EndpointEntry, InvalidWeight> {
        Ok(EndpointEntry {
            endpoint: self.endpoints.id(&listed.name),
            name_hash: crc32fast::hash(listed.name.as_bytes()),
            destination: listed.destination,
            zone: ZoneId(position(&self.names.zones, &listed.zone)),
            kind: KindId(position(&self.names.kinds, &listed.kind)),
            serving: listed.serving,
            rate_limit: self.names.rate_from_weight(listed.weight)?,
            retry_after_until: None,
        })
    }
}

/// The index of a name, or one beyond any list where the settings do not have it.
fn position(names: &[String], name: &str) -> usize {
    names
        .iter()
        .position(|known| known == name)
        .unwrap_or(usize::MAX)
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    panic
        .downcast_ref::<String>()
        .map(String::as_str)
        .or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic")
}

/// Numbers endpoints in the order in which they first appear.
#[derive(Default)]
struct EndpointNames {
    names: Vec<String>,
    ids: HashMap<String, EndpointId>,
}

impl EndpointNames {
    fn id(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = EndpointId(self.names.len() as u32);
        self.names.push(name.to_string());
        self.ids.insert(name.to_string(), id);
        id
    }
}

//! A simulated dispatcher instance, with the simulator's names for the dispatcher's numeric IDs.

use crate::actions::ActionWriter;
use crate::endpoint_list::{ListedEndpoint, WatchEvent};
use crate::events::Event;
use bellsill_core::control::Dispatcher;
use bellsill_core::interface::{EndpointEntry, EndpointId, KindId, Nanos, ZoneId};
use bellsill_settings::{InvalidWeight, PlatformNames, PlatformSettings};
use std::any::Any;
use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The reason why an event was not handled.
pub(crate) enum HandlingError {
    /// An endpoint in a list has a weight that is not a valid rate.
    InvalidWeight,
    /// The dispatcher panicked with this message and must not be used any further.
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
    endpoint_ids: EndpointIds,
}

impl Instance {
    pub(crate) fn start(now: Nanos, settings: PlatformSettings) -> Self {
        Instance {
            dispatcher: Dispatcher::new(now, settings.settings),
            names: settings.names,
            endpoint_ids: EndpointIds::default(),
        }
    }

    pub(crate) fn names(&self) -> &PlatformNames {
        &self.names
    }

    /// Handles an event and appends the resulting actions to `out`, with `name` as the name of the instance. Appends
    /// nothing if the dispatcher panics.
    pub(crate) fn handle(
        &mut self,
        now: Nanos,
        event: Event,
        name: &str,
        out: &mut Vec<u8>,
    ) -> Result<(), HandlingError> {
        let entries = match &event {
            Event::Watch(WatchEvent::Update(_, listed)) => self.convert_list(listed)?,
            _ => Vec::new(),
        };
        let initial_length = out.len();
        let writer = &mut ActionWriter {
            out,
            instance: name,
            endpoint_names: &self.endpoint_ids.names,
        };
        let dispatcher = &mut self.dispatcher;
        let result = catch_unwind(AssertUnwindSafe(|| match event {
            Event::Watch(WatchEvent::Update(update, _)) => {
                dispatcher.update_endpoints(now, update, &entries, writer);
            }
            Event::Watch(WatchEvent::Lost) => dispatcher.watch_lost(now, writer),
            Event::NewMessage(message) => dispatcher.accept(now, [message], writer),
            Event::AttemptEnded(end) => dispatcher.attempt_ended(now, end, writer),
            Event::MessageWithdrawn(id) => dispatcher.message_withdrawn(now, id, writer),
            Event::Wakeup => dispatcher.wakeup(now, writer),
            Event::Ignored => {}
        }));
        result.map_err(|panic| {
            out.truncate(initial_length);
            HandlingError::Panicked(panic_message(&*panic).to_string())
        })
    }

    /// Converts a list to the dispatcher's format, assigning IDs to new endpoints.
    fn convert_list(
        &mut self,
        listed: &[ListedEndpoint],
    ) -> Result<Vec<EndpointEntry>, InvalidWeight> {
        listed
            .iter()
            .map(|endpoint| self.convert_endpoint(endpoint))
            .collect()
    }

    fn convert_endpoint(
        &mut self,
        listed: &ListedEndpoint,
    ) -> Result<EndpointEntry, InvalidWeight> {
        Ok(EndpointEntry {
            endpoint: self.endpoint_ids.get_or_assign(&listed.name),
            name_hash: crc32fast::hash(listed.name.as_bytes()),
            destination: listed.destination,
            zone: ZoneId(index_of(&self.names.zones, &listed.zone)),
            kind: KindId(index_of(&self.names.kinds, &listed.kind)),
            serving: listed.serving,
            rate_limit: self.names.rate_from_weight(listed.weight)?,
            retry_after_until: None,
        })
    }
}

/// Returns the index of a name, or `usize::MAX`, which no list contains, if the settings do not define the name.
fn index_of(names: &[String], name: &str) -> usize {
    names
        .iter()
        .position(|candidate| candidate == name)
        .unwrap_or(usize::MAX)
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    panic
        .downcast_ref::<String>()
        .map(String::as_str)
        .or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic")
}

/// The IDs of the endpoints, assigned in the order in which they first appear.
#[derive(Default)]
struct EndpointIds {
    /// The names of the endpoints, indexed by ID.
    names: Vec<String>,
    ids: HashMap<String, EndpointId>,
}

impl EndpointIds {
    fn get_or_assign(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = EndpointId(self.names.len() as u32);
        self.names.push(name.to_string());
        self.ids.insert(name.to_string(), id);
        id
    }
}

//! Reading the configuration again.

use crate::event_loop::Daemon;
use crate::start;
use crate::start::Source;

impl Daemon {
    /// Reads the configuration again. A bad one is not taken: a half-written file must not end a dispatcher that serves.
    pub(crate) fn reload(&mut self) {
        let Some(Source { file, state }) = self.source.clone() else {
            return;
        };
        let new = match start::read(&file, state) {
            Ok(new) => new,
            Err(e) => {
                self.runtime.metrics.reload_errors += 1;
                return log::error!("configuration not reloaded: {e}");
            }
        };
        self.runtime.metrics.reloads += 1;
        for ((field, old), (_, new)) in self.fixed.iter().zip(&new.fixed) {
            if old != new {
                log::warn!(
                    "configuration reload: `{field}` has changed but needs a restart, the old value stays in force"
                );
            }
        }
        log::info!("configuration reloaded, discovery is at {}", new.discovery);
        let (discovery, mut io) = self.runtime.watch();
        discovery.relocate(&mut io, new.discovery);
        self.runtime.set_notification_address(new.discovery);
    }
}

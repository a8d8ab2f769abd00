//! Reloads the configuration file.

use crate::start::{self, Source};
use serde_json::Value;
use std::net::SocketAddr;

/// The source of the configuration, and the fields that a reload does not apply.
pub(crate) struct Configuration {
    /// `None` if the configuration was not read from a file.
    source: Option<Source>,
    /// The values at startup of the fields that take effect only after a restart.
    restart_only: Vec<(&'static str, Value)>,
}

/// The outcome of a reload.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReloadOutcome {
    /// The configuration was not read from a file.
    NoFile,
    /// The file is invalid. The previous configuration stays in effect, so that a half-written file does not stop a
    /// running dispatcher.
    Rejected,
    /// The file cannot be read at present; the reload has to be repeated.
    Unreadable,
    /// The new configuration is applied.
    Applied {
        /// The address of discovery.
        discovery: SocketAddr,
    },
}

impl Configuration {
    /// Takes the configuration as it was read at startup.
    pub(crate) fn new(
        source: Option<Source>,
        restart_only: Vec<(&'static str, Value)>,
    ) -> Configuration {
        Configuration {
            source,
            restart_only,
        }
    }

    /// Reloads the file, and logs each changed field that takes effect only after a restart.
    pub(crate) fn reload(&self) -> ReloadOutcome {
        let Some(Source { file, state }) = self.source.clone() else {
            return ReloadOutcome::NoFile;
        };
        let new = match start::read(&file, state) {
            Ok(new) => new,
            Err(e) if e.may_pass() => {
                log::warn!("configuration reload failed for the moment, will retry: {e}");
                return ReloadOutcome::Unreadable;
            }
            Err(e) => {
                log::error!("configuration reload failed, keeping the previous configuration: {e}");
                return ReloadOutcome::Rejected;
            }
        };
        for ((field, old), (_, new)) in self.restart_only.iter().zip(&new.restart_only) {
            if old != new {
                log::warn!(
                    "configuration reload: `{field}` has changed but takes effect only after a restart"
                );
            }
        }
        log::info!("configuration reloaded, discovery is at {}", new.discovery);
        ReloadOutcome::Applied {
            discovery: new.discovery,
        }
    }
}

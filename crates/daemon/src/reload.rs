//! Reading the configuration again.

use crate::start::{self, Source};
use serde_json::Value;
use std::net::SocketAddr;

/// Where the configuration came from.
pub(crate) struct Configuration {
    /// None where it came from no file.
    source: Option<Source>,
    /// The fields that take effect at a restart only, as they were at the start.
    fixed: Vec<(&'static str, Value)>,
}

/// What came of reading it again.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reload {
    /// It came from no file.
    NoFile,
    /// It cannot be read. The old one stays in force: a half-written file must not end a dispatcher that serves.
    Rejected,
    /// It is taken.
    Taken {
        /// The address of discovery.
        discovery: SocketAddr,
    },
}

impl Configuration {
    /// The configuration as it was at the start.
    pub(crate) fn new(source: Option<Source>, fixed: Vec<(&'static str, Value)>) -> Configuration {
        Configuration { source, fixed }
    }

    /// Reads the configuration again, and logs what has changed and needs a restart.
    pub(crate) fn reload(&self) -> Reload {
        let Some(Source { file, state }) = self.source.clone() else {
            return Reload::NoFile;
        };
        let new = match start::read(&file, state) {
            Ok(new) => new,
            Err(e) => {
                log::error!("configuration not reloaded: {e}");
                return Reload::Rejected;
            }
        };
        for ((field, old), (_, new)) in self.fixed.iter().zip(&new.fixed) {
            if old != new {
                log::warn!(
                    "configuration reload: `{field}` has changed but needs a restart, the old value stays in force"
                );
            }
        }
        log::info!("configuration reloaded, discovery is at {}", new.discovery);
        Reload::Taken {
            discovery: new.discovery,
        }
    }
}

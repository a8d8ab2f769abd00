//! Execution of admin requests.

use super::diagnostics::show_diagnostics;
use super::disabled::{DISABLED_FILE, DisabledFile, MAX_DISABLED, refresh_disabled, update};
use super::request::Request;
use super::stats::show_stat;
use crate::delivery::Delivery;
use crate::scope::ScopeFile;

/// The state that admin requests read and change.
pub(crate) struct AdminContext<'a> {
    pub(crate) delivery: &'a mut Delivery,
    pub(crate) disabled_file: &'a mut DisabledFile,
    pub(crate) scope_file: Option<&'a ScopeFile>,
    /// Whether the dispatcher is ready: neither draining nor shutting down.
    pub(crate) ready: bool,
}

/// Whether an operator starts or stops draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainRequest {
    /// Start draining: clients are told to go elsewhere.
    Drain,
    /// Stop draining.
    Resume,
}

/// The reply to a request, and the action that the caller has to take.
#[must_use]
pub(crate) struct Reply {
    /// The text of the reply, final line feed included.
    pub(crate) text: String,
    /// The change of draining, to be applied before the next request.
    pub(crate) drain: Option<DrainRequest>,
}

impl From<String> for Reply {
    fn from(text: String) -> Reply {
        Reply { text, drain: None }
    }
}

impl From<&str> for Reply {
    fn from(text: &str) -> Reply {
        Reply::from(text.to_string())
    }
}

/// Executes an admin request.
pub(crate) fn execute(request: Request, context: AdminContext<'_>) -> Reply {
    match request {
        Request::Ready if context.ready => "SUCCESS ready\n".into(),
        Request::Ready => "FAILURE not ready: draining or leaving\n".into(),
        Request::ShowStat => show_stat(context.delivery, context.scope_file).into(),
        Request::ShowDiagnostics => show_diagnostics(&context.delivery.runtime).into(),
        Request::Drain => Reply {
            text: "SUCCESS draining\n".into(),
            drain: Some(DrainRequest::Drain),
        },
        Request::Resume => Reply {
            text: "SUCCESS serving\n".into(),
            drain: Some(DrainRequest::Resume),
        },
        Request::Disable(name) => set_disabled(name, true, context).into(),
        Request::Enable(name) => set_disabled(name, false, context).into(),
    }
}

/// Disables or enables an endpoint and returns the reply.
fn set_disabled(name: String, disable: bool, context: AdminContext<'_>) -> String {
    let AdminContext {
        delivery,
        disabled_file,
        ..
    } = context;
    if delivery.runtime.endpoints().find(&name).is_none() {
        return format!("FAILURE unknown endpoint `{}`\n", name.escape_debug());
    }
    // Reads the list again to keep the changes that another process sharing the state directory has written meanwhile.
    refresh_disabled(delivery, disabled_file);
    let mut disabled = delivery.disabled().clone();
    let changed = update(&mut disabled, &name, disable);
    if disabled.len() > MAX_DISABLED {
        return format!("FAILURE {MAX_DISABLED} endpoints are out already\n");
    }
    log::info!(
        "endpoint {name} {} by an admin request",
        if disable { "disabled" } else { "enabled" }
    );
    delivery.set_disabled(disabled);
    if changed {
        disabled_file.record_change(name.clone(), disable);
        if let Err(e) = disabled_file.save(delivery.disabled()) {
            log::error!(
                "{DISABLED_FILE}: cannot write the list of disabled endpoints, the change is in effect and the \
                 write is retried: {e}"
            );
        }
    }
    format!(
        "SUCCESS {name} is {}\n",
        if disable { "out" } else { "back" }
    )
}

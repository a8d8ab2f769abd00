//! What admin requests do.

use super::disabled::{DISABLED_FILE, DisabledFile, MAX_DISABLED, refresh_disabled, set};
use super::request::Request;
use super::stats::show_stat;
use crate::delivery::Delivery;
use crate::scope::ScopeFile;

/// What requests work on.
pub(crate) struct AdminContext<'a> {
    pub(crate) delivery: &'a mut Delivery,
    pub(crate) disabled_file: &'a mut DisabledFile,
    pub(crate) scope_file: Option<&'a ScopeFile>,
    /// Whether clients are accepted.
    pub(crate) ready: bool,
}

/// Whether clients are to go elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainRequest {
    /// From now on.
    Drain,
    /// No longer.
    Resume,
}

/// The answer to a request, and what else the caller is to do for it.
#[must_use]
pub(crate) struct Answer {
    /// The answer, its line end included.
    pub(crate) text: String,
    /// To be done before the next request.
    pub(crate) drain: Option<DrainRequest>,
}

impl From<String> for Answer {
    fn from(text: String) -> Answer {
        Answer { text, drain: None }
    }
}

impl From<&str> for Answer {
    fn from(text: &str) -> Answer {
        Answer::from(text.to_string())
    }
}

/// Does what an operator asks for.
pub(crate) fn execute(request: Request, context: AdminContext<'_>) -> Answer {
    match request {
        Request::Ready if context.ready => "SUCCESS ready\n".into(),
        Request::Ready => "FAILURE not ready: draining or leaving\n".into(),
        Request::ShowStat => show_stat(context.delivery, context.scope_file).into(),
        Request::Drain => Answer {
            text: "SUCCESS draining\n".into(),
            drain: Some(DrainRequest::Drain),
        },
        Request::Resume => Answer {
            text: "SUCCESS serving\n".into(),
            drain: Some(DrainRequest::Resume),
        },
        Request::Disable(name) => switch(name, true, context).into(),
        Request::Enable(name) => switch(name, false, context).into(),
    }
}

/// Disables or enables an endpoint.
fn switch(name: String, disable: bool, context: AdminContext<'_>) -> String {
    let AdminContext {
        delivery,
        disabled_file,
        ..
    } = context;
    if delivery.runtime.endpoints().find(&name).is_none() {
        return format!("FAILURE unknown endpoint `{}`\n", name.escape_debug());
    }
    // What another process that shares the state folder has written meanwhile is kept.
    refresh_disabled(delivery, disabled_file);
    let mut disabled = delivery.disabled().clone();
    let changed = set(&mut disabled, &name, disable);
    if disabled.len() > MAX_DISABLED {
        return format!("FAILURE {MAX_DISABLED} endpoints are out already\n");
    }
    log::info!(
        "endpoint {name} {} by an admin request",
        if disable { "disabled" } else { "enabled" }
    );
    delivery.set_disabled(disabled);
    if changed {
        disabled_file.note_change(name.clone(), disable);
        if let Err(e) = disabled_file.save(delivery.disabled()) {
            log::error!("{DISABLED_FILE}: cannot be written, will retry: {e}");
        }
    }
    format!(
        "SUCCESS {name} is {}\n",
        if disable { "out" } else { "back" }
    )
}

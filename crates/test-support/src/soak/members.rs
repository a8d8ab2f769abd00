//! The dispatchers of a fleet, which share their endpoints. The first half of a message id tells whose message it is.

use super::servers::Shared;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

static NEXT_MESSAGE: AtomicU32 = AtomicU32::new(1);
static NEXT_MEMBER: AtomicU32 = AtomicU32::new(1);

/// Returns a new id of a message of this dispatcher.
pub(super) fn member_id(member: u32) -> String {
    let n = NEXT_MESSAGE.fetch_add(1, Ordering::SeqCst);
    format!("{member:08x}{n:08x}")
}

/// The state of each dispatcher's run, by the first half of its message ids.
#[derive(Clone, Default)]
pub(super) struct Members {
    runs: Arc<Mutex<BTreeMap<u32, Arc<Shared>>>>,
    strays: Arc<Mutex<Vec<String>>>,
}

impl Members {
    /// Adds a dispatcher and returns the first half of its message ids.
    pub(super) fn add(&self, run: Arc<Shared>) -> u32 {
        let member = NEXT_MEMBER.fetch_add(1, Ordering::SeqCst);
        self.runs.lock().unwrap().insert(member, run);
        member
    }

    /// Records a call whose id is that of no dispatcher's message.
    pub(super) fn stray_call(&self, id: &str) {
        self.strays.lock().unwrap().push(id.to_string());
    }

    /// The ids of the calls that carried no dispatcher's message.
    pub(super) fn strays(&self) -> Vec<String> {
        self.strays.lock().unwrap().clone()
    }

    /// The run of the dispatcher whose message this is.
    pub(super) fn run_of(&self, id: &str) -> Option<Arc<Shared>> {
        let member = u32::from_str_radix(id.get(..8)?, 16).ok()?;
        self.runs.lock().unwrap().get(&member).cloned()
    }
}

//! The connects that have no outcome yet, in the order in which they were sent.

use crate::interface::*;

/// One connect that is out.
#[derive(Clone, Copy)]
pub struct Connect {
    /// When it was sent.
    pub at: Nanos,
    pub mail: MailId,
    pub no: ConnectNo,
    /// Mails of a batch go in one call: it takes one slot and has one fate.
    pub call: u64,
    pub class: usize,
    pub route: usize,
    /// Idle connections were given back before it.
    pub fresh: bool,
    /// For how long nothing had gone by its route.
    pub rested: Nanos,
    pub called_off: bool,
}

/// All connects that are out; those of one call stand together.
#[derive(Default)]
pub struct ConnectsOut {
    list: Vec<Connect>,
}

impl ConnectsOut {
    /// Adds the latest connect.
    pub fn push(&mut self, connect: Connect) {
        self.list.push(connect);
    }

    /// Takes out the connect that has an outcome.
    pub fn remove(&mut self, mail: MailId, no: ConnectNo) -> Option<Connect> {
        let found = self.list.iter().position(|connect| connect.mail == mail && connect.no == no)?;
        Some(self.list.remove(found))
    }

    /// The connects, from the oldest on.
    pub fn iter(&self) -> impl Iterator<Item = &Connect> {
        self.list.iter()
    }

    /// The connects of each call.
    pub fn calls(&self) -> impl Iterator<Item = &[Connect]> {
        self.list.chunk_by(|a, b| a.call == b.call)
    }

    /// How many calls have a connect of this sort.
    pub fn count_calls(&self, sort: impl Fn(&Connect) -> bool) -> usize {
        self.calls().filter(|call| call.iter().any(&sort)).count()
    }

    /// Whether a connect of this mail is out.
    pub fn has(&self, mail: MailId) -> bool {
        self.list.iter().any(|connect| connect.mail == mail)
    }

    /// Whether a connect is out by this route.
    pub fn uses(&self, route: usize) -> bool {
        self.list.iter().any(|connect| connect.route == route)
    }

    /// Notes that a call is called off, and names its connects.
    pub fn call_off(&mut self, call: u64) -> Vec<Connect> {
        let connects = self.list.iter_mut().filter(|connect| connect.call == call);
        let mark = |connect: &mut Connect| {
            connect.called_off = true;
            *connect
        };
        connects.map(mark).collect()
    }

    /// The latest connect, if it belongs to this call.
    pub fn latest_of(&self, call: u64) -> Option<&Connect> {
        self.list.last().filter(|connect| connect.call == call)
    }
}

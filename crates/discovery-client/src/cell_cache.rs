//! The destinations outside of a dispatcher's buckets that it keeps for a while: the least recently used one goes first.

use std::collections::BTreeMap;

/// Counts the uses of the cache, so that they have an order.
type UseNumber = u64;

/// Whether a cached destination's entries are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CellState {
    /// They are asked for.
    Pending,
    Known,
}

/// One cached destination.
#[derive(Clone, Copy, Debug)]
struct Cell {
    used: UseNumber,
    state: CellState,
}

/// A bounded set of destinations.
#[derive(Clone, Debug, Default)]
pub struct CellCache {
    cells: BTreeMap<u64, Cell>,
    by_use: BTreeMap<UseNumber, u64>,
    uses: UseNumber,
}

impl CellCache {
    pub fn state(&self, destination: u64) -> Option<CellState> {
        self.cells.get(&destination).map(|cell| cell.state)
    }

    pub fn len(&self) -> usize {
        self.cells.len()
    }

    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// Notes a use of a destination, which is taken in as [`CellState::Pending`] where it is new.
    pub fn touch(&mut self, destination: u64) {
        self.uses += 1;
        let new = Cell {
            used: self.uses,
            state: CellState::Pending,
        };
        let cell = self.cells.entry(destination).or_insert(new);
        self.by_use.remove(&cell.used);
        cell.used = self.uses;
        self.by_use.insert(self.uses, destination);
    }

    /// The entries of a destination that is here are known.
    pub fn mark_known(&mut self, destination: u64) {
        if let Some(cell) = self.cells.get_mut(&destination) {
            cell.state = CellState::Known;
        }
    }

    pub fn remove(&mut self, destination: u64) -> bool {
        let gone = self.cells.remove(&destination);
        gone.is_some_and(|cell| self.by_use.remove(&cell.used).is_some())
    }

    /// The one used longest ago that is not in use now.
    pub fn oldest_unused(&self, in_use: &dyn Fn(u64) -> bool) -> Option<u64> {
        self.by_use
            .values()
            .copied()
            .find(|destination| !in_use(*destination))
    }

    /// The destinations in that state, by number.
    pub fn in_state(&self, state: CellState) -> impl Iterator<Item = u64> {
        self.cells
            .iter()
            .filter(move |(_, cell)| cell.state == state)
            .map(|(destination, _)| *destination)
    }

    /// All destinations, the one used longest ago first.
    pub fn by_use(&self) -> impl Iterator<Item = u64> {
        self.by_use.values().copied()
    }
}

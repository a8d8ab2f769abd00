//! Tables of numbered slots. A number is used for one thing only: the slot's next tenant gets another, so what still
//! comes for the last one hits nothing.

use std::marker::PhantomData;

/// The number of a slot and of its tenant.
pub trait SlotId: Copy {
    fn from_raw(raw: u64) -> Self;
    fn raw(self) -> u64;
}

pub struct Slots<I, T> {
    rows: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
    id: PhantomData<I>,
}

impl<I: SlotId, T> Default for Slots<I, T> {
    fn default() -> Self {
        Slots {
            rows: Vec::new(),
            free: Vec::new(),
            id: PhantomData,
        }
    }
}

fn parts(raw: u64) -> (usize, u32) {
    ((raw & u64::from(u32::MAX)) as usize, (raw >> 32) as u32)
}

impl<I: SlotId, T> Slots<I, T> {
    pub fn add(&mut self, make: impl FnOnce(I) -> T) -> I {
        let index = self.free.pop().unwrap_or_else(|| {
            self.rows.push((0, None));
            self.rows.len() as u32 - 1
        });
        let row = &mut self.rows[index as usize];
        // Raw numbers stay under those that the poller keeps for itself.
        row.0 = (row.0 + 1) & 0x3fff_ffff;
        let id = I::from_raw(u64::from(row.0) << 32 | u64::from(index));
        row.1 = Some(make(id));
        id
    }

    pub fn get(&self, id: I) -> Option<&T> {
        let (index, turn) = parts(id.raw());
        self.rows.get(index).filter(|row| row.0 == turn)?.1.as_ref()
    }

    pub fn get_mut(&mut self, id: I) -> Option<&mut T> {
        let (index, turn) = parts(id.raw());
        self.rows
            .get_mut(index)
            .filter(|row| row.0 == turn)?
            .1
            .as_mut()
    }

    pub fn remove(&mut self, id: I) -> Option<T> {
        let (index, turn) = parts(id.raw());
        let gone = self
            .rows
            .get_mut(index)
            .filter(|row| row.0 == turn)?
            .1
            .take();
        if gone.is_some() {
            self.free.push(index as u32);
        }
        gone
    }

    pub fn len(&self) -> usize {
        self.rows.len() - self.free.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn iter(&self) -> impl Iterator<Item = (I, &T)> {
        self.rows
            .iter()
            .enumerate()
            .filter_map(|(index, (turn, tenant))| {
                tenant
                    .as_ref()
                    .map(|t| (I::from_raw(u64::from(*turn) << 32 | index as u64), t))
            })
    }
}

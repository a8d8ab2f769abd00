//! The holders of the replicas of a region, before planning and at the current step of the plan.

use crate::candidate::Candidate;
use crate::change::REPLICAS;
use crate::hash::RendezvousScore;
use crate::ids::BucketId;
use std::cmp::Ordering;

/// The holders of one bucket, as indices into the candidates.
pub(crate) type Holders = [Option<usize>; REPLICAS];

/// One of the two replicas of a bucket of the region.
#[derive(Clone, Copy)]
pub(crate) struct Replica {
    /// The index of the bucket within the region.
    pub(crate) bucket: usize,
    pub(crate) slot: usize,
}

impl Replica {
    /// The other replica of the same bucket.
    pub(crate) fn other(self) -> Replica {
        Replica {
            slot: 1 - self.slot,
            ..self
        }
    }
}

pub(crate) struct RegionState {
    first_bucket: BucketId,
    candidates: Vec<Candidate>,
    /// The number of zones that have candidates.
    zones: usize,
    /// The holders before planning, without those that cannot keep their replica.
    initial: Vec<Holders>,
    holders: Vec<Holders>,
    /// The number of replicas that a bucket can have.
    replicas: usize,
}

impl RegionState {
    /// The state before planning. `current` contains the current holders that are still candidates. If both holders of
    /// a bucket are in the same zone, only the first one is kept.
    pub(crate) fn new(
        first_bucket: BucketId,
        mut candidates: Vec<Candidate>,
        current: Vec<Holders>,
        replicas: usize,
    ) -> RegionState {
        let zones = candidates
            .iter()
            .map(|candidate| candidate.zone() + 1)
            .max()
            .unwrap_or(0);
        let initial: Vec<Holders> = current
            .into_iter()
            .map(|holders| keep_different_zones(&candidates, holders))
            .collect();
        for (bucket, holders) in initial.iter().enumerate() {
            for holder in holders.iter().flatten() {
                candidates[*holder].add(bucket);
            }
        }
        for candidate in &mut candidates {
            candidate.mark_deficient();
        }
        RegionState {
            first_bucket,
            candidates,
            zones,
            holders: initial.clone(),
            initial,
            replicas,
        }
    }

    pub(crate) fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    pub(crate) fn candidate_mut(&mut self, index: usize) -> &mut Candidate {
        &mut self.candidates[index]
    }

    pub(crate) fn zones(&self) -> usize {
        self.zones
    }

    /// The holders of each bucket.
    pub(crate) fn holders(&self) -> &[Holders] {
        &self.holders
    }

    /// The number of replicas that a bucket can have.
    pub(crate) fn replicas(&self) -> usize {
        self.replicas
    }

    /// The number of replicas whose holder did not hold the bucket before planning.
    pub(crate) fn moved_replicas(&self) -> usize {
        let moved = |(initial, holders): (&Holders, &Holders)| {
            holders
                .iter()
                .flatten()
                .filter(|holder| !initial.contains(&Some(**holder)))
                .count()
        };
        self.initial.iter().zip(&self.holders).map(moved).sum()
    }

    /// Whether a bucket has fewer replicas than it can have.
    pub(crate) fn lacks_replica(&self, bucket: usize) -> bool {
        self.holders[bucket].iter().flatten().count() < self.replicas
    }

    pub(crate) fn holder(&self, replica: Replica) -> Option<usize> {
        self.holders[replica.bucket][replica.slot]
    }

    /// The replica of the bucket that the candidate holds.
    pub(crate) fn replica_of(&self, bucket: usize, holder: usize) -> Replica {
        let slot = usize::from(self.holders[bucket][0] != Some(holder));
        Replica { bucket, slot }
    }

    /// Whether the replica has no holder, or one that did not hold the bucket before planning.
    pub(crate) fn has_moved(&self, replica: Replica) -> bool {
        let holder = self.holder(replica);
        holder.is_none() || !self.initial[replica.bucket].contains(&holder)
    }

    /// The zone of the other replica of the bucket, if that replica has a holder.
    pub(crate) fn other_zone(&self, replica: Replica) -> Option<usize> {
        let holder = self.holder(replica.other())?;
        Some(self.candidates[holder].zone())
    }

    /// Whether the bucket has a replica in the zone.
    pub(crate) fn is_held_in(&self, bucket: usize, zone: usize) -> bool {
        let mut holders = self.holders[bucket].iter().flatten();
        holders.any(|holder| self.candidates[*holder].zone() == zone)
    }

    /// Places a replica on the target, or moves it there from its current holder.
    pub(crate) fn set_holder(&mut self, replica: Replica, target: usize) {
        let source = self.holders[replica.bucket][replica.slot].replace(target);
        if let Some(source) = source {
            self.candidates[source].remove(replica.bucket);
        }
        self.candidates[target].add(replica.bucket);
    }

    pub(crate) fn score(&self, bucket: usize, candidate: usize) -> RendezvousScore {
        let offset = u32::try_from(bucket).expect("bucket numbers fit in 32 bits");
        self.candidates[candidate].score(BucketId(self.first_bucket.0 + offset))
    }

    /// Orders candidates by their load relative to their share, the furthest below it first.
    pub(crate) fn compare_excess(&self, a: usize, b: usize) -> Ordering {
        let excess = |index: usize| self.candidates[index].excess();
        excess(a).total_cmp(&excess(b))
    }

    /// Orders candidates by the excess over their maximum load, then over their share, the largest excess first.
    pub(crate) fn compare_surplus(&self, a: usize, b: usize) -> Ordering {
        let over_max_load = |index: usize| self.candidates[index].over_max_load();
        over_max_load(b)
            .cmp(&over_max_load(a))
            .then(self.compare_excess(b, a))
            .then(a.cmp(&b))
    }
}

fn keep_different_zones(candidates: &[Candidate], holders: Holders) -> Holders {
    match holders {
        [Some(first), Some(second)] if candidates[first].zone() == candidates[second].zone() => {
            [Some(first), None]
        }
        _ => holders,
    }
}

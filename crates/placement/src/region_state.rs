//! Which candidate holds which replica of a region, before a plan and as far as the plan has come.

use crate::candidate::Candidate;
use crate::change::REPLICAS;
use crate::hash::RendezvousScore;
use crate::ids::BucketId;
use std::cmp::Ordering;

/// The holders of one bucket, as indices of candidates.
pub(crate) type Holders = [Option<usize>; REPLICAS];

/// One of the two replicas of a bucket of the region.
#[derive(Clone, Copy)]
pub(crate) struct Replica {
    /// Numbered within the region.
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
    /// How many zones have candidates.
    zones: usize,
    /// The holders that could stay when the plan began.
    initial: Vec<Holders>,
    holders: Vec<Holders>,
    /// How many replicas a bucket can have.
    replicas: usize,
}

impl RegionState {
    /// The state before a plan. `current` are the current holders, without those that are no candidates any more; of two
    /// in the same zone the first one stays.
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
            .map(|holders| in_different_zones(&candidates, holders))
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

    /// How many replicas a bucket can have.
    pub(crate) fn replicas(&self) -> usize {
        self.replicas
    }

    /// How many replicas are held by another candidate than before the plan.
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

    /// The replica of a bucket that this candidate holds.
    pub(crate) fn replica_of(&self, bucket: usize, holder: usize) -> Replica {
        let slot = usize::from(self.holders[bucket][0] != Some(holder));
        Replica { bucket, slot }
    }

    /// Whether a replica has another holder than before the plan, or none.
    pub(crate) fn has_moved(&self, replica: Replica) -> bool {
        let holder = self.holder(replica);
        holder.is_none() || !self.initial[replica.bucket].contains(&holder)
    }

    /// The zone of the other replica of the bucket, if that one has a holder.
    pub(crate) fn other_zone(&self, replica: Replica) -> Option<usize> {
        let holder = self.holder(replica.other())?;
        Some(self.candidates[holder].zone())
    }

    /// Whether a bucket has a replica in a zone.
    pub(crate) fn is_held_in(&self, bucket: usize, zone: usize) -> bool {
        let mut holders = self.holders[bucket].iter().flatten();
        holders.any(|holder| self.candidates[*holder].zone() == zone)
    }

    /// Places or moves a replica on another candidate.
    pub(crate) fn set_holder(&mut self, replica: Replica, target: usize) {
        let source = self.holders[replica.bucket][replica.slot].replace(target);
        if let Some(source) = source {
            self.candidates[source].remove(replica.bucket);
        }
        self.candidates[target].add(replica.bucket);
    }

    pub(crate) fn score(&self, bucket: usize, candidate: usize) -> RendezvousScore {
        let offset = u32::try_from(bucket).expect("buckets are numbered by 32 bits");
        self.candidates[candidate].score(BucketId(self.first_bucket.0 + offset))
    }

    /// Orders candidates by how far they are above their share, the furthest below first.
    pub(crate) fn compare_excess(&self, a: usize, b: usize) -> Ordering {
        let excess = |index: usize| self.candidates[index].excess();
        excess(a).total_cmp(&excess(b))
    }

    /// Orders candidates by how far they are above their bound, then above their share, the furthest first.
    pub(crate) fn compare_surplus(&self, a: usize, b: usize) -> Ordering {
        let over_bound = |index: usize| self.candidates[index].over_bound();
        over_bound(b)
            .cmp(&over_bound(a))
            .then(self.compare_excess(b, a))
            .then(a.cmp(&b))
    }
}

fn in_different_zones(candidates: &[Candidate], holders: Holders) -> Holders {
    match holders {
        [Some(first), Some(second)] if candidates[first].zone() == candidates[second].zone() => {
            [Some(first), None]
        }
        _ => holders,
    }
}

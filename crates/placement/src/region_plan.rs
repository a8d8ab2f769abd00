//! Places the buckets of one region: weighted rendezvous hashing with bounded load, beginning from the current holders.
//!
//! The steps, each moving as little as it can:
//! 1. Replicas without a holder go to members below their fair share, the one with the best score first.
//! 2. Replicas that step 1 placed are spread evenly; that moves nothing more.
//! 3. Members far below their fair share, as new ones, are given it by those that are furthest above theirs.
//! 4. Members above their bound give the rest of the excess to those that are furthest below their share.
//!
//! Where all members outside of a zone are full, a replica of another bucket is moved into that zone first to make room.
//! That always works while the zone does not hold every bucket, since the bounds of the other zones suffice for one
//! replica of each bucket.

use crate::hash::RendezvousScore;
use crate::share::Share;
use crate::{BucketId, REPLICAS};
use std::cmp::Ordering;

/// The holders of one bucket, as numbers of candidates.
pub(crate) type Holders = [Option<usize>; REPLICAS];

/// A member that buckets of the region may be placed on.
pub(crate) struct Candidate {
    name_hash: u64,
    weight: f64,
    zone: usize,
    share: Share,
    /// Whether it was far below its share before the plan.
    deficient: bool,
    /// The buckets it holds, numbered within the region.
    held: Vec<usize>,
    // What follows from the load is kept, because it is asked for far more often than the load changes.
    /// How much more it can hold.
    room: Option<Room>,
    /// By how many replicas it is above its bound.
    over_bound: usize,
    /// How far it is above its share.
    excess: f64,
}

impl Candidate {
    pub fn new(name_hash: u64, weight: f64, zone: usize, share: Share) -> Candidate {
        let mut candidate = Candidate {
            name_hash,
            weight,
            zone,
            share,
            deficient: false,
            held: Vec::new(),
            room: None,
            over_bound: 0,
            excess: 0.0,
        };
        candidate.update();
        candidate
    }

    fn load(&self) -> usize {
        self.held.len()
    }

    fn add(&mut self, bucket: usize) {
        self.held.push(bucket);
        self.update();
    }

    fn remove(&mut self, bucket: usize) {
        let place = self
            .held
            .iter()
            .position(|held| *held == bucket)
            .expect("the holder holds it");
        self.held.swap_remove(place);
        self.update();
    }

    fn set_deficient(&mut self, deficient: bool) {
        self.deficient = deficient;
        self.update();
    }

    fn update(&mut self) {
        self.room = self.room_now();
        self.over_bound = self.load().saturating_sub(self.share.most);
        self.excess = self.share.excess(self.load());
    }

    fn room_now(&self) -> Option<Room> {
        let load = self.load();
        match () {
            () if load < self.share.floor && self.deficient => Some(Room::FarBelowShare),
            () if load < self.share.floor => Some(Room::BelowShare),
            () if load < self.share.ceiling => Some(Room::AtShare),
            () if load < self.share.most => Some(Room::WithinBound),
            () => None,
        }
    }
}

/// How much room a candidate has; the first is chosen before the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Room {
    FarBelowShare,
    BelowShare,
    AtShare,
    WithinBound,
}

/// A candidate that a replica may be placed on.
#[derive(Clone, Copy)]
struct Receiver {
    room: Room,
    score: f64,
    number: usize,
}

impl Receiver {
    fn compare(&self, other: &Receiver) -> Ordering {
        self.room
            .cmp(&other.room)
            .then(self.score.total_cmp(&other.score))
    }
}

/// One of the two replicas of a bucket of the region.
#[derive(Clone, Copy)]
struct Replica {
    bucket: usize,
    slot: usize,
}

impl Replica {
    fn other_slot(self) -> usize {
        1 - self.slot
    }
}

/// Which replicas may be taken from a member.
#[derive(Clone, Copy, PartialEq)]
enum Takes {
    /// Those that this plan has moved already.
    OnlyMoved,
    Any,
}

/// The plan of one region.
pub(crate) struct RegionPlan {
    first_bucket: BucketId,
    candidates: Vec<Candidate>,
    /// How many zones have candidates.
    zones: usize,
    /// The holders that could stay when the plan began.
    kept: Vec<Holders>,
    holders: Vec<Holders>,
    /// How many replicas a bucket can have.
    replicas: usize,
}

impl RegionPlan {
    /// A plan that begins from the current holders, those that take no part any more left out.
    pub fn new(
        first_bucket: BucketId,
        candidates: Vec<Candidate>,
        current: Vec<Holders>,
        replicas: usize,
    ) -> RegionPlan {
        let zones = candidates
            .iter()
            .map(|candidate| candidate.zone + 1)
            .max()
            .unwrap_or(0);
        let mut plan = RegionPlan {
            first_bucket,
            candidates,
            zones,
            kept: Vec::new(),
            holders: Vec::new(),
            replicas,
        };
        plan.kept = current
            .into_iter()
            .map(|holders| plan.in_different_zones(holders))
            .collect();
        plan.holders = plan.kept.clone();
        for (bucket, holders) in plan.kept.iter().enumerate() {
            holders
                .iter()
                .flatten()
                .for_each(|holder| plan.candidates[*holder].add(bucket));
        }
        for candidate in &mut plan.candidates {
            candidate.set_deficient(candidate.share.is_deficient(candidate.load()));
        }
        plan
    }

    /// The least number of moves of any plan with the same bounds, before the run. Every replica without a holder and
    /// every one above a bound must go somewhere, and every replica that a member lacks must come; one move may do both,
    /// but not where a replica without a holder goes to the zone of its bucket's other replica.
    pub fn least_possible(&self) -> usize {
        let mut must_go: usize = self
            .candidates
            .iter()
            .map(|candidate| candidate.over_bound)
            .sum();
        let mut must_go_elsewhere = vec![0; self.zones];
        for holders in &self.holders {
            let present: Vec<usize> = holders.iter().flatten().copied().collect();
            must_go += self.replicas.saturating_sub(present.len());
            if let ([holder], REPLICAS) = (present.as_slice(), self.replicas) {
                must_go_elsewhere[self.candidates[*holder].zone] += 1;
            }
        }
        let mut lacking = vec![0; self.zones];
        for candidate in self
            .candidates
            .iter()
            .filter(|candidate| candidate.deficient)
        {
            lacking[candidate.zone] += candidate.share.floor - candidate.load();
        }
        let of_one_zone = must_go_elsewhere
            .iter()
            .zip(&lacking)
            .map(|(go, come)| go + come)
            .max();
        must_go
            .max(lacking.iter().sum())
            .max(of_one_zone.unwrap_or(0))
    }

    /// Places every replica.
    pub fn run(&mut self) {
        self.place_replicas_without_holder();
        self.spread_moved_replicas();
        self.fill_deficient();
        self.relieve_overloaded();
    }

    /// The holders of each bucket.
    pub fn holders(&self) -> &[Holders] {
        &self.holders
    }

    /// How many replicas are held by another member than before.
    pub fn moved_replicas(&self) -> usize {
        let moved = |(kept, holders): (&Holders, &Holders)| {
            holders
                .iter()
                .flatten()
                .filter(|holder| !kept.contains(&Some(**holder)))
                .count()
        };
        self.kept.iter().zip(&self.holders).map(moved).sum()
    }

    fn place_replicas_without_holder(&mut self) {
        for bucket in 0..self.holders.len() {
            if self.lacks_replica(bucket) {
                self.place_bucket(bucket);
            }
        }
    }

    fn lacks_replica(&self, bucket: usize) -> bool {
        self.holders[bucket].iter().flatten().count() < self.replicas
    }

    fn place_bucket(&mut self, bucket: usize) {
        let receivers = self.best_receivers(bucket);
        for slot in 0..REPLICAS {
            if self.holders[bucket][slot].is_none() && self.lacks_replica(bucket) {
                self.place(Replica { bucket, slot }, &receivers);
            }
        }
    }

    fn place(&mut self, replica: Replica, receivers: &[Option<Receiver>]) {
        let other_zone = self.other_zone(replica);
        let elsewhere = receivers
            .iter()
            .enumerate()
            .filter(|(zone, _)| Some(*zone) != other_zone);
        let best = elsewhere
            .filter_map(|(_, receiver)| *receiver)
            .min_by(Receiver::compare);
        let number = match best {
            Some(receiver) => Some(receiver.number),
            None => other_zone.and_then(|zone| self.make_room_outside(zone)),
        };
        if let Some(number) = number {
            self.set_holder(replica, number);
        }
    }

    /// For each zone the candidate that has the most room, and among such ones the best score.
    fn best_receivers(&self, bucket: usize) -> Vec<Option<Receiver>> {
        let mut best: Vec<Option<Receiver>> = vec![None; self.zones];
        let held_in = |zone| {
            self.holders[bucket]
                .iter()
                .flatten()
                .any(|holder| self.candidates[*holder].zone == zone)
        };
        let occupied: Vec<bool> = (0..self.zones).map(held_in).collect();
        for (number, candidate) in self.candidates.iter().enumerate() {
            let (Some(room), false) = (candidate.room, occupied[candidate.zone]) else {
                continue;
            };
            let best = &mut best[candidate.zone];
            if best.is_some_and(|best| best.room < room) {
                continue;
            }
            let score = self.score(bucket, number);
            if best.is_none_or(|best| room < best.room || score.is_below(best.score)) {
                *best = Some(Receiver {
                    room,
                    score: score.value(),
                    number,
                });
            }
        }
        best
    }

    fn spread_moved_replicas(&mut self) {
        if self.moved_replicas() == 0 {
            return;
        }
        for receiver in 0..self.candidates.len() {
            while self.candidates[receiver].load() < self.candidates[receiver].share.floor {
                if !self.take_from_any(receiver, Takes::OnlyMoved) {
                    break;
                }
            }
        }
    }

    fn fill_deficient(&mut self) {
        while let Some(receiver) = self.most_deficient() {
            let filled = self.take_from_any(receiver, Takes::Any)
                || self.take_through_another_zone(receiver);
            if !filled {
                self.candidates[receiver].set_deficient(false);
            }
        }
    }

    fn most_deficient(&self) -> Option<usize> {
        let lacks = |number: &usize| self.candidates[*number].room == Some(Room::FarBelowShare);
        (0..self.candidates.len())
            .filter(lacks)
            .min_by(|a, b| self.compare_excess(*a, *b))
    }

    /// Takes one replica from the member furthest above its share that has one for the receiver.
    fn take_from_any(&mut self, receiver: usize, takes: Takes) -> bool {
        let mut donors = self.donors();
        if donors.is_empty() {
            return false;
        }
        // The first nearly always has one, so the others are sorted only where it has not.
        donors.select_nth_unstable_by(0, |a, b| self.compare_surplus(*a, *b));
        if self.take_from(donors[0], receiver, takes) {
            return true;
        }
        donors[1..].sort_unstable_by(|a, b| self.compare_surplus(*a, *b));
        donors[1..]
            .iter()
            .any(|donor| self.take_from(*donor, receiver, takes))
    }

    fn take_from(&mut self, donor: usize, receiver: usize, takes: Takes) -> bool {
        let replica = self.replica_for(donor, receiver, takes);
        if let Some(replica) = replica {
            self.set_holder(replica, receiver);
        }
        replica.is_some()
    }

    /// Takes one replica from the member furthest above its share by way of a member of a third zone.
    fn take_through_another_zone(&mut self, receiver: usize) -> bool {
        let donor = self
            .donors()
            .into_iter()
            .min_by(|a, b| self.compare_surplus(*a, *b));
        donor.is_some_and(|donor| self.give_through_another_zone(donor, receiver))
    }

    fn donors(&self) -> Vec<usize> {
        let above_share = |number: &usize| {
            let candidate = &self.candidates[*number];
            candidate.load() > candidate.share.floor
        };
        (0..self.candidates.len()).filter(above_share).collect()
    }

    fn relieve_overloaded(&mut self) {
        for donor in 0..self.candidates.len() {
            while self.candidates[donor].over_bound > 0 {
                if !self.give_to_any(donor) {
                    break;
                }
            }
        }
    }

    /// Gives one replica to the member furthest below its share that can take it.
    fn give_to_any(&mut self, donor: usize) -> bool {
        let mut receivers: Vec<usize> = (0..self.candidates.len())
            .filter(|number| self.candidates[*number].room.is_some())
            .collect();
        receivers.sort_by(|a, b| {
            self.candidates[*a]
                .room
                .cmp(&self.candidates[*b].room)
                .then(self.compare_excess(*a, *b))
        });
        for receiver in &receivers {
            if self.take_from(donor, *receiver, Takes::Any) {
                return true;
            }
        }
        receivers
            .first()
            .is_some_and(|receiver| self.give_through_another_zone(donor, *receiver))
    }

    fn give_through_another_zone(&mut self, donor: usize, receiver: usize) -> bool {
        let between = self.make_room_by(receiver);
        between.is_some_and(|between| self.take_from(donor, between, Takes::Any))
    }

    /// Makes room on a member outside of a zone, and names that member.
    fn make_room_outside(&mut self, zone: usize) -> Option<usize> {
        let in_zone = |number: &usize| {
            let candidate = &self.candidates[*number];
            candidate.zone == zone && candidate.room.is_some()
        };
        let receiver = (0..self.candidates.len())
            .filter(in_zone)
            .min_by(|a, b| self.compare_excess(*a, *b))?;
        self.make_room_by(receiver)
    }

    /// Moves a replica of a bucket that has none in the receiver's zone to the receiver, and names the member that held
    /// it.
    fn make_room_by(&mut self, receiver: usize) -> Option<usize> {
        let zone = self.candidates[receiver].zone;
        let outside = |holders: &&Holders| {
            holders
                .iter()
                .flatten()
                .all(|holder| self.candidates[*holder].zone != zone)
        };
        let (bucket, holders) = self
            .holders
            .iter()
            .enumerate()
            .find(|(_, holders)| outside(holders) && **holders != [None; 2])?;
        let slot = holders.iter().position(Option::is_some)?;
        let relieved = holders[slot];
        self.set_holder(Replica { bucket, slot }, receiver);
        relieved
    }

    /// The replica of the donor that the receiver may hold: one that has moved already before one that has not, one whose
    /// other replica stays before one whose other replica is new too, and the best score.
    fn replica_for(&self, donor: usize, receiver: usize, takes: Takes) -> Option<Replica> {
        let receiver_zone = Some(self.candidates[receiver].zone);
        let rank = |replica: &Replica| {
            let other = Replica {
                slot: replica.other_slot(),
                ..*replica
            };
            (
                !self.has_moved(*replica),
                self.has_moved(other),
                self.score(replica.bucket, receiver).order_for_one_member(),
            )
        };
        let replicas = self.candidates[donor]
            .held
            .iter()
            .map(|bucket| self.replica_of(*bucket, donor));
        replicas
            .filter(|replica| self.other_zone(*replica) != receiver_zone)
            .filter(|replica| takes == Takes::Any || self.has_moved(*replica))
            .map(|replica| (rank(&replica), replica))
            .min_by(|(a, _), (b, _)| a.partial_cmp(b).expect("scores are numbers"))
            .map(|(_, replica)| replica)
    }

    fn replica_of(&self, bucket: usize, holder: usize) -> Replica {
        let slot = usize::from(self.holders[bucket][0] != Some(holder));
        Replica { bucket, slot }
    }

    /// Whether a replica has another holder than before, or none.
    fn has_moved(&self, replica: Replica) -> bool {
        let holder = self.holders[replica.bucket][replica.slot];
        holder.is_none() || !self.kept[replica.bucket].contains(&holder)
    }

    fn other_zone(&self, replica: Replica) -> Option<usize> {
        let other = self.holders[replica.bucket][replica.other_slot()];
        other.map(|holder| self.candidates[holder].zone)
    }

    fn set_holder(&mut self, replica: Replica, receiver: usize) {
        let before = self.holders[replica.bucket][replica.slot].replace(receiver);
        if let Some(donor) = before {
            self.candidates[donor].remove(replica.bucket);
        }
        self.candidates[receiver].add(replica.bucket);
    }

    fn in_different_zones(&self, holders: Holders) -> Holders {
        match holders {
            [Some(first), Some(second)]
                if self.candidates[first].zone == self.candidates[second].zone =>
            {
                [Some(first), None]
            }
            _ => holders,
        }
    }

    fn score(&self, bucket: usize, number: usize) -> RendezvousScore {
        let candidate = &self.candidates[number];
        let offset = u32::try_from(bucket).expect("buckets are numbered by 32 bits");
        RendezvousScore::new(
            BucketId(self.first_bucket.0 + offset),
            candidate.name_hash,
            candidate.weight,
        )
    }

    fn compare_excess(&self, a: usize, b: usize) -> Ordering {
        self.candidates[a]
            .excess
            .total_cmp(&self.candidates[b].excess)
    }

    /// Orders members by how far they are above their bound, then above their share, the furthest first.
    fn compare_surplus(&self, a: usize, b: usize) -> Ordering {
        let over_bound = |number: usize| self.candidates[number].over_bound;
        over_bound(b)
            .cmp(&over_bound(a))
            .then(self.compare_excess(b, a))
            .then(a.cmp(&b))
    }
}

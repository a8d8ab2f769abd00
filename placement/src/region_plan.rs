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
    /// How much more it can hold; kept because it is asked for far more often than it changes.
    room: Option<Room>,
}

impl Candidate {
    pub fn new(name_hash: u64, weight: f64, zone: usize, share: Share) -> Candidate {
        Candidate { name_hash, weight, zone, share, deficient: false, held: Vec::new(), room: None }
    }

    fn load(&self) -> usize {
        self.held.len()
    }

    fn add(&mut self, bucket: usize) {
        self.held.push(bucket);
        self.room = self.room_now();
    }

    fn remove(&mut self, bucket: usize) {
        let place = self.held.iter().position(|held| *held == bucket).expect("the holder holds it");
        self.held.swap_remove(place);
        self.room = self.room_now();
    }

    fn set_deficient(&mut self, deficient: bool) {
        self.deficient = deficient;
        self.room = self.room_now();
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

    fn over_bound(&self) -> usize {
        self.load().saturating_sub(self.share.most)
    }

    fn excess(&self) -> f64 {
        self.share.excess(self.load())
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
        let mut plan =
            RegionPlan { first_bucket, candidates, kept: Vec::new(), holders: Vec::new(), replicas };
        plan.kept = current.into_iter().map(|holders| plan.in_different_zones(holders)).collect();
        plan.holders = plan.kept.clone();
        for (bucket, holders) in plan.kept.iter().enumerate() {
            holders.iter().flatten().for_each(|holder| plan.candidates[*holder].add(bucket));
        }
        for candidate in &mut plan.candidates {
            candidate.set_deficient(candidate.share.is_deficient(candidate.load()));
        }
        plan
    }

    /// The least number of moves of any plan with the same bounds, before the run: every replica without a holder and
    /// every one above a bound must leave, and every replica that a member lacks must come.
    pub fn least_possible(&self) -> usize {
        let lacking = |candidate: &Candidate| candidate.share.floor - candidate.load();
        let without_holder =
            self.replicas * self.holders.len() - self.candidates.iter().map(Candidate::load).sum::<usize>();
        let above_bound: usize = self.candidates.iter().map(Candidate::over_bound).sum();
        let must_come: usize =
            self.candidates.iter().filter(|candidate| candidate.deficient).map(lacking).sum();
        must_come.max(without_holder + above_bound)
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
            holders.iter().flatten().filter(|holder| !kept.contains(&Some(**holder))).count()
        };
        self.kept.iter().zip(&self.holders).map(moved).sum()
    }

    fn place_replicas_without_holder(&mut self) {
        for bucket in 0..self.holders.len() {
            for slot in 0..REPLICAS {
                let present = self.holders[bucket].iter().flatten().count();
                if self.holders[bucket][slot].is_none() && present < self.replicas {
                    self.place(Replica { bucket, slot });
                }
            }
        }
    }

    fn place(&mut self, replica: Replica) {
        let other_zone = self.other_zone(replica);
        let receiver = self
            .best_receiver(replica.bucket, other_zone)
            .or_else(|| other_zone.and_then(|zone| self.make_room_outside(zone)));
        if let Some(receiver) = receiver {
            self.set_holder(replica, receiver);
        }
    }

    /// The candidate outside of a zone that has the most room, and among such ones the best score.
    fn best_receiver(&self, bucket: usize, excluded_zone: Option<usize>) -> Option<usize> {
        let room_of = |candidate: &Candidate| {
            let excluded = Some(candidate.zone) == excluded_zone;
            if excluded { None } else { candidate.room }
        };
        let most_room = Some(self.candidates.iter().filter_map(room_of).min()?);
        let numbered = self.candidates.iter().enumerate();
        let with_most_room = numbered.filter(|(_, candidate)| room_of(candidate) == most_room);
        self.best_score(bucket, with_most_room.map(|(number, _)| number))
    }

    fn best_score(&self, bucket: usize, numbers: impl Iterator<Item = usize>) -> Option<usize> {
        let (mut best, mut best_value) = (None, f64::INFINITY);
        for number in numbers {
            let score = self.score(bucket, number);
            if score.lower_bound() < best_value && score.value() < best_value {
                (best, best_value) = (Some(number), score.value());
            }
        }
        best
    }

    fn spread_moved_replicas(&mut self) {
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
            let filled = self.take_from_any(receiver, Takes::Any) || self.take_through_another_zone(receiver);
            if !filled {
                self.candidates[receiver].set_deficient(false);
            }
        }
    }

    fn most_deficient(&self) -> Option<usize> {
        let lacks = |number: &usize| self.candidates[*number].room == Some(Room::FarBelowShare);
        (0..self.candidates.len()).filter(lacks).min_by(|a, b| self.compare_excess(*a, *b))
    }

    /// Takes one replica from the member furthest above its share that has one for the receiver.
    fn take_from_any(&mut self, receiver: usize, takes: Takes) -> bool {
        let mut donors = self.donors();
        while let Some(donor) = remove_greatest(&mut donors, |a, b| self.compare_surplus(a, b)) {
            if let Some(replica) = self.replica_for(donor, receiver, takes) {
                self.set_holder(replica, receiver);
                return true;
            }
        }
        false
    }

    /// Takes one replica from the member furthest above its share by way of a member of a third zone.
    fn take_through_another_zone(&mut self, receiver: usize) -> bool {
        let greatest = remove_greatest(&mut self.donors(), |a, b| self.compare_surplus(a, b));
        greatest.is_some_and(|donor| self.give_through_another_zone(donor, receiver))
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
            while self.candidates[donor].over_bound() > 0 {
                if !self.give_to_any(donor) {
                    break;
                }
            }
        }
    }

    /// Gives one replica to the member furthest below its share that can take it.
    fn give_to_any(&mut self, donor: usize) -> bool {
        let mut receivers: Vec<usize> =
            (0..self.candidates.len()).filter(|number| self.candidates[*number].room.is_some()).collect();
        receivers.sort_by(|a, b| {
            self.candidates[*a].room.cmp(&self.candidates[*b].room).then(self.compare_excess(*a, *b))
        });
        for receiver in &receivers {
            if let Some(replica) = self.replica_for(donor, *receiver, Takes::Any) {
                self.set_holder(replica, *receiver);
                return true;
            }
        }
        receivers.first().is_some_and(|receiver| self.give_through_another_zone(donor, *receiver))
    }

    fn give_through_another_zone(&mut self, donor: usize, receiver: usize) -> bool {
        let Some(between) = self.make_room_by(receiver) else { return false };
        match self.replica_for(donor, between, Takes::Any) {
            Some(replica) => {
                self.set_holder(replica, between);
                true
            }
            None => false,
        }
    }

    /// Makes room on a member outside of a zone, and names that member.
    fn make_room_outside(&mut self, zone: usize) -> Option<usize> {
        let in_zone = |number: &usize| {
            let candidate = &self.candidates[*number];
            candidate.zone == zone && candidate.room.is_some()
        };
        let receiver =
            (0..self.candidates.len()).filter(in_zone).min_by(|a, b| self.compare_excess(*a, *b))?;
        self.make_room_by(receiver)
    }

    /// Moves a replica of a bucket that has none in the receiver's zone to the receiver, and names the member that held
    /// it.
    fn make_room_by(&mut self, receiver: usize) -> Option<usize> {
        let zone = self.candidates[receiver].zone;
        let outside =
            |holders: &&Holders| holders.iter().flatten().all(|holder| self.candidates[*holder].zone != zone);
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
            let other = Replica { slot: replica.other_slot(), ..*replica };
            (!self.has_moved(*replica), self.has_moved(other), self.score(replica.bucket, receiver).value())
        };
        let replicas = self.candidates[donor].held.iter().map(|bucket| self.replica_of(*bucket, donor));
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
            [Some(first), Some(second)] if self.candidates[first].zone == self.candidates[second].zone => {
                [Some(first), None]
            }
            _ => holders,
        }
    }

    fn score(&self, bucket: usize, number: usize) -> RendezvousScore {
        let candidate = &self.candidates[number];
        let offset = u32::try_from(bucket).expect("buckets are numbered by 32 bits");
        RendezvousScore::new(BucketId(self.first_bucket.0 + offset), candidate.name_hash, candidate.weight)
    }

    fn compare_excess(&self, a: usize, b: usize) -> std::cmp::Ordering {
        self.candidates[a].excess().total_cmp(&self.candidates[b].excess())
    }

    fn compare_surplus(&self, a: usize, b: usize) -> std::cmp::Ordering {
        let over_bound = |number: usize| self.candidates[number].over_bound();
        over_bound(a).cmp(&over_bound(b)).then(self.compare_excess(a, b))
    }
}

/// Removes the greatest number of a list by an order; the earliest among equal ones.
fn remove_greatest(
    numbers: &mut Vec<usize>,
    compare: impl Fn(usize, usize) -> std::cmp::Ordering,
) -> Option<usize> {
    let places = (0..numbers.len()).rev();
    let greatest = places.max_by(|a, b| compare(numbers[*a], numbers[*b]))?;
    Some(numbers.swap_remove(greatest))
}

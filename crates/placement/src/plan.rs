//! Plans an assignment region by region, and records what changes.

use crate::assignment::Assignment;
use crate::candidate::Candidate;
use crate::change::{AssignmentChange, BucketHolders, PlacementWarning, REPLICAS};
use crate::error::PlacementError;
use crate::hash;
use crate::ids::BucketId;
use crate::layout::{Layout, RegionId};
use crate::lower_bound::least_moves;
use crate::member::Member;
use crate::names::{MemberName, ZoneName};
use crate::region_plan;
use crate::region_state::{Holders, RegionState};
use crate::share::{WeightInZone, fair_shares};
use std::collections::{BTreeSet, HashMap};

impl Assignment {
    /// The change that places all buckets on the members that are present. The order of `members` makes no difference.
    /// A replica stays where it is while its holder is present and within its bound; a member far below its fair share,
    /// as a new one, is filled up to it.
    pub fn plan(&self, members: &[Member]) -> Result<AssignmentChange, PlacementError> {
        let members = in_order(members)?;
        let mut change = AssignmentChange {
            epoch: self.next_epoch(),
            moved: Vec::new(),
            moved_replicas: 0,
            least_possible: 0,
            warnings: Vec::new(),
        };
        for members_of_region in by_region(self.layout(), &members)? {
            plan_region(self, &members_of_region, &mut change);
        }
        Ok(change)
    }
}

/// The members that take part in the assignment of one region, in the order of their names.
struct RegionMembers<'a> {
    region: RegionId,
    members: Vec<&'a Member>,
    /// The zones that have such members, in order.
    zones: Vec<&'a ZoneName>,
}

impl RegionMembers<'_> {
    /// How many replicas of a bucket the region can have.
    fn replicas(&self) -> usize {
        self.zones.len().min(REPLICAS)
    }

    fn candidates(&self, buckets: u32) -> Vec<Candidate> {
        let weights: Vec<WeightInZone> = self
            .members
            .iter()
            .map(|member| WeightInZone {
                weight: member.weight,
                zone: self.zone_number(&member.zone),
            })
            .collect();
        let shares = fair_shares(&weights, self.zones.len(), buckets, self.replicas());
        let candidate = |((member, weight), share): ((&&Member, &WeightInZone), _)| {
            Candidate::new(
                hash::member_hash(member.name.as_str()),
                weight.weight,
                weight.zone,
                share,
            )
        };
        self.members
            .iter()
            .zip(&weights)
            .zip(shares)
            .map(candidate)
            .collect()
    }

    fn zone_number(&self, zone: &ZoneName) -> usize {
        self.zones
            .binary_search(&zone)
            .expect("the zones are those of the members")
    }

    fn warning(&self, layout: &Layout) -> Option<PlacementWarning> {
        let region = layout
            .region_name(self.region)
            .expect("a region of the layout")
            .clone();
        match self.zones.len() {
            0 => Some(PlacementWarning::NoMembers { region }),
            1 => Some(PlacementWarning::OneZone { region }),
            _ => None,
        }
    }
}

/// The members in the order of their names, each with a name and a weight that can be used.
fn in_order(members: &[Member]) -> Result<Vec<&Member>, PlacementError> {
    let mut members: Vec<&Member> = members.iter().collect();
    members.sort_unstable_by_key(|member| &member.name);
    if let Some(pair) = members.windows(2).find(|pair| pair[0].name == pair[1].name) {
        return Err(PlacementError::DuplicateMember {
            member: pair[0].name.clone(),
        });
    }
    match members
        .iter()
        .find(|member| !member.weight.is_finite() || member.weight < 0.0)
    {
        Some(member) => Err(PlacementError::InvalidWeight {
            member: member.name.clone(),
            weight: member.weight,
        }),
        None => Ok(members),
    }
}

fn by_region<'a>(
    layout: &Layout,
    members: &[&'a Member],
) -> Result<Vec<RegionMembers<'a>>, PlacementError> {
    let mut regions: Vec<RegionMembers<'a>> = layout
        .regions()
        .map(|region| RegionMembers {
            region,
            members: Vec::new(),
            zones: Vec::new(),
        })
        .collect();
    for member in members {
        let region = layout
            .region_of(&member.zone)
            .ok_or_else(|| PlacementError::UnknownZone {
                member: member.name.clone(),
                zone: member.zone.clone(),
            })?;
        if member.present && member.weight > 0.0 {
            regions[region.0 as usize].members.push(member);
        }
    }
    for region in &mut regions {
        let zones: BTreeSet<&ZoneName> = region.members.iter().map(|member| &member.zone).collect();
        region.zones = zones.into_iter().collect();
    }
    Ok(regions)
}

fn plan_region(assignment: &Assignment, region: &RegionMembers, change: &mut AssignmentChange) {
    let layout = assignment.layout();
    let first_bucket = layout.first_bucket(region.region);
    let current = current_holders(assignment, region, first_bucket);
    let candidates = region.candidates(layout.buckets_per_region());
    let mut state = RegionState::new(first_bucket, candidates, current, region.replicas());
    change.least_possible += least_moves(&state);
    region_plan::run(&mut state);
    change.moved_replicas += state.moved_replicas();
    change.warnings.extend(region.warning(layout));
    for (bucket, planned) in (first_bucket.0..).map(BucketId).zip(state.holders()) {
        let planned = planned.map(|holder| holder.map(|index| &region.members[index].name));
        if planned != assignment.holders(bucket) {
            change.moved.push(BucketHolders {
                bucket,
                holders: planned.map(|holder| holder.cloned()),
            });
        }
    }
}

/// The holders of the region's buckets as indices of its members; those that take no part any more are left out.
fn current_holders(
    assignment: &Assignment,
    region: &RegionMembers,
    first_bucket: BucketId,
) -> Vec<Holders> {
    let numbers: HashMap<&MemberName, usize> = region
        .members
        .iter()
        .enumerate()
        .map(|(number, member)| (&member.name, number))
        .collect();
    let number_of =
        |holder: Option<&MemberName>| holder.and_then(|member| numbers.get(member).copied());
    (first_bucket.0..first_bucket.0 + assignment.layout().buckets_per_region())
        .map(|bucket| assignment.holders(BucketId(bucket)).map(number_of))
        .collect()
}

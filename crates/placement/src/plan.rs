//! Plans the assignment region by region and collects the changes.

use crate::assignment::Assignment;
use crate::candidate::Candidate;
use crate::change::{AssignmentChange, BucketHolders, PlacementWarning, REPLICAS};
use crate::error::PlacementError;
use crate::hash;
use crate::ids::BucketId;
use crate::layout::{Layout, RegionId};
use crate::lower_bound::min_moves;
use crate::member::Member;
use crate::names::{MemberName, ZoneName};
use crate::region_plan;
use crate::region_state::{Holders, RegionState};
use crate::share::{WeightInZone, fair_shares};
use std::collections::{BTreeSet, HashMap};

impl Assignment {
    /// Plans the change that places all buckets on the present members. The result does not depend on the order of
    /// `members`. A replica keeps its holder while that member is present and within its maximum load, unless it is
    /// needed to fill a member far below its fair share, such as a new one, or to free capacity.
    pub fn plan(&self, members: &[Member]) -> Result<AssignmentChange, PlacementError> {
        let members = sorted_by_name(members)?;
        let mut change = AssignmentChange {
            epoch: self.next_epoch(),
            moved: Vec::new(),
            moved_replicas: 0,
            least_possible: 0,
            warnings: Vec::new(),
        };
        for members_of_region in group_by_region(self.layout(), &members)? {
            plan_region(self, &members_of_region, &mut change);
        }
        Ok(change)
    }
}

/// The members of one region that can hold buckets, ordered by name.
struct RegionMembers<'a> {
    region: RegionId,
    members: Vec<&'a Member>,
    /// The zones of these members, ordered by name.
    zones: Vec<&'a ZoneName>,
}

impl RegionMembers<'_> {
    /// The number of replicas per bucket that the region can hold.
    fn replicas(&self) -> usize {
        self.zones.len().min(REPLICAS)
    }

    fn candidates(&self, buckets: u32) -> Vec<Candidate> {
        let weights: Vec<WeightInZone> = self
            .members
            .iter()
            .map(|member| WeightInZone {
                weight: member.weight,
                zone: self.zone_index(&member.zone),
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

    fn zone_index(&self, zone: &ZoneName) -> usize {
        self.zones
            .binary_search(&zone)
            .expect("the list contains the zone of every member")
    }

    fn warning(&self, layout: &Layout) -> Option<PlacementWarning> {
        let region = layout
            .region_name(self.region)
            .expect("the region comes from the layout")
            .clone();
        match self.zones.len() {
            0 => Some(PlacementWarning::NoMembers { region }),
            1 => Some(PlacementWarning::OneZone { region }),
            _ => None,
        }
    }
}

/// Sorts the members by name and checks that names are unique and weights valid.
fn sorted_by_name(members: &[Member]) -> Result<Vec<&Member>, PlacementError> {
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

fn group_by_region<'a>(
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
    change.least_possible += min_moves(&state);
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

/// The holders of the region's buckets as indices into its members, without holders that can no longer hold buckets.
fn current_holders(
    assignment: &Assignment,
    region: &RegionMembers,
    first_bucket: BucketId,
) -> Vec<Holders> {
    let indices: HashMap<&MemberName, usize> = region
        .members
        .iter()
        .enumerate()
        .map(|(index, member)| (&member.name, index))
        .collect();
    let index_of =
        |holder: Option<&MemberName>| holder.and_then(|member| indices.get(member).copied());
    (first_bucket.0..first_bucket.0 + assignment.layout().buckets_per_region())
        .map(|bucket| assignment.holders(BucketId(bucket)).map(index_of))
        .collect()
}

//! A whole assignment as a snapshot keeps it.

use crate::{Assignment, BucketId, Epoch, HASH_VERSION, Layout, Member, MemberName, REPLICAS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::collections::HashSet;
use thiserror::Error;

/// A whole assignment. Each name is written once; holders are places in `members`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentTable {
    /// Of the functions that chose the buckets, see [`HASH_VERSION`].
    pub hash_version: u32,
    pub epoch: Epoch,
    pub layout: Layout,
    /// The members that hold a bucket, in order.
    pub members: Vec<MemberName>,
    /// The holders of each bucket, by its number.
    pub holders: Vec<[Option<u32>; REPLICAS]>,
}

/// Why a table can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    #[error(
        "the table was made with hash version {found}, this program has {HASH_VERSION}: run the program that made it"
    )]
    HashVersion { found: u32 },
    #[error(
        "the table names the member {member}, which is not declared: declare it, or start from an empty table"
    )]
    UnknownMember { member: MemberName },
    #[error(
        "the table has the holders of {found} buckets, its layout {expected}: it is damaged, take an earlier one"
    )]
    BucketCount { expected: u32, found: usize },
    #[error(
        "the table gives bucket {bucket:?} to a member it does not list, or twice to one: it is damaged"
    )]
    InvalidHolder { bucket: BucketId },
}

impl Assignment {
    /// The whole assignment, for a snapshot.
    pub fn to_table(&self) -> AssignmentTable {
        let members: Vec<MemberName> = self.members().cloned().collect();
        let places: BTreeMap<&MemberName, u32> = members.iter().zip(0..).collect();
        let place = |holder: Option<&MemberName>| holder.map(|member| places[member]);
        let holders = self
            .buckets()
            .map(|bucket| self.holders(bucket).map(place))
            .collect();
        AssignmentTable {
            hash_version: HASH_VERSION,
            epoch: self.epoch(),
            layout: self.layout().clone(),
            members,
            holders,
        }
    }

    /// The assignment of a table whose members are all declared, present or not.
    pub fn from_table(
        table: &AssignmentTable,
        declared: &[Member],
    ) -> Result<Assignment, TableError> {
        check_table(table, declared)?;
        let mut holders = Vec::with_capacity(table.holders.len());
        for (bucket, places) in (0..).map(BucketId).zip(&table.holders) {
            holders.push(holders_of_places(bucket, *places, &table.members)?);
        }
        Ok(Assignment::from_holders(
            table.layout.clone(),
            table.epoch,
            holders,
        ))
    }
}

fn check_table(table: &AssignmentTable, declared: &[Member]) -> Result<(), TableError> {
    if table.hash_version != HASH_VERSION {
        return Err(TableError::HashVersion {
            found: table.hash_version,
        });
    }
    let expected = table.layout.buckets();
    if table.holders.len() != expected as usize {
        return Err(TableError::BucketCount {
            expected,
            found: table.holders.len(),
        });
    }
    let known: HashSet<&MemberName> = declared.iter().map(|member| &member.name).collect();
    match table.members.iter().find(|member| !known.contains(member)) {
        Some(member) => Err(TableError::UnknownMember {
            member: member.clone(),
        }),
        None => Ok(()),
    }
}

fn holders_of_places(
    bucket: BucketId,
    places: [Option<u32>; REPLICAS],
    members: &[MemberName],
) -> Result<[Option<MemberName>; REPLICAS], TableError> {
    let listed = |place: Option<u32>| place.is_none_or(|place| (place as usize) < members.len());
    let twice = places[0].is_some() && places[0] == places[1];
    if twice || !places.into_iter().all(listed) {
        return Err(TableError::InvalidHolder { bucket });
    }
    Ok(places.map(|place| place.map(|place| members[place as usize].clone())))
}

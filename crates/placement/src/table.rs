//! A complete assignment in the form that snapshots have.

use crate::assignment::Assignment;
use crate::change::REPLICAS;
use crate::hash::HASH_VERSION;
use crate::ids::{BucketId, Epoch};
use crate::layout::Layout;
use crate::member::Member;
use crate::names::MemberName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use thiserror::Error;

/// A complete assignment. Each name is written once; holders are indices into `members`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentTable {
    /// Of the functions that chose the buckets, see [`HASH_VERSION`].
    pub hash_version: u32,
    /// The epoch of the last change that was applied.
    pub epoch: Epoch,
    /// The layout that bucket numbers refer to.
    pub layout: Layout,
    /// The members that hold a bucket, in order.
    pub members: Vec<MemberName>,
    /// The holders of each bucket, by its number.
    pub holders: Vec<[Option<u32>; REPLICAS]>,
}

/// Why a table is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// The buckets were chosen by other hash functions.
    #[error(
        "the table was made with hash version {found}, this program has {HASH_VERSION}: run the program that made it"
    )]
    HashVersion {
        /// The version in the table.
        found: u32,
    },
    /// A holder is not among the declared members.
    #[error(
        "the table names the member {member}, which is not declared: declare it, or start from an empty table"
    )]
    UnknownMember {
        /// The member that is not declared.
        member: MemberName,
    },
    /// The table and its own layout differ in the number of buckets.
    #[error(
        "the table has the holders of {found} buckets, its layout {expected}: it is damaged, take an earlier one"
    )]
    BucketCount {
        /// The buckets of the layout.
        expected: u32,
        /// The buckets of the table.
        found: usize,
    },
    /// A holder is an invalid index, or both holders are the same.
    #[error(
        "the table gives bucket {bucket:?} to a member it does not list, or twice to one: it is damaged"
    )]
    InvalidHolder {
        /// The bucket with that holder.
        bucket: BucketId,
    },
}

impl Assignment {
    /// The complete assignment, for a snapshot.
    pub fn to_table(&self) -> AssignmentTable {
        let members: Vec<MemberName> = self.members().cloned().collect();
        let indices: BTreeMap<&MemberName, u32> = members.iter().zip(0..).collect();
        let index = |holder: Option<&MemberName>| holder.map(|member| indices[member]);
        let holders = self
            .buckets()
            .map(|bucket| self.holders(bucket).map(index))
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
        for (bucket, indices) in (0..).map(BucketId).zip(&table.holders) {
            holders.push(holders_at(bucket, *indices, &table.members)?);
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

fn holders_at(
    bucket: BucketId,
    indices: [Option<u32>; REPLICAS],
    members: &[MemberName],
) -> Result<[Option<MemberName>; REPLICAS], TableError> {
    let listed = |index: Option<u32>| index.is_none_or(|index| (index as usize) < members.len());
    let twice = indices[0].is_some() && indices[0] == indices[1];
    if twice || !indices.into_iter().all(listed) {
        return Err(TableError::InvalidHolder { bucket });
    }
    Ok(indices.map(|index| index.map(|index| members[index as usize].clone())))
}

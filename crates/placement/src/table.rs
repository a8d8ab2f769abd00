//! The serialized form of a complete assignment, used in snapshots.

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

/// A complete assignment. Each member name occurs once; holders are indices into `members`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentTable {
    /// The version of the hash functions that assigned destinations to buckets, see [`HASH_VERSION`].
    pub hash_version: u32,
    /// The epoch of the last applied change.
    pub epoch: Epoch,
    /// The layout that bucket numbers refer to.
    pub layout: Layout,
    /// The members that hold at least one bucket, ordered by name.
    pub members: Vec<MemberName>,
    /// The holders of each bucket, indexed by bucket number.
    pub holders: Vec<[Option<u32>; REPLICAS]>,
}

/// Why a table is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// The table uses another version of the hash functions.
    #[error(
        "the table uses hash version {found}, this program supports {HASH_VERSION}: run the program version that wrote it"
    )]
    HashVersion {
        /// The version in the table.
        found: u32,
    },
    /// A member of the table is not declared.
    #[error(
        "the table contains member {member}, which is not declared: declare it or start with an empty table"
    )]
    UnknownMember {
        /// The undeclared member.
        member: MemberName,
    },
    /// The number of buckets in the table differs from that of its layout.
    #[error(
        "the table has holders for {found} buckets, but its layout has {expected} buckets: \
         the table is corrupt, use an earlier one"
    )]
    BucketCount {
        /// The number of buckets in the layout.
        expected: u32,
        /// The number of buckets in the table.
        found: usize,
    },
    /// A holder index is out of range, or both holders are the same.
    #[error(
        "bucket {} of the table has a holder index out of range or the same holder twice: the table is corrupt",
        .bucket.0
    )]
    InvalidHolder {
        /// The bucket with the invalid holders.
        bucket: BucketId,
    },
}

impl Assignment {
    /// Converts the assignment to a table for a snapshot.
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

    /// Restores the assignment from a table. All members of the table must be declared, but need not be present.
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
    let in_range = |index: Option<u32>| index.is_none_or(|index| (index as usize) < members.len());
    let same_holder = indices[0].is_some() && indices[0] == indices[1];
    if same_holder || !indices.into_iter().all(in_range) {
        return Err(TableError::InvalidHolder { bucket });
    }
    Ok(indices.map(|index| index.map(|index| members[index as usize].clone())))
}

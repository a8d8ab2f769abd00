//! The leader: accepts writes, and updates members and their assignment when the presence of dispatchers changes.

use crate::metrics::Metrics;
use crate::presence::Presence;
use crate::replica::Replica;
use crate::write_request::{WriteError, decode_endpoints, decode_heartbeats, decode_members};
use bellsill_directory::line::Version;
use bellsill_directory::record::{MAX_ENDPOINTS_IN_RECORD, Record};
use bellsill_directory::state::ApplyError;
use bellsill_net::Nanos;
use bellsill_placement::{AssignmentChange, Member};
use std::time::{Duration, Instant};

/// The most members in one record.
const MAX_MEMBERS_IN_RECORD: usize = 100;

/// The state of a leader beside the replicated one.
pub(crate) struct Leader {
    presence: Presence,
    /// Whether the members may call for another assignment.
    plan_due: bool,
    followers: Followers,
}

/// Whether other control processes follow the leader.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Followers {
    /// None has since the start.
    NeverSeen,
    Present,
    /// All have disconnected: the leader is more likely to be partitioned than all followers to have failed.
    Lost,
}

impl Leader {
    pub(crate) fn new(now: Nanos, restart_grace: Duration) -> Leader {
        Leader {
            presence: Presence::new(now, restart_grace.as_nanos() as Nanos),
            plan_due: true,
            followers: Followers::NeverSeen,
        }
    }

    /// A control process has opened a watch; it counts even if the watch ends before the next check.
    pub(crate) fn follower_connected(&mut self) {
        self.followers = Followers::Present;
    }

    /// Writes the endpoints of `POST /api/targets`.
    pub(crate) fn write_endpoints(
        &mut self,
        replica: &mut Replica,
        body: &[u8],
    ) -> Result<Version, WriteError> {
        let endpoints = decode_endpoints(body, replica.directory())?;
        for chunk in endpoints.chunks(MAX_ENDPOINTS_IN_RECORD) {
            replica.append(Record::EndpointsChanged(chunk.to_vec()))?;
        }
        Ok(replica.version())
    }

    /// Writes the members of `POST /v2/members`.
    pub(crate) fn write_members(
        &mut self,
        replica: &mut Replica,
        body: &[u8],
        now: Nanos,
    ) -> Result<Version, WriteError> {
        let members = decode_members(body, replica.directory())?;
        self.grant_restart_grace(replica, &members, now);
        for chunk in members.chunks(MAX_MEMBERS_IN_RECORD) {
            replica.append(Record::MembersChanged(chunk.to_vec()))?;
        }
        Ok(replica.version())
    }

    /// Records the heartbeats of `POST /v2/presence`.
    pub(crate) fn record_heartbeats(
        &mut self,
        replica: &Replica,
        body: &[u8],
        now: Nanos,
    ) -> Result<Version, WriteError> {
        let heartbeats = decode_heartbeats(body)?;
        let directory = replica.directory().ok_or(WriteError::NoConfiguration)?;
        for heartbeat in heartbeats {
            if directory.member(&heartbeat.dispatcher).is_some() {
                self.presence.record_seen(&heartbeat.dispatcher, now);
            }
        }
        Ok(directory.version())
    }

    /// To be called each second: writes members whose presence has changed, and the assignment that they call for.
    pub(crate) fn every_second(
        &mut self,
        replica: &mut Replica,
        metrics: &mut Metrics,
        now: Nanos,
    ) -> Result<(), ApplyError> {
        let Some(directory) = replica.directory() else {
            return Ok(());
        };
        let watchers = replica.watchers();
        watchers
            .members()
            .for_each(|member| self.presence.record_seen(member, now));
        self.count_followers(watchers.followers());
        // A partitioned leader would move nearly every bucket. Members seen meanwhile become present once it is not.
        let changed = match self.followers {
            Followers::Lost => Vec::new(),
            Followers::NeverSeen | Followers::Present => {
                self.presence.changed(directory.members(), now)
            }
        };
        metrics.seconds_without_followers += u64::from(self.followers == Followers::Lost);
        let plan_due = std::mem::replace(&mut self.plan_due, false) || !changed.is_empty();
        for members in changed.chunks(MAX_MEMBERS_IN_RECORD) {
            log::info!("presence of members changed: {}", describe(members));
            replica.append(Record::MembersChanged(members.to_vec()))?;
        }
        if plan_due {
            reassign(replica)?;
        }
        Ok(())
    }

    fn count_followers(&mut self, count: usize) {
        let followers = match (count, self.followers) {
            (0, Followers::NeverSeen) => Followers::NeverSeen,
            (0, _) => Followers::Lost,
            _ => Followers::Present,
        };
        if followers != self.followers && followers == Followers::Lost {
            log::warn!("all followers are lost: no member is declared absent until one returns");
        }
        self.followers = followers;
    }

    /// New members have the restart grace from now on to open their watch.
    fn grant_restart_grace(&mut self, replica: &Replica, members: &[Member], now: Nanos) {
        let Some(directory) = replica.directory() else {
            return;
        };
        self.plan_due = true;
        for member in members
            .iter()
            .filter(|member| directory.member(&member.name).is_none())
        {
            self.presence.record_seen(&member.name, now);
        }
    }
}

/// Plans the assignment that the present members call for, and writes it if it differs.
fn reassign(replica: &mut Replica) -> Result<(), ApplyError> {
    let Some(directory) = replica.directory() else {
        return Ok(());
    };
    let started = Instant::now();
    match directory.plan() {
        Ok(Some(change)) => {
            log_assignment(&change, started.elapsed());
            replica.append(Record::AssignmentChanged(change))
        }
        Ok(None) => Ok(()),
        Err(error) => {
            log::error!("no assignment can be planned, the current one is kept: {error}");
            Ok(())
        }
    }
}

fn log_assignment(change: &AssignmentChange, took: Duration) {
    for warning in &change.warnings {
        log::warn!("assignment: {warning}");
    }
    log::info!(
        "assignment {}: {} replicas move, at least {} have to, planned in {} ms",
        change.epoch.0,
        change.moved_replicas,
        change.least_possible,
        took.as_millis()
    );
}

fn describe(members: &[Member]) -> String {
    let describe_one = |member: &Member| {
        let presence = if member.present { "present" } else { "absent" };
        format!("{} is {presence}", member.name)
    };
    members
        .iter()
        .map(describe_one)
        .collect::<Vec<_>>()
        .join(", ")
}

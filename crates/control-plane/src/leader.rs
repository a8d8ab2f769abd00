//! The leader: accepts writes, and updates the members and the assignment of buckets when the presence of dispatchers
//! changes.

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

/// The maximum number of members in one record.
const MAX_MEMBERS_IN_RECORD: usize = 100;

/// The state that only a leader has, in addition to the replicated state.
pub(crate) struct Leader {
    presence: Presence,
    /// Whether the assignment has to be planned again because members may have changed.
    plan_due: bool,
    followers: FollowerStatus,
}

/// Whether followers have a watch on the leader.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FollowerStatus {
    /// None has had one since the process started.
    NeverSeen,
    /// At least one does.
    Connected,
    /// All have disconnected. A network partition of the leader is more likely than a failure of all followers.
    Lost,
}

impl Leader {
    pub(crate) fn new(now: Nanos, restart_grace: Duration) -> Leader {
        Leader {
            presence: Presence::new(now, restart_grace.as_nanos() as Nanos),
            plan_due: true,
            followers: FollowerStatus::NeverSeen,
        }
    }

    /// Records that a follower has opened a watch, which counts even if the watch ends before the next check.
    pub(crate) fn follower_connected(&mut self) {
        self.followers = FollowerStatus::Connected;
    }

    /// Handles the body of `POST /api/targets`: writes the endpoints.
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

    /// Handles the body of `POST /v2/members`: writes the members.
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

    /// Handles the body of `POST /v2/presence`: records the heartbeats.
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

    /// Writes the members whose presence has changed and the resulting assignment. Must be called once a second.
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
        self.update_follower_status(watchers.followers());
        // A partitioned leader would reassign nearly every bucket. Members that are seen during the partition become
        // present when it ends.
        let changed = match self.followers {
            FollowerStatus::Lost => Vec::new(),
            FollowerStatus::NeverSeen | FollowerStatus::Connected => {
                self.presence.changed_members(directory.members(), now)
            }
        };
        metrics.seconds_without_followers += u64::from(self.followers == FollowerStatus::Lost);
        let plan_due = std::mem::replace(&mut self.plan_due, false) || !changed.is_empty();
        for members in changed.chunks(MAX_MEMBERS_IN_RECORD) {
            log::info!("presence of members changed: {}", format_presence(members));
            replica.append(Record::MembersChanged(members.to_vec()))?;
        }
        if plan_due {
            reassign(replica)?;
        }
        Ok(())
    }

    fn update_follower_status(&mut self, count: usize) {
        let status = match (count, self.followers) {
            (0, FollowerStatus::NeverSeen) => FollowerStatus::NeverSeen,
            (0, _) => FollowerStatus::Lost,
            _ => FollowerStatus::Connected,
        };
        if status != self.followers && status == FollowerStatus::Lost {
            log::warn!(
                "all followers have disconnected: no member is declared absent until one reconnects"
            );
        }
        self.followers = status;
    }

    /// Counts new members as seen now, so that they have the restart grace to open their watch.
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

/// Plans the assignment for the present members, and writes it if it differs from the current one.
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
            log::error!("cannot plan an assignment; keeping the current one: {error}");
            Ok(())
        }
    }
}

fn log_assignment(change: &AssignmentChange, planning_time: Duration) {
    for warning in &change.warnings {
        log::warn!("assignment: {warning}");
    }
    log::info!(
        "assignment of epoch {}: moves {} replicas (minimum {}), planned in {} ms",
        change.epoch.0,
        change.moved_replicas,
        change.least_possible,
        planning_time.as_millis()
    );
}

fn format_presence(members: &[Member]) -> String {
    let format_member = |member: &Member| {
        let presence = if member.present { "present" } else { "absent" };
        format!("{} is {presence}", member.name)
    };
    members
        .iter()
        .map(format_member)
        .collect::<Vec<_>>()
        .join(", ")
}

//! Writes: endpoints, members, and what follows from the presence of members.

use crate::http_server::Response;
use crate::presence::Presence;
use crate::process::{ControlProcess, RoleState, RunError};
use bellsill_directory::entry::Endpoint;
use bellsill_directory::line::{EndpointEntry, Version};
use bellsill_directory::record::{LoggedRecord, MOST_ENDPOINTS_IN_RECORD, Record};
use bellsill_directory::state::ApplyError;
use bellsill_net::Nanos;
use bellsill_placement::{Member, MemberName, ZoneName};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The most members that one record holds.
const MOST_MEMBERS_IN_RECORD: usize = 100;

/// What a writer knows beside the configuration.
pub struct Writer {
    presence: Presence,
    /// The members may call for another assignment.
    plan_due: bool,
    followers: Followers,
}

/// Whether other control processes follow the writer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Followers {
    /// None has since the start.
    NeverSeen,
    Some,
    /// All that did are gone: more likely the writer is cut off from them than all of them are dead.
    Lost,
}

impl Writer {
    pub fn new(now: Nanos, restart_grace: Duration) -> Writer {
        Writer {
            presence: Presence::new(now, restart_grace.as_nanos() as Nanos),
            plan_due: true,
            followers: Followers::NeverSeen,
        }
    }
}

impl Writer {
    /// A control process follows, if only for a moment.
    pub fn followed(&mut self) {
        self.followers = Followers::Some;
    }

    fn count_followers(&mut self, count: usize) {
        let followers = match (count, self.followers) {
            (0, Followers::NeverSeen) => Followers::NeverSeen,
            (0, _) => Followers::Lost,
            _ => Followers::Some,
        };
        if followers != self.followers && followers == Followers::Lost {
            log::warn!("no control process follows any more: nobody is taken out until one does");
        }
        self.followers = followers;
    }
}

/// A member as it is declared.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberDeclaration {
    name: MemberName,
    zone: ZoneName,
    #[serde(default = "usual_weight")]
    weight: f64,
}

fn usual_weight() -> f64 {
    1.0
}

/// A dispatcher that has a watch at a follower.
#[derive(Serialize, Deserialize)]
pub struct PresenceLine {
    pub dispatcher: MemberName,
}

/// The answer to a write.
#[derive(Serialize)]
struct Written {
    version: Version,
}

/// The answer to a write that came to a follower.
#[derive(Serialize)]
struct NotTheWriter {
    error: &'static str,
    writer: SocketAddr,
}

/// Names the process that takes writes.
pub fn not_the_writer(writer: SocketAddr) -> Response {
    let body = NotTheWriter {
        error: "this control process follows another; send writes to the writer",
        writer,
    };
    Response {
        status: 421,
        ..Response::json(&body)
    }
}

/// A line of a request that is refused.
struct BadLine {
    number: usize,
    expected: String,
}

impl BadLine {
    fn into_response(self) -> Response {
        Response::error(
            400,
            &format!(
                "line {}: {}; nothing of the request is taken",
                self.number, self.expected
            ),
        )
    }
}

/// Reads a body of JSON lines; with each value comes the number of its line.
fn read_lines<T: DeserializeOwned>(body: &[u8]) -> Result<Vec<(usize, T)>, BadLine> {
    let lines = body
        .split(|byte| *byte == b'\n')
        .zip(1..)
        .filter(|(line, _)| !line.trim_ascii().is_empty());
    let read = |(line, number): (&[u8], usize)| match serde_json::from_slice(line) {
        Ok(value) => Ok((number, value)),
        Err(error) => Err(BadLine {
            number,
            expected: error.to_string(),
        }),
    };
    lines.map(read).collect()
}

impl ControlProcess {
    /// `POST /api/targets`.
    pub fn write_targets(&mut self, body: &[u8]) -> Response {
        match self.read_targets(body) {
            Ok(endpoints) => self.write_records(
                endpoints,
                MOST_ENDPOINTS_IN_RECORD,
                Record::EndpointsChanged,
            ),
            Err(bad) => bad.into_response(),
        }
    }

    /// `POST /v2/members`.
    pub fn write_members(&mut self, body: &[u8]) -> Response {
        match self.read_members(body) {
            Ok(members) => {
                self.members_declared(&members);
                self.write_records(members, MOST_MEMBERS_IN_RECORD, Record::MembersChanged)
            }
            Err(bad) => bad.into_response(),
        }
    }

    /// `POST /v2/presence`.
    pub fn take_presence(&mut self, body: &[u8]) -> Response {
        let lines: Vec<(usize, PresenceLine)> = match read_lines(body) {
            Ok(lines) => lines,
            Err(bad) => return bad.into_response(),
        };
        let now = self.now;
        let (RoleState::Writer(writer), Some(directory)) = (&mut self.role, &self.directory) else {
            return Response::error(503, "this control process has no configuration yet");
        };
        for (_, PresenceLine { dispatcher }) in lines {
            if directory.member(&dispatcher).is_some() {
                writer.presence.heard_of(&dispatcher, now);
            }
        }
        Response::json(&Written {
            version: directory.version(),
        })
    }

    /// Each second: members whose presence has changed, and the assignment that they call for.
    pub fn writer_second(&mut self) -> Result<(), RunError> {
        let (RoleState::Writer(writer), Some(directory)) = (&mut self.role, &self.directory) else {
            return Ok(());
        };
        self.watchers
            .members()
            .for_each(|member| writer.presence.heard_of(member, self.now));
        writer.count_followers(self.watchers.followers());
        // A writer that is cut off would move nearly every bucket. Who is heard of meanwhile comes in when it is not any more.
        let changed = match writer.followers {
            Followers::Lost => Vec::new(),
            _ => writer.presence.changed(directory.members(), self.now),
        };
        self.figures.seconds_without_followers += u64::from(writer.followers == Followers::Lost);
        let plan_due = std::mem::replace(&mut writer.plan_due, false) || !changed.is_empty();
        for members in changed.chunks(MOST_MEMBERS_IN_RECORD) {
            log::info!(
                "members that are present or no longer present: {}",
                described(members)
            );
            self.write_record(Record::MembersChanged(members.to_vec()))?;
        }
        if plan_due {
            self.plan()?;
        }
        Ok(())
    }

    fn read_targets(&self, body: &[u8]) -> Result<Vec<Endpoint>, BadLine> {
        let entries: Vec<(usize, EndpointEntry)> = read_lines(body)?;
        let mut numbers = Vec::with_capacity(entries.len());
        let mut endpoints = Vec::with_capacity(entries.len());
        for (number, entry) in entries {
            let endpoint = Endpoint::try_from(entry);
            endpoints.push(endpoint.map_err(|error| BadLine {
                number,
                expected: error.to_string(),
            })?);
            numbers.push(number);
        }
        if let Some(directory) = &self.directory {
            let checked = directory.check_endpoints(&endpoints);
            checked.map_err(|(place, refused)| BadLine {
                number: numbers[place],
                expected: refused.to_string(),
            })?;
        }
        Ok(endpoints)
    }

    fn read_members(&self, body: &[u8]) -> Result<Vec<Member>, BadLine> {
        let declared: Vec<(usize, MemberDeclaration)> = read_lines(body)?;
        let numbers: Vec<usize> = declared.iter().map(|(number, _)| *number).collect();
        let members: Vec<Member> = declared
            .into_iter()
            .map(|(_, declared)| self.member(declared))
            .collect();
        if let Some(directory) = &self.directory {
            let checked = directory.check_members(&members);
            checked.map_err(|(place, refused)| BadLine {
                number: numbers[place],
                expected: refused.to_string(),
            })?;
        }
        Ok(members)
    }

    /// A member as declared; one that is known stays present or absent.
    fn member(&self, declared: MemberDeclaration) -> Member {
        let known = self
            .directory
            .as_ref()
            .and_then(|directory| directory.member(&declared.name));
        Member {
            present: known.is_none_or(|known| known.present),
            name: declared.name,
            zone: declared.zone,
            weight: declared.weight,
        }
    }

    /// New members have the restart grace from now on to begin their watch.
    fn members_declared(&mut self, members: &[Member]) {
        let (RoleState::Writer(writer), Some(directory)) = (&mut self.role, &self.directory) else {
            return;
        };
        writer.plan_due = true;
        for member in members
            .iter()
            .filter(|member| directory.member(&member.name).is_none())
        {
            writer.presence.heard_of(&member.name, self.now);
        }
    }

    fn write_records<T: Clone>(
        &mut self,
        changes: Vec<T>,
        most_in_record: usize,
        record: impl Fn(Vec<T>) -> Record,
    ) -> Response {
        for some in changes.chunks(most_in_record) {
            if let Err(error) = self.write_record(record(some.to_vec())) {
                return Response::error(400, &error.to_string());
            }
        }
        self.figures.writes += 1;
        Response::json(&Written {
            version: Version(self.version()),
        })
    }

    fn write_record(&mut self, record: Record) -> Result<(), ApplyError> {
        let version = Version(self.version() + 1);
        self.apply(LoggedRecord { version, record })
    }

    fn plan(&mut self) -> Result<(), RunError> {
        let Some(directory) = &self.directory else {
            return Ok(());
        };
        let begun = std::time::Instant::now();
        match directory.plan() {
            Ok(Some(change)) => {
                change
                    .warnings
                    .iter()
                    .for_each(|warning| log::warn!("the assignment: {warning}"));
                log::info!(
                    "assignment {}: {} replicas move, no less than {} can, planned in {} ms",
                    change.epoch.0,
                    change.moved_replicas,
                    change.least_possible,
                    begun.elapsed().as_millis()
                );
                self.write_record(Record::AssignmentChanged(change))?;
            }
            Ok(None) => {}
            Err(error) => log::error!("no assignment can be planned, the old one stays: {error}"),
        }
        Ok(())
    }
}

fn described(members: &[Member]) -> String {
    let each = members.iter().map(|member| {
        format!(
            "{} {}",
            member.name,
            if member.present {
                "is present"
            } else {
                "is no longer present"
            }
        )
    });
    each.collect::<Vec<_>>().join(", ")
}

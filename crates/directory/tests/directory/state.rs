//! Tests of the configuration at one version: records, rejections, snapshots, and the requests for it.

use crate::installation::{BUCKETS_PER_REGION, ControlFixture, endpoint, layout, member, watch};
use bellsill_directory::entry::{Endpoint, InvalidEntry};
use bellsill_directory::line::{EndpointEntry, EndpointState, Version};
use bellsill_directory::record::{self, LoggedRecord, Record};
use bellsill_directory::request::TargetsRequest;
use bellsill_directory::snapshot::{SnapshotError, SnapshotReader, encoded_parts};
use bellsill_directory::state::{ApplyError, Directory, EndpointError, LogId, Retention};
use bellsill_placement::{AssignmentChange, Epoch, Layout, RegionName, ZoneName};

fn control_with_removals(retention: Retention) -> ControlFixture {
    let mut control = ControlFixture::new(retention);
    control.write_endpoints(0..40, EndpointState::Up);
    control.write_endpoints(0..8, EndpointState::Removed);
    control
}

fn restored(parts: impl Iterator<Item = Vec<u8>>) -> Result<Directory, SnapshotError> {
    let mut reader = SnapshotReader::new(layout(), Retention::default());
    for part in parts {
        reader.read_part(&part)?;
    }
    reader.finish()
}

fn all_entries(directory: &Directory) -> Vec<EndpointEntry> {
    let entries = directory.entries();
    let mut all: Vec<_> = entries
        .after(None)
        .filter_map(|index| entries.entry(index))
        .collect();
    all.sort_by(|left, right| left.id.cmp(&right.id));
    all
}

#[test]
fn encoded_records_are_decoded_unchanged() {
    let members = vec![member("north-a", "north-1")];
    let records = [
        Record::EndpointsChanged(vec![
            endpoint(1, EndpointState::Up),
            endpoint(2, EndpointState::Removed),
        ]),
        Record::MembersChanged(members),
        Record::AssignmentChanged(
            ControlFixture::new(Retention::default())
                .directory
                .assignment()
                .plan(&[])
                .expect("a plan"),
        ),
    ];
    for record in records {
        let logged = LoggedRecord {
            version: Version(9),
            record,
        };
        let bytes = record::encode(&logged);
        assert_eq!(record::decode(&bytes), Ok(logged));
        assert!(record::decode::<LoggedRecord>(&bytes[..bytes.len() - 1]).is_err());
        assert!(record::decode::<LoggedRecord>(&[&bytes[..], b"{"].concat()).is_err());
    }
}

fn rejection(control: &mut ControlFixture, version: Version, record: Record) -> ApplyError {
    control
        .directory
        .apply(&LoggedRecord { version, record })
        .expect_err("a rejection")
}

/// Checks that a record that skips a version is rejected, and so is a record with a valid and an invalid endpoint.
fn assert_endpoints_rejected(control: &mut ControlFixture, next: Version) {
    let valid = endpoint(60, EndpointState::Up);
    let later = Version(next.0 + 1);
    let expected = ApplyError::VersionOutOfOrder {
        expected: next,
        found: later,
    };
    let record = Record::EndpointsChanged(vec![valid.clone()]);
    assert_eq!(rejection(control, later, record), expected);
    let unknown_zone = Endpoint {
        zone: "west-1".into(),
        ..endpoint(61, EndpointState::Up)
    };
    let other_destination = Endpoint {
        destination: 99,
        ..endpoint(20, EndpointState::Up)
    };
    let other_region = Endpoint {
        zone: "south-1".into(),
        ..endpoint(20, EndpointState::Up)
    };
    for (invalid, error) in [
        (unknown_zone, EndpointError::UnknownZone("west-1".into())),
        (
            other_destination,
            EndpointError::Moved("endpoint-20".into()),
        ),
        (other_region, EndpointError::Moved("endpoint-20".into())),
    ] {
        let record = Record::EndpointsChanged(vec![valid.clone(), invalid]);
        let rejected = rejection(control, next, record);
        assert_eq!(rejected, ApplyError::Endpoint(error));
    }
}

/// Checks that a member in an unknown zone is rejected, and so is a change of the assignment that skips an epoch.
fn assert_members_and_assignment_rejected(control: &mut ControlFixture, next: Version) {
    let record = Record::MembersChanged(vec![member("north-z", "west-1")]);
    let error = rejection(control, next, record);
    assert!(matches!(error, ApplyError::Member(_)), "{error}");
    let change = control.directory.assignment().plan(&[]).expect("a plan");
    let skipped = AssignmentChange {
        epoch: Epoch(7),
        ..change
    };
    let error = rejection(control, next, Record::AssignmentChanged(skipped));
    assert!(matches!(error, ApplyError::Placement(_)), "{error}");
}

#[test]
fn a_rejected_record_changes_nothing() {
    let mut control = control_with_removals(Retention::default());
    let (version, before) = (control.directory.version(), all_entries(&control.directory));
    let next = Version(version.0 + 1);
    assert_endpoints_rejected(&mut control, next);
    assert_members_and_assignment_rejected(&mut control, next);
    assert_eq!(
        (control.directory.version(), all_entries(&control.directory)),
        (version, before)
    );
}

#[test]
fn invalid_entries_are_rejected() {
    let valid = endpoint(1, EndpointState::Up).into_entry(Version(0));
    let rejection = |entry: EndpointEntry| Endpoint::try_from(entry).expect_err("a rejection");
    assert_eq!(
        rejection(EndpointEntry {
            id: "two words".into(),
            ..valid.clone()
        }),
        InvalidEntry::Name("id")
    );
    assert_eq!(
        rejection(EndpointEntry {
            kind: "\"".into(),
            ..valid.clone()
        }),
        InvalidEntry::Name("kind")
    );
    assert_eq!(
        rejection(EndpointEntry {
            zone: "z".repeat(129),
            ..valid.clone()
        }),
        InvalidEntry::Name("zone")
    );
    assert_eq!(
        rejection(EndpointEntry {
            addr: None,
            ..valid.clone()
        }),
        InvalidEntry::AddressMissing
    );
    assert_eq!(
        rejection(EndpointEntry {
            weight: Some(-1.0),
            ..valid.clone()
        }),
        InvalidEntry::Weight(-1.0)
    );
    let invalid_address = EndpointEntry {
        addr: Some("nowhere".into()),
        ..valid
    };
    assert_eq!(
        rejection(invalid_address),
        InvalidEntry::Address("nowhere".into())
    );
}

#[test]
fn a_restored_snapshot_is_complete_and_applies_further_records() {
    let mut control = control_with_removals(Retention {
        changes: 100,
        removed: 5,
    });
    let mut copy = restored(encoded_parts(&control.directory)).expect("a snapshot");
    assert_eq!(
        (copy.log(), copy.version()),
        (control.directory.log(), control.directory.version())
    );
    assert_eq!(copy.forgotten(), control.directory.forgotten());
    assert_eq!(copy.assignment(), control.directory.assignment());
    assert_eq!(all_entries(&copy), all_entries(&control.directory));
    let version = control.write_endpoint(5, EndpointState::Up);
    let record = Record::EndpointsChanged(vec![endpoint(5, EndpointState::Up)]);
    copy.apply(&LoggedRecord { version, record })
        .expect("the next record");
    assert_eq!(all_entries(&copy), all_entries(&control.directory));
}

#[test]
fn damaged_snapshots_are_rejected() {
    let control = control_with_removals(Retention::default());
    let parts: Vec<Vec<u8>> = encoded_parts(&control.directory).collect();
    let restore_without = |omitted: usize| {
        let kept = parts
            .iter()
            .enumerate()
            .filter(move |(index, _)| *index != omitted);
        restored(kept.map(|(_, part)| part.clone())).err()
    };
    assert_eq!(restore_without(0), Some(SnapshotError::OutOfOrder));
    assert_eq!(restore_without(1), Some(SnapshotError::OutOfOrder));
    assert_eq!(restore_without(2), Some(SnapshotError::Incomplete));
    assert_eq!(restore_without(3), Some(SnapshotError::Incomplete));
    let truncated = parts.iter().map(|part| part[..part.len() / 2].to_vec());
    assert!(matches!(restored(truncated), Err(SnapshotError::Part(_))));
    let zones = [(ZoneName::from("north-1"), RegionName::from("north"))];
    let other_layout = Layout::new(zones, BUCKETS_PER_REGION).expect("a layout");
    let mut reader = SnapshotReader::new(other_layout, Retention::default());
    assert_eq!(
        reader.read_part(&parts[0]),
        Err(SnapshotError::LayoutMismatch)
    );
}

#[test]
fn a_purged_endpoint_can_be_declared_again() {
    let mut control = control_with_removals(Retention {
        changes: 100,
        removed: 5,
    });
    assert_eq!(control.directory.entries().len(), 37);
    assert_eq!(control.directory.entries().find("endpoint-0"), None);
    control.write_endpoint(0, EndpointState::Up);
    assert_eq!(control.directory.look_up(&[0]).len(), 1);
    assert!(
        control.directory.look_up(&[7]).is_empty(),
        "a lookup omits removed endpoints"
    );
    // An endpoint that is up again is not purged once its removal is the oldest.
    control.write_endpoint(7, EndpointState::Up);
    control.write_endpoints(10..20, EndpointState::Removed);
    assert_eq!(control.directory.look_up(&[7]).len(), 1);
}

#[test]
fn valid_requests_are_parsed_and_rejections_name_the_invalid_field() {
    for (query, field) in [
        ("follow=1&since=x&dispatcher=a", "since"),
        ("follow=1&since=1", "dispatcher"),
        ("cells=1", "dispatcher"),
        ("follow=1&dispatcher=a&buckets=1,b", "buckets"),
        ("dispatcher=a&cells=-1", "cells"),
        ("dispatcher=a&forget=1.5", "forget"),
        ("follow=1&scope=some", "scope"),
    ] {
        assert_eq!(TargetsRequest::parse(query).expect_err(query).field, field);
    }
    let log = watch("follow=1&since=5&log=ab&dispatcher=a&later=x").log;
    assert_eq!(log, Some(LogId("ab".into())));
}

//! The configuration at one version: records, rejections, and snapshots.

use crate::installation::{BUCKETS_PER_REGION, Control, endpoint, layout, member, watch};
use bellsill_directory::entry::{Endpoint, InvalidEntry};
use bellsill_directory::line::{EndpointEntry, EndpointState, Version};
use bellsill_directory::record::{self, LoggedRecord, Record};
use bellsill_directory::request::TargetsRequest;
use bellsill_directory::snapshot::{SnapshotError, SnapshotReader, encoded_parts};
use bellsill_directory::state::{ApplyError, Directory, EndpointError, LogId, Retention};
use bellsill_placement::{AssignmentChange, Epoch, Layout, RegionName, ZoneName};

fn filled(keeping: Retention) -> Control {
    let mut control = Control::new(keeping);
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
fn records_are_read_as_they_were_written() {
    let members = vec![member("north-a", "north-1")];
    let records = [
        Record::EndpointsChanged(vec![
            endpoint(1, EndpointState::Up),
            endpoint(2, EndpointState::Removed),
        ]),
        Record::MembersChanged(members),
        Record::AssignmentChanged(
            Control::new(Retention::default())
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

fn rejection(control: &mut Control, version: Version, record: Record) -> ApplyError {
    control
        .directory
        .apply(&LoggedRecord { version, record })
        .expect_err("a rejection")
}

/// A version too late is rejected, and a record with one endpoint that is valid and one that is not.
fn rejects_endpoints(control: &mut Control, next: Version) {
    let fine = endpoint(60, EndpointState::Up);
    let later = Version(next.0 + 1);
    let expected = ApplyError::VersionOutOfOrder {
        expected: next,
        found: later,
    };
    let record = Record::EndpointsChanged(vec![fine.clone()]);
    assert_eq!(rejection(control, later, record), expected);
    let elsewhere = Endpoint {
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
        (elsewhere, EndpointError::UnknownZone("west-1".into())),
        (
            other_destination,
            EndpointError::Moved("endpoint-20".into()),
        ),
        (other_region, EndpointError::Moved("endpoint-20".into())),
    ] {
        let record = Record::EndpointsChanged(vec![fine.clone(), invalid]);
        let rejected = rejection(control, next, record);
        assert_eq!(rejected, ApplyError::Endpoint(error));
    }
}

/// A member in an unknown zone is rejected, and a change of the assignment that skips an epoch.
fn rejects_members_and_changes(control: &mut Control, next: Version) {
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
    let mut control = filled(Retention::default());
    let (version, before) = (control.directory.version(), all_entries(&control.directory));
    let next = Version(version.0 + 1);
    rejects_endpoints(&mut control, next);
    rejects_members_and_changes(&mut control, next);
    assert_eq!(
        (control.directory.version(), all_entries(&control.directory)),
        (version, before)
    );
}

#[test]
fn invalid_entries_are_rejected() {
    let good = endpoint(1, EndpointState::Up).into_entry(Version(0));
    let rejection = |entry: EndpointEntry| Endpoint::try_from(entry).expect_err("a rejection");
    assert_eq!(
        rejection(EndpointEntry {
            id: "two words".into(),
            ..good.clone()
        }),
        InvalidEntry::Name("id")
    );
    assert_eq!(
        rejection(EndpointEntry {
            kind: "\"".into(),
            ..good.clone()
        }),
        InvalidEntry::Name("kind")
    );
    assert_eq!(
        rejection(EndpointEntry {
            zone: "z".repeat(129),
            ..good.clone()
        }),
        InvalidEntry::Name("zone")
    );
    assert_eq!(
        rejection(EndpointEntry {
            addr: None,
            ..good.clone()
        }),
        InvalidEntry::AddressMissing
    );
    assert_eq!(
        rejection(EndpointEntry {
            weight: Some(-1.0),
            ..good.clone()
        }),
        InvalidEntry::Weight(-1.0)
    );
    let bad_address = EndpointEntry {
        addr: Some("nowhere".into()),
        ..good
    };
    assert_eq!(
        rejection(bad_address),
        InvalidEntry::Address("nowhere".into())
    );
}

#[test]
fn a_snapshot_restores_everything_and_takes_further_records() {
    let mut control = filled(Retention {
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
    let control = filled(Retention::default());
    let parts: Vec<Vec<u8>> = encoded_parts(&control.directory).collect();
    let without = |place: usize| {
        let kept = parts
            .iter()
            .enumerate()
            .filter(move |(index, _)| *index != place);
        restored(kept.map(|(_, part)| part.clone())).err()
    };
    assert_eq!(without(0), Some(SnapshotError::OutOfOrder));
    assert_eq!(without(1), Some(SnapshotError::OutOfOrder));
    assert_eq!(without(2), Some(SnapshotError::Incomplete));
    assert_eq!(without(3), Some(SnapshotError::Incomplete));
    let half = parts.iter().map(|part| part[..part.len() / 2].to_vec());
    assert!(matches!(restored(half), Err(SnapshotError::Part(_))));
    let zones = [(ZoneName::from("north-1"), RegionName::from("north"))];
    let other = Layout::new(zones, BUCKETS_PER_REGION).expect("a layout");
    let mut reader = SnapshotReader::new(other, Retention::default());
    assert_eq!(
        reader.read_part(&parts[0]),
        Err(SnapshotError::LayoutMismatch)
    );
}

#[test]
fn a_removed_endpoint_is_forgotten_and_may_be_declared_again() {
    let mut control = filled(Retention {
        changes: 100,
        removed: 5,
    });
    assert_eq!(control.directory.entries().len(), 37);
    assert_eq!(control.directory.entries().find("endpoint-0"), None);
    control.write_endpoint(0, EndpointState::Up);
    assert_eq!(control.directory.look_up(&[0]).len(), 1);
    assert!(
        control.directory.look_up(&[7]).is_empty(),
        "removed endpoints are in no lookup"
    );
    // An endpoint that is up again is not forgotten when its removal is the oldest.
    control.write_endpoint(7, EndpointState::Up);
    control.write_endpoints(10..20, EndpointState::Removed);
    assert_eq!(control.directory.look_up(&[7]).len(), 1);
}

#[test]
fn requests_are_parsed_or_rejected_by_field() {
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

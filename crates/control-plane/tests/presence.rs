//! Which members the leader counts as present.

use bellsill_control_plane::presence::Presence;
use bellsill_placement::Member;

const SECOND: u64 = 1_000_000_000;
const GRACE_SECONDS: u64 = 30;

fn member(name: &str, present: bool) -> Member {
    Member {
        name: name.into(),
        zone: "north-1".into(),
        weight: 1.0,
        present,
    }
}

/// The changes at one check for each of these seconds.
fn changes_by_second(
    presence: &mut Presence,
    members: &[Member],
    seconds: std::ops::RangeInclusive<u64>,
) -> Vec<(u64, Member)> {
    let checks = seconds.map(|second| (second, presence.changed_members(members, second * SECOND)));
    checks
        .flat_map(|(second, members)| members.into_iter().map(move |member| (second, member)))
        .collect()
}

#[test]
fn an_unseen_member_is_absent_after_the_grace_and_present_once_seen() {
    let mut presence = Presence::new(0, GRACE_SECONDS * SECOND);
    let members = [member("seen", true), member("unseen", true)];
    presence.record_seen(&"seen".into(), 5 * SECOND);
    assert_eq!(changes_by_second(&mut presence, &members, 1..=30), []);
    assert_eq!(
        changes_by_second(&mut presence, &members, 31..=31),
        [(31, member("unseen", false))]
    );
    assert_eq!(
        changes_by_second(&mut presence, &members[..1], 32..=36),
        [(36, member("seen", false))]
    );
    let absent = [member("seen", false), member("unseen", false)];
    assert_eq!(changes_by_second(&mut presence, &absent, 37..=40), []);
    presence.record_seen(&"unseen".into(), 41 * SECOND);
    assert_eq!(
        changes_by_second(&mut presence, &absent, 41..=41),
        [(41, member("unseen", true))]
    );
}

#[test]
fn a_suspension_of_the_leader_does_not_count_as_absence() {
    let mut presence = Presence::new(0, GRACE_SECONDS * SECOND);
    let members = [member("seen", true), member("unseen", true)];
    presence.record_seen(&"seen".into(), 10 * SECOND);
    assert_eq!(changes_by_second(&mut presence, &members, 1..=10), []);
    assert_eq!(changes_by_second(&mut presence, &members, 500..=519), []);
    assert_eq!(
        changes_by_second(&mut presence, &members, 520..=521),
        [(521, member("unseen", false))]
    );
}

//! Which members count as present.

use bellsill_control_plane::presence::Presence;
use bellsill_placement::Member;

const SECOND: u64 = 1_000_000_000;
const GRACE: u64 = 30;

fn member(name: &str, present: bool) -> Member {
    Member {
        name: name.into(),
        zone: "north-1".into(),
        weight: 1.0,
        present,
    }
}

fn changed(
    presence: &mut Presence,
    members: &[Member],
    seconds: std::ops::RangeInclusive<u64>,
) -> Vec<(u64, Member)> {
    let each = seconds.map(|second| (second, presence.changed(members, second * SECOND)));
    each.flat_map(|(second, members)| members.into_iter().map(move |member| (second, member)))
        .collect()
}

#[test]
fn an_unseen_member_is_absent_after_the_grace_and_present_once_seen() {
    let mut presence = Presence::new(0, GRACE * SECOND);
    let members = [member("heard", true), member("never", true)];
    presence.record_seen(&"heard".into(), 5 * SECOND);
    assert_eq!(changed(&mut presence, &members, 1..=30), []);
    assert_eq!(
        changed(&mut presence, &members, 31..=31),
        [(31, member("never", false))]
    );
    assert_eq!(
        changed(&mut presence, &members[..1], 32..=36),
        [(36, member("heard", false))]
    );
    let out = [member("heard", false), member("never", false)];
    assert_eq!(changed(&mut presence, &out, 37..=40), []);
    presence.record_seen(&"never".into(), 41 * SECOND);
    assert_eq!(
        changed(&mut presence, &out, 41..=41),
        [(41, member("never", true))]
    );
}

#[test]
fn a_suspension_of_the_leader_counts_as_nobodys_absence() {
    let mut presence = Presence::new(0, GRACE * SECOND);
    let members = [member("heard", true), member("never", true)];
    presence.record_seen(&"heard".into(), 10 * SECOND);
    assert_eq!(changed(&mut presence, &members, 1..=10), []);
    assert_eq!(changed(&mut presence, &members, 500..=519), []);
    assert_eq!(
        changed(&mut presence, &members, 520..=521),
        [(521, member("never", false))]
    );
}

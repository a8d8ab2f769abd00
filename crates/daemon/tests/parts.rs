//! The parts of the daemon, each against a plain model: random input in random pieces.

use bellsill_core::interface::{MessageId, Nanos};
use bellsill_daemon::backoff::{Backoff, FIRST_LINE_WITHIN, SILENT_FOR, UP_WITHIN};
use bellsill_daemon::client::resp;
use bellsill_daemon::discovery::KEPT_FOR;
use bellsill_daemon::endpoint::Endpoints;
use bellsill_daemon::endpoint_list::ListedEndpoint;
use bellsill_daemon::http::{self, Body};
use bellsill_daemon::journal::{
    JournaledAttempt, JournaledMessage, MessageJournal, NoRoom, Recovered, Resolution,
};
use bellsill_daemon::ring_buffer::RingBuffer;
use bellsill_daemon::slot_table::{SlotId, SlotTable};
use bellsill_daemon::timer_queue::TimerQueue;
use quickcheck::{Gen, QuickCheck, Testable};
use std::io::Write;
use std::path::PathBuf;

fn check(tests: u64, property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 20_261_201))
        .tests(tests)
        .quickcheck(property);
}

/// A folder that is gone when the test is over.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
    fn size(&self) -> u64 {
        let files = std::fs::read_dir(&self.0).unwrap().flatten();
        files
            .map(|f| f.metadata().unwrap().len().div_ceil(512) * 512)
            .sum()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_ring_keeps_order_and_bound() {
    fn property(steps: Vec<(bool, Vec<u8>)>) -> bool {
        let (mut ring, mut model) = (RingBuffer::new(300), Vec::<u8>::new());
        steps.into_iter().all(|(push, bytes)| {
            if push {
                let fits = model.len() + bytes.len() <= 300;
                assert_eq!(ring.push(&bytes), fits);
                model.extend(bytes.iter().filter(|_| fits));
            } else {
                ring.consume(bytes.len());
                model.drain(..bytes.len().min(model.len()));
            }
            ring.contiguous() == model && ring.available() == 300 - model.len()
        })
    }
    check(200, property as fn(Vec<(bool, Vec<u8>)>) -> bool);
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Id(u64);

impl SlotId for Id {
    fn from_raw(raw: u64) -> Self {
        Id(raw)
    }
    fn raw(self) -> u64 {
        self.0
    }
}

#[test]
fn a_number_of_a_slot_given_back_hits_nothing() {
    fn property(steps: Vec<(bool, usize)>) -> bool {
        let (mut slots, mut open, mut stale) =
            (SlotTable::<Id, usize>::default(), Vec::new(), Vec::new());
        steps.into_iter().all(|(add, n)| {
            if add || open.is_empty() {
                open.push((slots.insert(|_| n), n));
            } else {
                let (id, n) = open.swap_remove(n % open.len());
                assert_eq!(slots.remove(id), Some(n));
                stale.push(id);
            }
            open.iter().all(|(id, n)| slots.get(*id) == Some(n))
                && stale.iter().all(|id| slots.get(*id).is_none())
                && slots.len() == open.len()
        })
    }
    check(200, property as fn(Vec<(bool, usize)>) -> bool);
}

#[test]
fn deadlines_come_in_order_each_once_at_the_time_set_last() {
    fn property(sets: Vec<(u8, u16)>) -> bool {
        let (mut deadlines, mut model) = (TimerQueue::default(), std::collections::BTreeMap::new());
        for &(what, at) in &sets {
            deadlines.set(what, Nanos::from(at));
            model.insert(what, Nanos::from(at));
            if at % 7 == 0 {
                deadlines.clear(what);
                model.remove(&what);
            }
        }
        let mut expected: Vec<(Nanos, u8)> =
            model.into_iter().map(|(what, at)| (at, what)).collect();
        expected.sort();
        expected.into_iter().all(|(at, what)| {
            deadlines.next_deadline() == Some(at)
                && (at == 0 || deadlines.pop_expired(at - 1).is_none())
                && deadlines.pop_expired(at) == Some(what)
        }) && deadlines.next_deadline().is_none()
    }
    check(200, property as fn(Vec<(u8, u16)>) -> bool);
}

#[test]
fn commands_read_the_same_however_they_are_split() {
    fn property(words: Vec<Vec<u8>>, cut: usize, behind: Vec<u8>) -> bool {
        let words = &words[..words.len().min(64)];
        let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
        for word in words {
            bytes.extend(
                format!("${}\r\n", word.len())
                    .bytes()
                    .chain(word.iter().copied())
                    .chain(*b"\r\n"),
            );
        }
        let whole = bytes.len();
        assert_eq!(resp::command(&bytes[..cut % whole]), Ok(None));
        bytes.extend(behind);
        let (ranges, taken) = resp::command(&bytes).unwrap().unwrap();
        taken == whole
            && ranges
                .iter()
                .map(|r| &bytes[r.clone()])
                .eq(words.iter().map(Vec::as_slice))
    }
    check(200, property as fn(Vec<Vec<u8>>, usize, Vec<u8>) -> bool);
}

#[test]
fn no_bytes_at_all_upset_the_readers() {
    fn property(bytes: Vec<u8>, mut like: Vec<u8>) -> bool {
        // Alike but for a few bytes, so that the readers get past the beginning.
        for (i, pattern) in b"*2\r\n$3\r\nabc\r\n$1\r\n"
            .iter()
            .cycle()
            .take(like.len())
            .enumerate()
        {
            if !like[i].is_multiple_of(8) {
                like[i] = *pattern;
            }
        }
        for bytes in [&bytes, &like] {
            let _ = resp::command(bytes);
            let mut ring = RingBuffer::new(64 * 1024);
            ring.push(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n");
            ring.push(bytes);
            if let Ok(Some(mut head)) = http::take_head(&mut ring) {
                let _ = head.body.take(&mut ring, |_| {});
            }
            let mut ring = RingBuffer::new(64 * 1024);
            ring.push(bytes);
            let _ = Body::Chunked(0).take(&mut ring, |_| {});
        }
        true
    }
    check(500, property as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn bodies_read_the_same_however_they_are_cut_and_split() {
    fn property(parts: Vec<Vec<u8>>, pieces: Vec<u8>, chunked: bool) -> bool {
        let content: Vec<u8> = parts.concat();
        let mut wire = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n".to_vec();
        if chunked {
            wire.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            for part in parts.iter().filter(|p| !p.is_empty()) {
                wire.extend(
                    format!("{:x};x=y\r\n", part.len())
                        .bytes()
                        .chain(part.iter().copied())
                        .chain(*b"\r\n"),
                );
            }
            wire.extend(b"0\r\nTrailer: t\r\n\r\n");
        } else {
            wire.extend(format!("Content-Length: {}\r\n\r\n", content.len()).bytes());
            wire.extend(&content);
        }
        wire.extend(b"NEXT");
        let (mut ring, mut head, mut read) = (RingBuffer::new(1 << 20), None, Vec::<u8>::new());
        let mut sizes = pieces.iter().cycle();
        let mut rest = wire.as_slice();
        while !rest.is_empty() {
            let n = sizes
                .next()
                .map_or(1, |n| usize::from(*n) + 1)
                .min(rest.len());
            ring.push(&rest[..n]);
            rest = &rest[n..];
            if head.is_none() {
                head = http::take_head(&mut ring).unwrap();
            }
            if let Some(head) = &mut head {
                head.body
                    .take(&mut ring, |bytes| read.extend(bytes))
                    .unwrap();
            }
        }
        let head = head.unwrap();
        head.body == Body::Done
            && !head.closes_connection
            && read == content
            && ring.contiguous() == b"NEXT"
    }
    check(200, property as fn(Vec<Vec<u8>>, Vec<u8>, bool) -> bool);
}

#[test]
fn a_retry_after_is_read_with_its_decimals() {
    let mut ring = RingBuffer::new(1000);
    ring.push(
        b"HTTP/1.1 429 Busy\r\nretry-after: 0.25\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    );
    let head = http::take_head(&mut ring).unwrap().unwrap();
    assert_eq!(
        (
            head.status,
            head.retry_after,
            head.closes_connection,
            head.no_capacity
        ),
        (429, Some(250_000_000), true, false)
    );
}

#[test]
fn a_load_report_tells_a_limit_or_is_known_for_bad() {
    let report = |text: &str| {
        let mut ring = RingBuffer::new(1000);
        ring.push(format!("HTTP/1.1 503 Busy\r\n{text}Content-Length: 0\r\n\r\n").as_bytes());
        http::take_head(&mut ring).unwrap().unwrap().load_report
    };
    let named = |value: &str| report(&format!("endpoint-load-metrics: {value}\r\n"));
    assert_eq!(report(""), None);
    assert_eq!(
        (named("x0=0.4,x1=25"), named("x1=0")),
        (Some(Ok(25.0)), Some(Ok(0.0)))
    );
    for bad in [
        "", "x0=0.4", "x1=", "x1=-1", "x1=NaN", "x1=inf", "x1=2e9", "x11=3", "x1:25",
    ] {
        assert_eq!(named(bad), Some(Err(http::InvalidLoadReport)), "{bad}");
    }
}

/// Does one step on the journal and on what it should hold.
fn step(
    journal: &mut MessageJournal,
    model: &mut Recovered,
    (what, whom, size): (u8, u8, u16),
) -> Result<(), NoRoom> {
    let id = MessageId(u64::from(whom % 16));
    let place = model.messages.iter().position(|m| m.id == id);
    match (what % 6, place) {
        (0 | 1, None) if !model.pending_notifications.iter().any(|o| o.0 == id) => {
            let message = JournaledMessage {
                id,
                class: "notice".into(),
                key: u64::from(what),
                destination: u64::from(size),
                deadline: Nanos::from(size) * 1_000,
                idempotency_key: format!("t{whom}"),
                body: vec![what; usize::from(size % 4096)],
                attempts: vec![],
            };
            journal.append_accepted(&message)?;
            model.messages.push(message);
        }
        (2, Some(place)) => {
            journal.append_attempt(id, Nanos::from(size), "north")?;
            let attempt = JournaledAttempt {
                sent_at: Nanos::from(size),
                zone: "north".into(),
                may_have_run: None,
            };
            model.messages[place].attempts.push(attempt);
        }
        (3, Some(place)) if !model.messages[place].attempts.is_empty() => {
            journal
                .append_outcome(id, size % 2 == 0)
                .map_err(|_| NoRoom)?;
            model.messages[place]
                .attempts
                .last_mut()
                .unwrap()
                .may_have_run = Some(size % 2 == 0);
        }
        (4, Some(place)) => {
            let ending = [
                None,
                Some(Resolution::Failed),
                Some(Resolution::Rejected {
                    retry_after: Nanos::from(size),
                }),
            ][size as usize % 3];
            journal.append_resolved(id, ending).map_err(|_| NoRoom)?;
            model.messages.remove(place);
            model.pending_notifications.extend(ending.map(|e| (id, e)));
        }
        (5, _) if model.pending_notifications.iter().any(|o| o.0 == id) => {
            journal.append_notified(id).map_err(|_| NoRoom)?;
            model.pending_notifications.retain(|o| o.0 != id);
        }
        _ => {}
    }
    Ok(())
}

#[test]
fn a_journal_opened_again_holds_what_was_done_and_keeps_its_room() {
    fn property(steps: Vec<(u8, u8, u16)>, torn: Vec<u8>) -> bool {
        const ROOM: u64 = 60_000;
        let folder = Folder::new("journal");
        let (mut journal, kept) = MessageJournal::open(&folder.0, ROOM).unwrap();
        let mut model = kept;
        // Many times over, so that the file is written anew again and again.
        for (i, one) in steps.iter().cycle().take(steps.len() * 10).enumerate() {
            // A journal that is full refuses messages and stays as it was; it must not refuse what ends them.
            let refused = step(&mut journal, &mut model, *one).is_err();
            assert!(!refused || one.0 % 6 < 3, "step {one:?} refused");
            assert!(folder.size() <= ROOM, "{} bytes of {ROOM}", folder.size());
            if i % 50 == 49 {
                drop(journal);
                let path = folder.0.join("mails");
                std::fs::OpenOptions::new()
                    .append(true)
                    .open(path)
                    .unwrap()
                    .write_all(&torn)
                    .unwrap();
                let (opened, mut kept) = MessageJournal::open(&folder.0, ROOM).unwrap();
                kept.pending_notifications.sort_by_key(|o| o.0);
                model.pending_notifications.sort_by_key(|o| o.0);
                assert_eq!(kept, model);
                journal = opened;
            }
        }
        true
    }
    check(20, property as fn(Vec<(u8, u8, u16)>, Vec<u8>) -> bool);
}

#[test]
fn a_journal_left_half_written_anew_is_the_old_one() {
    let folder = Folder::new("anew");
    let (mut journal, mut model) = MessageJournal::open(&folder.0, 60_000).unwrap();
    step(&mut journal, &mut model, (0, 1, 100)).unwrap();
    drop(journal);
    std::fs::write(folder.0.join("mails.next"), b"half").unwrap();
    let (_, kept) = MessageJournal::open(&folder.0, 60_000).unwrap();
    assert!(kept == model && !folder.0.join("mails.next").exists());
}

#[test]
fn a_journal_beside_one_that_is_held_takes_its_messages_once_it_is_free() {
    let folder = Folder::new("adopt");
    let (mut old, mut model) = MessageJournal::open(&folder.0, 60_000).unwrap();
    for one in [
        (0, 1, 100),
        (0, 2, 50),
        (2, 1, 7),
        (3, 1, 1),
        (0, 3, 9),
        (4, 3, 1),
    ] {
        step(&mut old, &mut model, one).unwrap();
    }
    let (mut new, kept) = MessageJournal::open(&folder.0, 60_000).unwrap();
    assert_eq!(kept, Recovered::default());
    // While the old one is held, nothing of it is taken.
    let (adopted, held) = new.adopt();
    assert!(held && adopted == Recovered::default());
    drop(old);
    let (adopted, held) = new.adopt();
    assert!(!held && adopted == model && !folder.0.join("mails").exists());
    // What was taken over is the new one's own from now on: opened again, it is there once.
    drop(new);
    let (mut again, kept) = MessageJournal::open(&folder.0, 60_000).unwrap();
    let (adopted, held) = again.adopt();
    assert!(!held && kept == Recovered::default() && adopted == model);
}

/// Half taken over, the rest of it would have been forgotten, and messages ended since taken for new.
#[test]
fn a_journal_that_finds_no_room_is_taken_over_whole_later() {
    let folder = Folder::new("adopt-later");
    let (mut old, mut model) = MessageJournal::open(&folder.0, 60_000).unwrap();
    for n in 0..5 {
        step(&mut old, &mut model, (0, n, 4_000)).unwrap();
    }
    let (mut new, _) = MessageJournal::open(&folder.0, 60_000).unwrap();
    let mut own = Recovered::default();
    for n in 8..13 {
        step(&mut new, &mut own, (0, n, 4_000)).unwrap();
    }
    drop(old);
    assert_eq!(new.adopt(), (Recovered::default(), true));
    for n in 8..13 {
        step(&mut new, &mut own, (4, n, 0)).unwrap();
    }
    assert_eq!(new.adopt(), (model, false));
}

/// A message as a test takes it, due in the far future of the dispatcher's clock.
fn message(id: u64) -> JournaledMessage {
    JournaledMessage {
        id: MessageId(id),
        class: "payment".into(),
        key: 0,
        destination: 7,
        deadline: bellsill_daemon::clock::now() + 1_000_000_000_000,
        idempotency_key: String::new(),
        body: vec![b'x'; 300],
        attempts: vec![],
    }
}

/// A record as every version of the journal frames it.
fn framed(payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_le_bytes();
    let checksum = crc32fast::hash(payload).to_le_bytes();
    [&length[..], &checksum[..], payload].concat()
}

/// Damage in the middle of a file is no end: what stands behind it is read, and the file is whole afterwards.
#[test]
fn what_stands_behind_a_tear_in_the_middle_of_a_journal_is_read() {
    let folder = Folder::new("tear");
    let path = folder.0.join("mails");
    let (mut journal, _) = MessageJournal::open(&folder.0, 60_000).unwrap();
    (1..=3).for_each(|id| journal.append_accepted(&message(id)).unwrap());
    drop(journal);
    let mut bytes = std::fs::read(&path).unwrap();
    let record = (bytes.len() - 80) / 3;
    let second = bytes.len() - 2 * record + 40;
    bytes[second..second + 20].fill(0xee);
    std::fs::write(&path, &bytes).unwrap();
    for _ in 0..2 {
        let (_, kept) = MessageJournal::open(&folder.0, 60_000).unwrap();
        let ids: Vec<u64> = kept.messages.iter().map(|message| message.id.0).collect();
        assert_eq!(ids, [1, 3], "all but the damaged one");
    }
}

/// A journal of a program that kept its times on the wall clock is still read.
#[test]
fn an_older_journal_s_times_are_put_on_the_dispatcher_s_clock() {
    let folder = Folder::new("older");
    let due = bellsill_daemon::clock::wall_now() + 60_000_000_000;
    let text = |bytes: &[u8]| [&(bytes.len() as u32).to_le_bytes()[..], bytes].concat();
    let numbers = |numbers: &[u64]| {
        numbers
            .iter()
            .flat_map(|n| n.to_le_bytes())
            .collect::<Vec<u8>>()
    };
    let fields = [
        vec![b'M'],
        numbers(&[9, 5, 7, due]),
        text(b"notice"),
        text(b"t"),
        text(b"body"),
    ]
    .concat();
    std::fs::write(folder.0.join("mails"), framed(&fields)).unwrap();
    for _ in 0..2 {
        let (_, kept) = MessageJournal::open(&folder.0, 60_000).unwrap();
        let left = kept.messages[0]
            .deadline
            .saturating_sub(bellsill_daemon::clock::now());
        assert!(
            (50_000_000_000..=60_000_000_000).contains(&left),
            "{left} ns left"
        );
        assert_eq!((kept.messages[0].id.0, kept.messages[0].key), (9, 5));
    }
}

/// An entry of the list.
fn listed(name: &str, destination: u64) -> ListedEndpoint {
    ListedEndpoint {
        name: name.to_string(),
        addr: None,
        zone: "a".into(),
        kind: "shops".into(),
        destination,
        serving: true,
        weight: None,
        rate: None,
    }
}

#[test]
fn an_endpoint_s_row_is_the_next_one_s_once_it_is_forgotten() {
    let mut endpoints = Endpoints::default();
    let addr = "127.0.0.1:1".parse().unwrap();
    let stays = endpoints.register(&listed("stays", 1), addr);
    for n in 0..1000 {
        let id = endpoints.register(&listed(&format!("e{n}"), 2), addr);
        assert_eq!(endpoints.register(&listed(&format!("e{n}"), 2), addr), id);
        assert!(id != stays && endpoints.ids().count() <= 2 && endpoints.has_destination(2));
        endpoints.remove(id);
        assert!(
            endpoints.find(&format!("e{n}")).is_none()
                && !endpoints.has_destination(2)
                && endpoints.has_destination(1)
        );
    }
}

const S: Nanos = 1_000_000_000;

/// The operators' term: whatever may rest after failed calls, a change counts as told 6 s after discovery had it and could be
/// reached. It rested for up to 18 s.
#[test]
fn whatever_failed_the_next_call_s_first_line_is_due_before_news_count_as_told() {
    for dispatchers in [1, 3, 30, 100, 300, u32::MAX] {
        for seed in 0..200 {
            let mut rests = Backoff::new(seed, dispatchers);
            assert!((0..40).all(|_| rests.rest(0) + UP_WITHIN + FIRST_LINE_WITHIN < 6 * S));
            for spent in [
                0,
                FIRST_LINE_WITHIN,
                UP_WITHIN + FIRST_LINE_WITHIN,
                SILENT_FOR,
                20 * S,
            ] {
                rests.served();
                let most = 6 * S - (UP_WITHIN + FIRST_LINE_WITHIN + spent).min(6 * S - 2);
                assert!((0..40).all(|_| rests.rest(spent) < most));
            }
            // Messages go by a list that may be old until then.
            assert!(
                rests.first_rest(0) == 0
                    && rests.first_rest(S / 4) <= S / 8
                    && rests.first_rest(60 * S) <= S
            );
        }
    }
}

/// Found on herd+vast: 70 of 100 dispatchers, killed together, asked each 250 ms; for 19 s nobody was served. Discovery
/// answers in turn, a call from each dispatcher in 8 s; one that is given up is served all the same. A call whose turn may
/// still come is kept while others are made: with rests that keep to 6 s, nobody was served else.
#[test]
fn a_fleet_that_starts_together_is_served_in_turn() {
    for dispatchers in [3, 30, 100, 300, 1000] {
        let mut rests: Vec<Backoff> = (0..dispatchers as u64)
            .map(|n| Backoff::new(n, dispatchers as u32))
            .collect();
        let mut due: std::collections::BTreeSet<(Nanos, usize)> =
            (0..dispatchers).map(|n| (0, n)).collect();
        // When the first of its calls that are kept is answered.
        let mut told: Vec<Option<Nanos>> = vec![None; dispatchers];
        let (mut free_at, mut calls) = (0, 0);
        while let Some((at, n)) = due.pop_first() {
            if told[n].is_some_and(|t| t <= at) {
                continue;
            }
            (free_at, calls) = (at.max(free_at) + 8 * S / dispatchers as u64, calls + 1);
            if free_at <= at + KEPT_FOR {
                told[n] = Some(told[n].map_or(free_at, |t| t.min(free_at)));
            }
            if free_at > at + FIRST_LINE_WITHIN {
                due.insert((at + FIRST_LINE_WITHIN + rests[n].rest(FIRST_LINE_WITHIN), n));
            }
            assert!(
                calls < 50 * dispatchers,
                "{dispatchers} dispatchers ask on and on"
            );
        }
        let last = told.iter().map(|t| t.expect("each is told")).max().unwrap();
        assert!(
            calls <= dispatchers * 4,
            "{calls} calls of {dispatchers} dispatchers"
        );
        assert!(
            last < 9 * S,
            "{dispatchers} dispatchers: the last was served after {} s",
            last / S
        );
    }
}

//! Reopening a log that is intact, has a torn tail, damage, unfinished snapshots, too long records or missing files.

use bellsill_config_log::{
    ConfigLog, Damage, LogError, MAX_RECORD_BYTES, NewRecord, OpenedLog, Record, Recovered,
    RejectReason, RejectedSnapshot,
};
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// The length of a segment header in bytes.
const SEGMENT_HEADER_BYTES: usize = 24;
/// The length of a record header in bytes.
const RECORD_HEADER_BYTES: usize = 28;

fn payload(index: u64) -> Vec<u8> {
    format!("record {index}").into_bytes()
}

fn new_record(index: u64, payload: &[u8]) -> NewRecord<'_> {
    NewRecord { index, payload }
}

fn state_at(index: u64) -> Vec<Vec<u8>> {
    (1..=index).map(payload).collect()
}

fn open(directory: &TempDir) -> OpenedLog {
    ConfigLog::open(directory.path()).unwrap()
}

fn open_error(directory: &TempDir) -> LogError {
    ConfigLog::open(directory.path())
        .err()
        .expect("opening the log fails")
}

/// Appends records up to an index, with a sync after each.
fn append_to(log: &mut ConfigLog, last: u64) {
    for index in log.last_index() + 1..=last {
        log.append(index, &payload(index)).unwrap();
        log.sync().unwrap();
    }
}

fn append_and_snapshot(log: &mut ConfigLog, index: u64) {
    append_to(log, index);
    log.write_snapshot(index, state_at(index).into_iter())
        .unwrap();
}

/// Asserts that the snapshot and the records after it together contain all records up to `last`.
fn assert_recovered(recovered: &Recovered, snapshot: Option<u64>, last: u64) {
    assert_eq!(
        recovered.snapshot.as_ref().map(|snapshot| snapshot.index),
        snapshot
    );
    let mut found = recovered
        .snapshot
        .clone()
        .map_or_else(Vec::new, |snapshot| snapshot.records);
    let first = found.len() as u64 + 1;
    let indices: Vec<u64> = recovered
        .records
        .iter()
        .map(|record| record.index)
        .collect();
    assert_eq!(indices, (first..=last).collect::<Vec<u64>>());
    found.extend(
        recovered
            .records
            .iter()
            .map(|record| record.payload.clone()),
    );
    assert_eq!(found, state_at(last));
}

fn files_with_prefix(directory: &TempDir, prefix: &str) -> Vec<PathBuf> {
    let paths = fs::read_dir(directory.path())
        .unwrap()
        .map(|entry| entry.unwrap().path());
    let mut found: Vec<PathBuf> = paths
        .filter(|path| {
            path.file_name()
                .unwrap()
                .to_str()
                .unwrap()
                .starts_with(prefix)
        })
        .collect();
    found.sort();
    found
}

fn file_path(directory: &TempDir, kind: &str, index: u64) -> PathBuf {
    directory.path().join(format!("{kind}.{index:020}"))
}

fn flip_bit(path: &Path, byte: usize) {
    let mut bytes = fs::read(path).unwrap();
    bytes[byte] ^= 0x10;
    fs::write(path, bytes).unwrap();
}

fn truncate(path: &Path, length: usize) {
    let bytes = fs::read(path).unwrap();
    fs::write(path, &bytes[..length]).unwrap();
}

#[test]
fn a_new_log_is_empty() {
    let directory = TempDir::new().unwrap();
    let OpenedLog { log, recovered } = open(&directory);
    assert_recovered(&recovered, None, 0);
    assert_eq!(
        (log.last_index(), log.bytes()),
        (0, SEGMENT_HEADER_BYTES as u64)
    );
}

#[test]
fn appended_records_are_recovered_after_reopening() {
    let directory = TempDir::new().unwrap();
    for last in [3, 3, 7] {
        append_to(&mut open(&directory).log, last);
        assert_recovered(&open(&directory).recovered, None, last);
    }
    let OpenedLog { log, recovered } = open(&directory);
    let bytes = SEGMENT_HEADER_BYTES + 7 * (RECORD_HEADER_BYTES + payload(1).len());
    assert_eq!(log.bytes(), bytes as u64);
    assert_eq!(
        (recovered.report.torn_bytes, recovered.report.rejected.len()),
        (0, 0)
    );
}

#[test]
fn an_index_that_does_not_rise_is_rejected_and_a_batch_is_atomic() {
    let directory = TempDir::new().unwrap();
    let mut log = open(&directory).log;
    log.append_batch(&[new_record(5, b"five"), new_record(9, b"")])
        .unwrap();
    for wrong in [0, 5, 9] {
        assert!(matches!(
            log.append(wrong, b""),
            Err(LogError::IndexOutOfOrder { last: 9, .. })
        ));
    }
    assert!(
        log.append_batch(&[new_record(10, b"ten"), new_record(10, b"ten")])
            .is_err(),
        "a batch is appended completely or not at all"
    );
    drop(log);
    let recovered = open(&directory).recovered;
    let records =
        [(5, b"five".to_vec()), (9, Vec::new())].map(|(index, payload)| Record { index, payload });
    assert_eq!(recovered.records, records);
}

#[test]
fn a_log_in_use_cannot_be_opened_a_second_time() {
    let directory = TempDir::new().unwrap();
    let log = open(&directory).log;
    assert!(matches!(open_error(&directory), LogError::InUse { .. }));
    drop(log);
    open(&directory);
}

#[test]
fn a_torn_tail_is_truncated_and_counted_at_every_length() {
    let record = RECORD_HEADER_BYTES + payload(3).len();
    for left in 1..record {
        let directory = TempDir::new().unwrap();
        append_to(&mut open(&directory).log, 3);
        truncate(
            &file_path(&directory, "log", 0),
            SEGMENT_HEADER_BYTES + 2 * record + left,
        );
        let OpenedLog { mut log, recovered } = open(&directory);
        assert_recovered(&recovered, None, 2);
        assert_eq!(recovered.report.torn_bytes, left as u64);
        append_to(&mut log, 5);
        drop(log);
        let recovered = open(&directory).recovered;
        assert_recovered(&recovered, None, 5);
        assert_eq!(recovered.report.torn_bytes, 0);
    }
}

#[test]
fn an_unsynced_batch_with_missing_pages_is_truncated() {
    let directory = TempDir::new().unwrap();
    let mut log = open(&directory).log;
    append_to(&mut log, 2);
    let durable = log.bytes() as usize;
    let payloads: Vec<Vec<u8>> = (3..=6).map(payload).collect();
    let batch: Vec<NewRecord> = (3..)
        .zip(&payloads)
        .map(|(index, payload)| new_record(index, payload))
        .collect();
    log.append_batch(&batch).unwrap();
    drop(log);
    let file = file_path(&directory, "log", 0);
    let mut bytes = fs::read(&file).unwrap();
    bytes[durable + 10..durable + 50].fill(0);
    fs::write(&file, &bytes).unwrap();
    let recovered = open(&directory).recovered;
    assert_recovered(&recovered, None, 2);
    assert_eq!(recovered.report.torn_bytes, (bytes.len() - durable) as u64);
}

#[test]
fn a_flipped_bit_before_the_last_record_is_reported_as_corruption() {
    let record = RECORD_HEADER_BYTES + payload(1).len();
    let complete = TempDir::new().unwrap();
    append_to(&mut open(&complete).log, 4);
    let bytes = fs::read(file_path(&complete, "log", 0)).unwrap();
    for byte in 0..SEGMENT_HEADER_BYTES + 3 * record {
        let directory = TempDir::new().unwrap();
        let file = file_path(&directory, "log", 0);
        fs::write(&file, &bytes).unwrap();
        flip_bit(&file, byte);
        let damaged = fs::read(&file).unwrap();
        let error = open_error(&directory);
        let LogError::Corrupt {
            file: named,
            offset,
            ..
        } = &error
        else {
            panic!("byte {byte}: {error}")
        };
        let expected = byte
            .checked_sub(SEGMENT_HEADER_BYTES)
            .map_or(0, |byte| SEGMENT_HEADER_BYTES + byte / record * record);
        assert_eq!((named, *offset), (&file, expected as u64), "byte {byte}");
        assert!(
            error
                .to_string()
                .contains("Copy the directory of another control process"),
            "{error}"
        );
        assert_eq!(
            fs::read(&file).unwrap(),
            damaged,
            "the segment is unchanged"
        );
    }
}

#[test]
fn a_truncated_earlier_segment_is_reported_as_corruption() {
    let directory = TempDir::new().unwrap();
    let mut log = open(&directory).log;
    append_and_snapshot(&mut log, 3);
    append_to(&mut log, 5);
    drop(log);
    let first = file_path(&directory, "log", 0);
    truncate(&first, fs::read(&first).unwrap().len() - 1);
    flip_bit(&file_path(&directory, "snapshot", 3), 30);
    assert!(matches!(
        open_error(&directory),
        LogError::Corrupt {
            damage: Damage::TruncatedRecord,
            ..
        }
    ));
}

#[test]
fn an_unknown_format_version_is_rejected() {
    let directory = TempDir::new().unwrap();
    drop(open(&directory));
    let file = file_path(&directory, "log", 0);
    let mut bytes = fs::read(&file).unwrap();
    bytes[8] = 2;
    let checksum = crc32fast::hash(&bytes[..SEGMENT_HEADER_BYTES - 4]);
    bytes[SEGMENT_HEADER_BYTES - 4..].copy_from_slice(&checksum.to_le_bytes());
    fs::write(&file, bytes).unwrap();
    assert!(matches!(
        open_error(&directory),
        LogError::UnknownFormat { found: 2, .. }
    ));
}

#[test]
fn a_snapshot_replaces_the_records_before_it() {
    let directory = TempDir::new().unwrap();
    let mut log = open(&directory).log;
    for index in [4, 9, 15, 22] {
        append_and_snapshot(&mut log, index);
        assert_eq!(log.bytes(), SEGMENT_HEADER_BYTES as u64);
        append_to(&mut log, index + 2);
    }
    drop(log);
    assert_recovered(&open(&directory).recovered, Some(22), 24);
    let kept = [15, 22].map(|index| file_path(&directory, "snapshot", index));
    assert_eq!(files_with_prefix(&directory, "snapshot"), kept);
    assert_eq!(
        files_with_prefix(&directory, "log"),
        [15, 22].map(|previous_index| file_path(&directory, "log", previous_index))
    );
}

#[test]
fn a_snapshot_of_an_earlier_index_keeps_the_records_after_it() {
    let directory = TempDir::new().unwrap();
    let mut log = open(&directory).log;
    append_to(&mut log, 10);
    for index in [6, 8, 8, 9] {
        log.write_snapshot(index, state_at(index).into_iter())
            .unwrap();
    }
    assert!(matches!(
        log.write_snapshot(7, std::iter::empty()),
        Err(LogError::IndexOutOfOrder { last: 9, found: 7 })
    ));
    append_to(&mut log, 12);
    drop(log);
    assert_recovered(&open(&directory).recovered, Some(9), 12);
}

#[test]
fn a_snapshot_may_be_ahead_of_the_records() {
    let directory = TempDir::new().unwrap();
    let mut log = open(&directory).log;
    append_to(&mut log, 2);
    log.write_snapshot(50, state_at(50).into_iter()).unwrap();
    append_to(&mut log, 52);
    drop(log);
    assert_recovered(&open(&directory).recovered, Some(50), 52);
    flip_bit(&file_path(&directory, "snapshot", 50), 40);
    let error = open_error(&directory);
    assert!(
        matches!(
            error,
            LogError::MissingRecords {
                previous_index: 50,
                last_index: 2,
                ..
            }
        ),
        "{error}"
    );
}

/// Tests truncation at every length and a flipped bit in every byte.
#[test]
fn a_damaged_snapshot_is_counted_and_the_previous_one_used() {
    let complete = TempDir::new().unwrap();
    let mut log = open(&complete).log;
    append_and_snapshot(&mut log, 4);
    append_and_snapshot(&mut log, 7);
    append_to(&mut log, 9);
    drop(log);
    let bytes = fs::read(file_path(&complete, "snapshot", 7)).unwrap();
    let truncated = (0..bytes.len()).map(|length| bytes[..length].to_vec());
    let flipped_bits = (0..bytes.len()).map(|byte| {
        let mut flipped = bytes.clone();
        flipped[byte] ^= 1;
        flipped
    });
    for damaged in truncated.chain(flipped_bits) {
        let file = file_path(&complete, "snapshot", 7);
        fs::write(&file, damaged).unwrap();
        let recovered = open(&complete).recovered;
        assert_recovered(&recovered, Some(4), 9);
        assert_eq!(recovered.report.rejected.len(), 1);
        assert_eq!(recovered.report.rejected[0].file, file);
    }
    let mut log = open(&complete).log;
    append_and_snapshot(&mut log, 11);
    let kept = [4, 11].map(|index| file_path(&complete, "snapshot", index));
    assert_eq!(
        files_with_prefix(&complete, "snapshot"),
        kept,
        "the damaged snapshot is removed"
    );
}

#[test]
fn an_unfinished_snapshot_is_counted_and_removed() {
    let directory = TempDir::new().unwrap();
    let mut log = open(&directory).log;
    append_and_snapshot(&mut log, 4);
    drop(log);
    let unfinished = directory.path().join("snapshot.00000000000000000009.tmp");
    fs::write(&unfinished, b"bsl-snp\n").unwrap();
    let recovered = open(&directory).recovered;
    assert_recovered(&recovered, Some(4), 4);
    assert_eq!(
        recovered.report.rejected,
        [RejectedSnapshot {
            file: unfinished.clone(),
            reason: RejectReason::Unfinished
        }]
    );
    assert!(!unfinished.exists());
}

/// Tests the state that a crash leaves behind after the snapshot was renamed and before the next segment was created.
#[test]
fn a_crash_between_the_steps_of_a_snapshot_loses_nothing() {
    let directory = TempDir::new().unwrap();
    let mut log = open(&directory).log;
    append_and_snapshot(&mut log, 3);
    append_to(&mut log, 6);
    drop(log);
    let files_before = files_with_prefix(&directory, "")
        .into_iter()
        .map(|file| (file.clone(), fs::read(file).unwrap()));
    let files_before: Vec<(PathBuf, Vec<u8>)> = files_before.collect();
    append_and_snapshot(&mut open(&directory).log, 6);
    // Restores the files from before the snapshot, and removes the segment that it started.
    fs::remove_file(file_path(&directory, "log", 6)).unwrap();
    files_before
        .iter()
        .for_each(|(file, bytes)| fs::write(file, bytes).unwrap());
    let OpenedLog { mut log, recovered } = open(&directory);
    assert_recovered(&recovered, Some(6), 6);
    append_to(&mut log, 8);
    drop(log);
    assert_recovered(&open(&directory).recovered, Some(6), 8);
    flip_bit(&file_path(&directory, "snapshot", 6), 25);
    assert_recovered(&open(&directory).recovered, Some(3), 8);
}

#[test]
fn a_missing_segment_is_reported() {
    let directory = TempDir::new().unwrap();
    let mut log = open(&directory).log;
    append_and_snapshot(&mut log, 3);
    append_to(&mut log, 5);
    drop(log);
    fs::remove_file(file_path(&directory, "snapshot", 3)).unwrap();
    fs::remove_file(file_path(&directory, "log", 0)).unwrap();
    let error = open_error(&directory);
    assert!(
        matches!(
            error,
            LogError::MissingRecords {
                previous_index: 3,
                last_index: 0,
                ..
            }
        ),
        "{error}"
    );
    assert!(error.to_string().contains("Restore it"), "{error}");
}

#[test]
fn a_record_that_is_too_long_is_rejected_when_writing_and_reading() {
    let directory = TempDir::new().unwrap();
    let mut log = open(&directory).log;
    let longest = vec![7; MAX_RECORD_BYTES];
    let too_long = vec![7; MAX_RECORD_BYTES + 1];
    log.append(1, &longest).unwrap();
    let rejected = log.append(2, &too_long);
    assert!(
        matches!(rejected, Err(LogError::RecordTooLong { length }) if length == too_long.len())
    );
    let rejected = log.write_snapshot(1, [longest.clone(), too_long].into_iter());
    assert!(matches!(rejected, Err(LogError::RecordTooLong { .. })));
    assert!(files_with_prefix(&directory, "snapshot").is_empty());
    append_to(&mut log, 2);
    drop(log);
    // Sets a too large length in the header of the second record, and updates the header checksum.
    let file = file_path(&directory, "log", 0);
    let mut bytes = fs::read(&file).unwrap();
    let second = SEGMENT_HEADER_BYTES + RECORD_HEADER_BYTES + MAX_RECORD_BYTES;
    bytes[second..second + 4].copy_from_slice(&(MAX_RECORD_BYTES as u32 + 1).to_le_bytes());
    let checksum = crc32fast::hash(&bytes[second..second + 24]);
    bytes[second + 24..second + 28].copy_from_slice(&checksum.to_le_bytes());
    fs::write(&file, bytes).unwrap();
    let error = open_error(&directory);
    assert!(
        matches!(
            error,
            LogError::Corrupt {
                damage: Damage::RecordTooLong,
                ..
            }
        ),
        "{error}"
    );
}

#[test]
fn a_gap_is_reported_after_a_crash_before_the_segment_of_a_snapshot_ahead() {
    let directory = TempDir::new().unwrap();
    let mut log = open(&directory).log;
    append_to(&mut log, 2);
    log.write_snapshot(50, state_at(50).into_iter()).unwrap();
    drop(log);
    fs::remove_file(file_path(&directory, "log", 50)).unwrap();
    append_to(&mut open(&directory).log, 52);
    assert_recovered(&open(&directory).recovered, Some(50), 52);
    flip_bit(&file_path(&directory, "snapshot", 50), 40);
    assert!(matches!(
        open_error(&directory),
        LogError::MissingRecords {
            previous_index: 50,
            last_index: 2,
            ..
        }
    ));
}

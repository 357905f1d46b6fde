//! Log files on disk: they survive a crash at any moment, and damaged content is never read as data.

#[path = "simulation/disk.rs"]
mod disk;

use std::fs;
use std::path::{Path, PathBuf};

use disk::SimulatedDisk;
use ebonyjunction::error::MeshError;
use ebonyjunction::generated::command::Change;
use ebonyjunction::generated::{Command, ExpireCommand, LogEntry, RouteChange};
use ebonyjunction::storage::{FileStore, HardState, LogStore, SnapshotMeta};
use prost::Message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEGMENT_HEADER_LENGTH: u64 = 8;

fn entry(index: u64, term: u64) -> LogEntry {
    let change = Change::Expire(ExpireCommand {
        created_before_ms: index * 1_000 + term,
    });
    LogEntry {
        index,
        term,
        command: Some(Command {
            change: Some(change),
        }),
    }
}

fn entries(from: u64, to: u64, term: u64) -> Vec<LogEntry> {
    (from..=to).map(|index| entry(index, term)).collect()
}

/// Creates an entry with a command of about `bytes` bytes.
fn large_entry(index: u64, bytes: usize) -> LogEntry {
    let change = Change::Routes(RouteChange {
        digest: vec![index as u8; bytes].into(),
        ..RouteChange::default()
    });
    LogEntry {
        index,
        term: 1,
        command: Some(Command {
            change: Some(change),
        }),
    }
}

fn all_entries(store: &dyn LogStore) -> Vec<LogEntry> {
    store.entries(store.first_index(), usize::MAX)
}

fn files(folder: &Path, prefix: &str) -> Vec<PathBuf> {
    let mut found: Vec<PathBuf> = fs::read_dir(folder)
        .unwrap()
        .map(|item| item.unwrap().path())
        .filter(|path| {
            path.file_name()
                .unwrap()
                .to_string_lossy()
                .starts_with(prefix)
        })
        .collect();
    found.sort();
    found
}

/// Writes four frames of two entries each and returns the length of the segment after each frame.
fn write_frames(folder: &Path) -> Vec<u64> {
    let mut store = FileStore::open(folder).unwrap();
    let state = HardState {
        term: 3,
        vote: Some(2),
    };
    store.set_hard_state(state).unwrap();
    let mut lengths = Vec::new();
    for frame in 0..4 {
        store
            .append(&entries(frame * 2 + 1, frame * 2 + 2, 3))
            .unwrap();
        store.sync().unwrap();
        lengths.push(fs::metadata(&files(folder, "log-")[0]).unwrap().len());
    }
    lengths
}

fn copy_folder(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for item in fs::read_dir(from).unwrap() {
        let path = item.unwrap().path();
        fs::copy(&path, to.join(path.file_name().unwrap())).unwrap();
    }
}

fn assert_corrupt(folder: &Path, case: &str) {
    let result = FileStore::open(folder);
    let is_corrupt = matches!(result, Err(MeshError::CorruptFile { .. }));
    assert!(is_corrupt, "{case}: {result:?}");
}

/// Guards against a torn write that loses earlier entries, is read as data, or blocks later writes.
#[test]
fn open_torn_at_every_offset() {
    let original = tempfile::tempdir().unwrap();
    let lengths = write_frames(original.path());
    for cut in SEGMENT_HEADER_LENGTH..=lengths[3] {
        let copy = tempfile::tempdir().unwrap();
        copy_folder(original.path(), copy.path());
        let segment = &files(copy.path(), "log-")[0];
        let file = fs::OpenOptions::new().write(true).open(segment).unwrap();
        file.set_len(cut).unwrap();
        let kept = lengths.iter().filter(|length| **length <= cut).count() as u64 * 2;

        let mut store = FileStore::open(copy.path()).unwrap();
        assert_eq!(all_entries(&store), entries(1, kept, 3), "cut at {cut}");
        assert_eq!(store.hard_state().vote, Some(2));
        store.append(&[entry(kept + 1, 4)]).unwrap();
        store.sync().unwrap();
        drop(store);

        let store = FileStore::open(copy.path()).unwrap();
        assert_eq!(store.last_index(), kept + 1, "cut at {cut}");
        assert_eq!(store.term_at(kept + 1), Some(4));
    }
}

/// Guards against treating garbage or zeros after the last frame as damage in the middle of the log.
#[test]
fn open_garbage_after_last_frame() {
    for garbage in [
        vec![0_u8; 100],
        b"EBJfEBJfEBJf and more than one header".to_vec(),
    ] {
        let folder = tempfile::tempdir().unwrap();
        write_frames(folder.path());
        let segment = &files(folder.path(), "log-")[0];
        let content = [fs::read(segment).unwrap(), garbage].concat();
        fs::write(segment, content).unwrap();
        let store = FileStore::open(folder.path()).unwrap();
        assert_eq!(all_entries(&store), entries(1, 8, 3));
    }
}

/// Guards against repairing damage in the middle of the log by dropping the confirmed entries after it.
#[test]
fn open_flipped_byte_in_middle() {
    let original = tempfile::tempdir().unwrap();
    let lengths = write_frames(original.path());
    let content = fs::read(&files(original.path(), "log-")[0]).unwrap();
    for offset in 0..lengths[2] as usize {
        let copy = tempfile::tempdir().unwrap();
        copy_folder(original.path(), copy.path());
        let mut damaged = content.clone();
        damaged[offset] ^= 0x10;
        fs::write(&files(copy.path(), "log-")[0], damaged).unwrap();
        assert_corrupt(copy.path(), &format!("byte {offset}"));
    }
}

/// Guards against damage in the identity, vote or snapshot file that is read as data.
#[test]
fn open_flipped_byte_in_small_files() {
    let original = tempfile::tempdir().unwrap();
    write_frames(original.path());
    let mut store = FileStore::open(original.path()).unwrap();
    store.save_snapshot(meta(4, 3), b"state at 4").unwrap();
    drop(store);
    for prefix in ["identity", "hard-state", "snapshot-"] {
        let content = fs::read(&files(original.path(), prefix)[0]).unwrap();
        for offset in 0..content.len() {
            let copy = tempfile::tempdir().unwrap();
            copy_folder(original.path(), copy.path());
            let mut damaged = content.clone();
            damaged[offset] ^= 0x01;
            fs::write(&files(copy.path(), prefix)[0], damaged).unwrap();
            assert_corrupt(copy.path(), &format!("{prefix} byte {offset}"));
        }
    }
}

fn meta(last_index: u64, last_term: u64) -> SnapshotMeta {
    SnapshotMeta {
        last_index,
        last_term,
    }
}

/// Guards against a partly written snapshot, left by a crash, that hides the log or the older snapshot.
#[test]
fn open_snapshot_half_written() {
    let original = tempfile::tempdir().unwrap();
    write_frames(original.path());
    let mut store = FileStore::open(original.path()).unwrap();
    store.save_snapshot(meta(2, 3), b"state at 2").unwrap();
    drop(store);
    let complete = fs::read(&files(original.path(), "snapshot-")[0]).unwrap();
    let half_name = "snapshot-00000000000000000006.tmp";
    for length in 0..complete.len() {
        let copy = tempfile::tempdir().unwrap();
        copy_folder(original.path(), copy.path());
        fs::write(copy.path().join(half_name), &complete[..length]).unwrap();
        let store = FileStore::open(copy.path()).unwrap();
        let (found, data) = store.snapshot().unwrap();
        assert_eq!((found, &data[..]), (meta(2, 3), &b"state at 2"[..]));
        assert_eq!(store.entries(3, usize::MAX), entries(3, 8, 3));
        drop(store);
        assert!(!copy.path().join(half_name).exists());

        fs::write(&files(copy.path(), "snapshot-")[0], &complete[..length]).unwrap();
        assert_corrupt(copy.path(), &format!("snapshot cut at {length}"));
    }
}

/// Guards against losing entries or failing to open after a crash between writing a snapshot and removing the files that
/// it covers.
#[test]
fn open_before_covered_files_are_removed() {
    for (covered, last_term, kept) in [(4, 3, 4), (8, 3, 0), (5, 9, 0), (20, 9, 0)] {
        let folder = tempfile::tempdir().unwrap();
        write_frames(folder.path());
        let before = tempfile::tempdir().unwrap();
        copy_folder(folder.path(), before.path());
        let mut store = FileStore::open(folder.path()).unwrap();
        store
            .save_snapshot(meta(covered, last_term), b"state")
            .unwrap();
        drop(store);
        for path in files(folder.path(), "log-") {
            fs::remove_file(path).unwrap();
        }
        for path in files(before.path(), "log-") {
            fs::copy(&path, folder.path().join(path.file_name().unwrap())).unwrap();
        }
        let mut store = FileStore::open(folder.path()).unwrap();
        assert_eq!(store.last_index(), covered + kept);
        assert_eq!(store.term_at(covered), Some(last_term));
        store.append(&[entry(covered + kept + 1, 10)]).unwrap();
        store.sync().unwrap();
        drop(store);
        let store = FileStore::open(folder.path()).unwrap();
        assert_eq!(store.term_at(covered + kept + 1), Some(10));
    }
}

/// Guards against a lost segment that goes unnoticed, and against segments that are never removed.
#[test]
fn open_missing_segment() {
    let folder = tempfile::tempdir().unwrap();
    write_frames(folder.path());
    let mut store = FileStore::open(folder.path()).unwrap();
    store.save_snapshot(meta(7, 3), b"state").unwrap();
    store.append(&entries(9, 10, 3)).unwrap();
    store.sync().unwrap();
    assert_eq!(
        files(folder.path(), "log-").len(),
        2,
        "entry 8 is not covered"
    );
    store.save_snapshot(meta(9, 3), b"state").unwrap();
    assert_eq!(
        files(folder.path(), "log-").len(),
        2,
        "entry 10 is not covered"
    );
    drop(store);
    fs::remove_file(&files(folder.path(), "snapshot-")[0]).unwrap();
    assert_corrupt(folder.path(), "the snapshot is missing");
}

// Guards against a replica that refuses to start after a power loss that undid the removal of some segments only: without
// a sync of the folder, each removal may survive or be lost independently.
#[test]
fn open_partly_removed_segments() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = FileStore::open(folder.path()).unwrap();
    store.append(&entries(1, 3, 3)).unwrap();
    store.sync().unwrap();
    let oldest = files(folder.path(), "log-")[0].clone();
    let content = fs::read(&oldest).unwrap();
    store.save_snapshot(meta(3, 3), b"state at 3").unwrap();
    store.append(&entries(4, 6, 3)).unwrap();
    store.sync().unwrap();
    store.save_snapshot(meta(6, 3), b"state at 6").unwrap();
    store.append(&entries(7, 8, 3)).unwrap();
    store.sync().unwrap();
    drop(store);
    fs::write(&oldest, content).unwrap();
    let store = FileStore::open(folder.path()).unwrap();
    assert_eq!(store.last_index(), 8);
    assert_eq!(store.entries(7, usize::MAX), entries(7, 8, 3));
}

/// Guards against silently creating a new vote or identity file beside an existing log.
#[test]
fn open_missing_small_file() {
    for name in ["identity", "hard-state"] {
        let folder = tempfile::tempdir().unwrap();
        write_frames(folder.path());
        fs::remove_file(folder.path().join(name)).unwrap();
        assert_corrupt(folder.path(), name);
    }
}

/// Guards against an identity that changes on restart or repeats in a new folder, and against two
/// processes on one folder.
#[test]
fn disk_id_is_random_and_kept() {
    let (one, other) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let store = FileStore::open(one.path()).unwrap();
    let disk_id = store.disk_id();
    assert!(FileStore::open(one.path()).is_err(), "the folder is locked");
    drop(store);
    assert_eq!(FileStore::open(one.path()).unwrap().disk_id(), disk_id);
    assert_ne!(FileStore::open(other.path()).unwrap().disk_id(), disk_id);
}

/// Guards against further writes after a failed write, when the content of the disk is unknown.
#[test]
fn sync_after_failed_write() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = FileStore::open(folder.path()).unwrap();
    fs::create_dir(folder.path().join("hard-state.tmp")).unwrap();
    assert!(store.set_hard_state(HardState::default()).is_err());
    store.append(&[entry(1, 1)]).unwrap();
    assert!(store.sync().is_err());
}

/// Guards against gaps in the log and against entries that replace those covered by a snapshot.
#[test]
fn append_out_of_order() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = FileStore::open(folder.path()).unwrap();
    store.append(&entries(1, 3, 1)).unwrap();
    assert!(store.append(&[entry(5, 1)]).is_err());
    assert!(store.append(&[entry(4, 1), entry(6, 1)]).is_err());
    store.save_snapshot(meta(2, 1), b"state").unwrap();
    assert!(store.append(&[entry(2, 2)]).is_err());
    assert_eq!(store.last_index(), 3);
}

/// Guards against entries that are reported as durable without a sync: the file store and a model that loses unsynced data
/// agree after every crash, whatever was appended, replaced or covered by a snapshot.
#[test]
fn operations_lose_exactly_what_was_not_synced() {
    for seed in 0..12 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let folder = tempfile::tempdir().unwrap();
        let mut store = FileStore::open(folder.path()).unwrap();
        let mut model = SimulatedDisk::new(store.disk_id());
        for term in 1..60 {
            match rng.random_range(0..10) {
                0..5 => append_random(&mut rng, term, &mut store, &mut model),
                5..8 => {
                    store.sync().unwrap();
                    model.sync().unwrap();
                }
                8 => save_random_snapshot(&mut rng, &mut store, &mut model),
                _ => {
                    drop(store);
                    store = FileStore::open(folder.path()).unwrap();
                    model.crash(0);
                }
            }
            assert_same(&store, &model, seed);
        }
    }
}

fn covered_index(store: &dyn LogStore) -> u64 {
    store.snapshot().map_or(0, |(meta, _)| meta.last_index)
}

fn append_random(rng: &mut SmallRng, term: u64, store: &mut FileStore, model: &mut SimulatedDisk) {
    let earliest = covered_index(store) + 1;
    let from = rng.random_range(earliest..=store.last_index() + 1);
    let added = entries(from, from + rng.random_range(0..4), term);
    store.append(&added).unwrap();
    model.append(&added).unwrap();
}

fn save_random_snapshot(rng: &mut SmallRng, store: &mut FileStore, model: &mut SimulatedDisk) {
    let last_index = rng.random_range(covered_index(store) + 1..=store.last_index() + 2);
    let is_conflicting = rng.random_bool(0.2);
    let held_term = store.term_at(last_index).filter(|_| !is_conflicting);
    let position = meta(last_index, held_term.unwrap_or(1_000));
    store.save_snapshot(position, b"state").unwrap();
    model.save_snapshot(position, b"state").unwrap();
}

fn assert_same(store: &FileStore, model: &SimulatedDisk, seed: u64) {
    let from = covered_index(model) + 1;
    assert_eq!(store.snapshot(), model.snapshot(), "seed {seed}");
    assert_eq!(store.last_index(), model.last_index(), "seed {seed}");
    let held = store.entries(from, usize::MAX);
    assert_eq!(held, model.entries(from, usize::MAX), "seed {seed}");
}

/// Guards against large entries that stay in memory after a snapshot because only their number is bounded.
#[test]
fn save_snapshot_bounds_retained_bytes() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = FileStore::open(folder.path()).unwrap();
    let all: Vec<LogEntry> = (1..=100).map(|index| large_entry(index, 100_000)).collect();
    store.append(&all).unwrap();
    store.sync().unwrap();
    let meta = SnapshotMeta {
        last_index: 98,
        last_term: 1,
    };
    store.save_snapshot(meta, b"state").unwrap();
    let retained = store.entries(store.first_index(), usize::MAX);
    let bytes: usize = retained.iter().map(Message::encoded_len).sum();
    assert!(bytes <= 1_500_000, "{bytes} bytes are retained");
    assert!(store.first_index() < 98, "a few covered entries stay");
    assert_eq!(store.last_index(), 100);
    assert_eq!(store.term_at(store.first_index() - 1), Some(1));
}

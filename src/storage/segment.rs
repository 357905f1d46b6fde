//! Log segments: append-only files of checksummed frames.
//!
//! A frame holds the entries of one sync; a large sync is split into several frames. A frame may start at
//! or below the last index, in which case it replaces the entries from there on, so a segment is never
//! rewritten. A frame is written only after the previous one was synced. An invalid frame is therefore an
//! incomplete write if no valid frame follows it, and corruption if one does.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use bytes::{Buf, Bytes};
use prost::Message;

use super::files::{corrupt, io_context, replace_file};
use crate::error::{MeshError, Result};
use crate::generated::LogEntry;

pub(super) const SEGMENT_PREFIX: &str = "log-";

const SEGMENT_MAGIC: &[u8; 8] = b"EBJLOG_1";
const FRAME_MAGIC: &[u8; 4] = b"EBJf";
/// Length of the header: magic, payload length, first index, payload checksum and header checksum.
const FRAME_HEADER_LENGTH: usize = 24;
const HEADER_CRC_OFFSET: usize = 20;

/// One file of the log.
#[derive(Debug)]
pub(super) struct SegmentFile {
    pub(super) number: u64,
    pub(super) path: PathBuf,
    /// Largest index of any frame in the file.
    pub(super) highest_index: u64,
    pub(super) length: u64,
}

impl SegmentFile {
    pub(super) fn create(folder: &Path, number: u64) -> Result<Self> {
        let path = replace_file(folder, &segment_name(number), &[SEGMENT_MAGIC])?;
        Ok(Self {
            number,
            path,
            highest_index: 0,
            length: SEGMENT_MAGIC.len() as u64,
        })
    }

    pub(super) fn open_for_append(&self) -> Result<File> {
        OpenOptions::new()
            .append(true)
            .open(&self.path)
            .map_err(|source| MeshError::io(io_context("open", &self.path), source))
    }

    /// Writes one frame and syncs it.
    pub(super) fn write_frame(&mut self, file: &mut File, frame: &LogFrame) -> Result<()> {
        file.write_all(&frame.bytes)
            .and_then(|()| file.sync_data())
            .map_err(|source| MeshError::io(io_context("append to", &self.path), source))?;
        self.length += frame.bytes.len() as u64;
        self.highest_index = self.highest_index.max(frame.last_index);
        Ok(())
    }
}

pub(super) fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:020}")
}

/// Encoded frame, ready to be written.
#[derive(Debug)]
pub(super) struct LogFrame {
    bytes: Vec<u8>,
    last_index: u64,
}

impl LogFrame {
    /// Encodes entries until the frame reaches `max_bytes`. Returns `None` if there are no entries.
    pub(super) fn encode<'a>(
        entries: impl Iterator<Item = &'a LogEntry>,
        max_bytes: usize,
    ) -> Result<Option<Self>> {
        let mut bytes = vec![0; FRAME_HEADER_LENGTH];
        let mut first_index = None;
        let mut last_index = 0;
        for entry in entries {
            entry
                .encode_length_delimited(&mut bytes)
                .map_err(|error| MeshError::invalid("log entry", error.to_string()))?;
            first_index.get_or_insert(entry.index);
            last_index = entry.index;
            if bytes.len() >= max_bytes {
                break;
            }
        }
        let Some(first_index) = first_index else {
            return Ok(None);
        };
        fill_header(&mut bytes, first_index)?;
        Ok(Some(Self { bytes, last_index }))
    }

    pub(super) fn last_index(&self) -> u64 {
        self.last_index
    }
}

fn fill_header(bytes: &mut [u8], first_index: u64) -> Result<()> {
    let payload_length = u32::try_from(bytes.len() - FRAME_HEADER_LENGTH)
        .map_err(|_| MeshError::invalid("log entry", "the entry is larger than a frame"))?;
    let payload_crc = crc32fast::hash(&bytes[FRAME_HEADER_LENGTH..]);
    bytes[..4].copy_from_slice(FRAME_MAGIC);
    bytes[4..8].copy_from_slice(&payload_length.to_le_bytes());
    bytes[8..16].copy_from_slice(&first_index.to_le_bytes());
    bytes[16..20].copy_from_slice(&payload_crc.to_le_bytes());
    let header_crc = crc32fast::hash(&bytes[..HEADER_CRC_OFFSET]);
    bytes[HEADER_CRC_OFFSET..FRAME_HEADER_LENGTH].copy_from_slice(&header_crc.to_le_bytes());
    Ok(())
}

/// Frames of a segment and the length of its valid part.
#[derive(Debug)]
pub(super) struct SegmentScan {
    pub(super) frames: Vec<Vec<LogEntry>>,
    pub(super) valid_length: usize,
    pub(super) file_length: usize,
}

/// Reads all frames up to the end of the file or to an incomplete last frame. Corruption before a valid frame is
/// an error.
pub(super) fn scan_segment(path: &Path) -> Result<SegmentScan> {
    let content = std::fs::read(path)
        .map(Bytes::from)
        .map_err(|source| MeshError::io(io_context("read", path), source))?;
    if content.get(..SEGMENT_MAGIC.len()) != Some(&SEGMENT_MAGIC[..]) {
        return Err(corrupt(path, 0, "unknown file format"));
    }
    let mut frames = Vec::new();
    let mut offset = SEGMENT_MAGIC.len();
    while let Some(payload) = frame_payload(&content, offset) {
        let end = offset + FRAME_HEADER_LENGTH + payload.len();
        frames.push(decode_payload(path, offset, payload)?);
        offset = end;
    }
    if let Some(next) = find_frame(&content, offset + 1) {
        let detail = format!("checksum mismatch before the valid frame at byte {next}");
        return Err(corrupt(path, offset, detail));
    }
    Ok(SegmentScan {
        frames,
        valid_length: offset,
        file_length: content.len(),
    })
}

/// Returns the payload of the frame at `offset` if the frame is complete and its checksums match.
fn frame_payload(content: &Bytes, offset: usize) -> Option<Bytes> {
    let header = content.get(offset..offset + FRAME_HEADER_LENGTH)?;
    if header[..4] != FRAME_MAGIC[..] {
        return None;
    }
    let header_crc = crc32fast::hash(&header[..HEADER_CRC_OFFSET]);
    if header_crc.to_le_bytes() != header[HEADER_CRC_OFFSET..] {
        return None;
    }
    let payload_length = u32::from_le_bytes(header[4..8].try_into().ok()?);
    let payload_crc = &header[16..20];
    let start = offset + FRAME_HEADER_LENGTH;
    let end = start + payload_length as usize;
    let payload = content.get(start..end)?;
    (crc32fast::hash(payload).to_le_bytes() == payload_crc).then(|| content.slice(start..end))
}

fn find_frame(content: &Bytes, from: usize) -> Option<usize> {
    let last = content.len().checked_sub(FRAME_HEADER_LENGTH)?;
    (from..=last).find(|&offset| frame_payload(content, offset).is_some())
}

fn decode_payload(path: &Path, offset: usize, mut payload: Bytes) -> Result<Vec<LogEntry>> {
    let mut entries = Vec::new();
    while payload.has_remaining() {
        let entry = LogEntry::decode_length_delimited(&mut payload)
            .map_err(|error| corrupt(path, offset, error.to_string()))?;
        entries.push(entry);
    }
    Ok(entries)
}

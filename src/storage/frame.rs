//! Frames of the write-ahead log.
//!
//! Each `append` call writes exactly one frame, which holds records of all groups, so a torn write
//! corrupts only that frame, in whatever order its pages reach the disk. The header checksum covers
//! the segment number and the offset, so that a frame is only valid at the place it was written to.

use crate::consensus::message::{EntryBody, HardState, LogEntry};
use crate::ids::{GroupId, LogIndex};

/// Size of a frame header: payload length, payload checksum and header checksum, four bytes each.
pub(super) const HEADER_BYTES: usize = 12;

/// Maximum payload size of one frame.
pub(super) const MAX_FRAME_BYTES: usize = 256 << 20;

/// Included in header checksums; must change with every change of the format.
const FORMAT_TAG: &[u8] = b"curranthollow-wal-1";

const KIND_HARD_STATE: u8 = 1;
const KIND_TRUNCATE: u8 = 2;
const KIND_NOOP: u8 = 3;
const KIND_PAYLOAD: u8 = 4;
const KIND_MEMBERS: u8 = 5;

/// Change to the durable state of one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum LogRecord {
    HardState(HardState),
    Truncate(LogIndex),
    Entry(LogEntry),
}

fn header_checksum(segment: u64, offset: u64, length: u32, payload_checksum: u32) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(FORMAT_TAG);
    hasher.update(&segment.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(&length.to_le_bytes());
    hasher.update(&payload_checksum.to_le_bytes());
    hasher.finalize()
}

/// Encodes `payload` as a frame to be written at `offset` in `segment`.
pub(super) fn encode_frame(segment: u64, offset: u64, payload: &[u8]) -> Vec<u8> {
    let length = payload.len() as u32;
    let payload_checksum = crc32fast::hash(payload);
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&payload_checksum.to_le_bytes());
    frame.extend_from_slice(
        &header_checksum(segment, offset, length, payload_checksum).to_le_bytes(),
    );
    frame.extend_from_slice(payload);
    frame
}

/// Returns the payload of the frame at `offset`, or `None` if there is no intact frame.
pub(super) fn frame_at(segment: u64, data: &[u8], offset: usize) -> Option<&[u8]> {
    let header = data.get(offset..offset + HEADER_BYTES)?;
    let length = read_u32(header, 0)?;
    let payload_checksum = read_u32(header, 4)?;
    if read_u32(header, 8)? != header_checksum(segment, offset as u64, length, payload_checksum) {
        return None;
    }
    let start = offset + HEADER_BYTES;
    let payload = data.get(start..start + length as usize)?;
    (crc32fast::hash(payload) == payload_checksum).then_some(payload)
}

/// Returns whether an intact frame starts anywhere after `offset`.
pub(super) fn has_frame_after(segment: u64, data: &[u8], offset: usize) -> bool {
    (offset + 1..data.len()).any(|start| frame_at(segment, data, start).is_some())
}

fn read_u32(data: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(data.get(at..at + 4)?.try_into().ok()?))
}

fn read_u64(data: &[u8], at: usize) -> Option<u64> {
    Some(u64::from_le_bytes(data.get(at..at + 8)?.try_into().ok()?))
}

/// Appends one encoded record to `payload`: length, group, kind, content.
pub(super) fn encode_record(payload: &mut Vec<u8>, group: GroupId, record: &LogRecord) {
    let start = payload.len();
    payload.extend_from_slice(&[0; 4]);
    payload.extend_from_slice(&group.to_le_bytes());
    match record {
        LogRecord::HardState(state) => {
            payload.push(KIND_HARD_STATE);
            payload.extend_from_slice(&state.term.to_le_bytes());
            payload.push(u8::from(state.vote.is_some()));
            payload.extend_from_slice(&state.vote.unwrap_or_default().to_le_bytes());
        }
        LogRecord::Truncate(from) => {
            payload.push(KIND_TRUNCATE);
            payload.extend_from_slice(&from.to_le_bytes());
        }
        LogRecord::Entry(entry) => encode_entry(payload, entry),
    }
    let length = (payload.len() - start - 4) as u32;
    payload[start..start + 4].copy_from_slice(&length.to_le_bytes());
}

fn encode_entry(payload: &mut Vec<u8>, entry: &LogEntry) {
    payload.push(match entry.body {
        EntryBody::Noop => KIND_NOOP,
        EntryBody::Payload(_) => KIND_PAYLOAD,
        EntryBody::Members(_) => KIND_MEMBERS,
    });
    payload.extend_from_slice(&entry.term.to_le_bytes());
    payload.extend_from_slice(&entry.index.to_le_bytes());
    match &entry.body {
        EntryBody::Noop => {}
        EntryBody::Payload(content) => payload.extend_from_slice(content),
        EntryBody::Members(members) => {
            ciborium::into_writer(members, payload).expect("writing to a Vec cannot fail");
        }
    }
}

/// Decodes all records of a frame; `None` if the payload is malformed.
pub(super) fn decode_records(mut payload: &[u8]) -> Option<Vec<(GroupId, LogRecord)>> {
    let mut records = Vec::new();
    while !payload.is_empty() {
        let length = read_u32(payload, 0)? as usize;
        let body = payload.get(4..4 + length)?;
        records.push((read_u32(body, 0)?, decode_record(body.get(4..)?)?));
        payload = &payload[4 + length..];
    }
    Some(records)
}

fn decode_record(body: &[u8]) -> Option<LogRecord> {
    let (&kind, content) = body.split_first()?;
    let record = match kind {
        KIND_HARD_STATE => {
            let vote = (*content.get(8)? == 1).then_some(read_u64(content, 9)?);
            LogRecord::HardState(HardState { term: read_u64(content, 0)?, vote })
        }
        KIND_TRUNCATE => LogRecord::Truncate(read_u64(content, 0)?),
        KIND_NOOP | KIND_PAYLOAD | KIND_MEMBERS => {
            let (term, index) = (read_u64(content, 0)?, read_u64(content, 8)?);
            let rest = &content[16..];
            let body = match kind {
                KIND_NOOP => EntryBody::Noop,
                KIND_PAYLOAD => EntryBody::Payload(rest.to_vec()),
                _ => EntryBody::Members(ciborium::from_reader(rest).ok()?),
            };
            LogRecord::Entry(LogEntry { term, index, body })
        }
        _ => return None,
    };
    Some(record)
}

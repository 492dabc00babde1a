//! Frames of the simulator's binary protocol.
//!
//! A frame is a header, then records of fixed size, then a tail with the data of variable length, which records refer to
//! by offset and item count.
use std::io::Read;

use crate::error::{MalformedFrame, ReadError};

/// The size of an event record in bytes.
pub const EVENT_BYTES: usize = 56;
/// The size of an action record in bytes.
pub const ACTION_BYTES: usize = 24;
/// The size of a batch header in bytes.
const HEADER_BYTES: usize = 20;
/// The size of a reply header in bytes.
const REPLY_HEADER_BYTES: usize = 12;
/// The size of an endpoint list entry in bytes.
const ENDPOINT_BYTES: usize = 23;

/// A record, with access to its little-endian fields.
#[derive(Clone, Copy)]
pub struct Record<'a>(&'a [u8]);

impl Record<'_> {
    fn bytes<const N: usize>(&self, offset: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[offset..offset + N]);
        bytes
    }

    /// The unsigned 8-bit number at an offset.
    pub fn u8(&self, offset: usize) -> u8 {
        self.0[offset]
    }

    /// The unsigned 16-bit number at an offset.
    pub fn u16(&self, offset: usize) -> u16 {
        u16::from_le_bytes(self.bytes(offset))
    }

    /// The unsigned 32-bit number at an offset.
    pub fn u32(&self, offset: usize) -> u32 {
        u32::from_le_bytes(self.bytes(offset))
    }

    /// The unsigned 64-bit number at an offset.
    pub fn u64(&self, offset: usize) -> u64 {
        u64::from_le_bytes(self.bytes(offset))
    }

    /// The time or duration at an offset, in nanoseconds.
    pub fn nanos(&self, offset: usize) -> i64 {
        i64::from_le_bytes(self.bytes(offset))
    }

    /// The 32-bit floating-point number at an offset.
    pub fn f32(&self, offset: usize) -> f32 {
        f32::from_le_bytes(self.bytes(offset))
    }
}

/// A batch of events that happen at the same time.
pub struct Batch {
    /// The simulated time in nanoseconds.
    pub clock: u64,
    /// The number of the batch, which the reply repeats.
    pub number: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Batch {
    /// Reads the next batch, or returns `None` at the end of the input.
    ///
    /// # Errors
    /// Returns an error if the input cannot be read or is malformed.
    pub fn read(input: &mut impl Read) -> Result<Option<Self>, ReadError> {
        let mut header = Vec::new();
        input.take(HEADER_BYTES as u64).read_to_end(&mut header)?;
        if header.is_empty() {
            return Ok(None);
        }
        if header.len() < HEADER_BYTES {
            let present = header.len();
            return Err(MalformedFrame::HeaderTooShort { present, needed: HEADER_BYTES }.into());
        }
        // The record count, the length of the rest of the frame, the clock and the number of the batch.
        let header = Record(&header);
        let count = header.u32(0) as usize;
        let length = header.u32(4) as usize;
        let clock = header.u64(8);
        let number = header.u32(16);
        let mut body = Vec::new();
        input.take(length as u64).read_to_end(&mut body)?;
        if body.len() < length {
            let present = body.len();
            return Err(MalformedFrame::FrameTooShort { present, needed: length }.into());
        }
        if count.saturating_mul(EVENT_BYTES) > length {
            return Err(MalformedFrame::TooManyRecords { records: count, length }.into());
        }
        let tail = body.split_off(count * EVENT_BYTES);
        Ok(Some(Self { clock, number, records: body, tail }))
    }

    /// The event records of the batch.
    pub fn events(&self) -> impl Iterator<Item = Record<'_>> {
        self.records.chunks_exact(EVENT_BYTES).map(Record)
    }

    /// The part of the tail that the field at `field` refers to: an offset, then a number of items of `size` bytes.
    fn items(&self, event: Record, field: usize, size: usize) -> Result<&[u8], MalformedFrame> {
        let offset = event.u32(field) as usize;
        let items = event.u32(field + 4) as usize;
        let end = items.checked_mul(size).and_then(|bytes| bytes.checked_add(offset));
        end.and_then(|end| self.tail.get(offset..end)).ok_or(MalformedFrame::OutsideTail { items, offset })
    }

    /// The bytes that the field at the offset `field` of an event refers to.
    ///
    /// # Errors
    /// Returns an error if the bytes are outside the tail.
    pub fn bytes(&self, event: Record, field: usize) -> Result<&[u8], MalformedFrame> {
        self.items(event, field, 1)
    }

    /// The endpoint list entries that the field at the offset `field` of an event refers to.
    ///
    /// # Errors
    /// Returns an error if the entries are outside the tail.
    pub fn entries(
        &self,
        event: Record,
        field: usize,
    ) -> Result<impl Iterator<Item = Record<'_>>, MalformedFrame> {
        Ok(self.items(event, field, ENDPOINT_BYTES)?.chunks_exact(ENDPOINT_BYTES).map(Record))
    }
}

/// Builds the reply to a batch.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Appends an action with its code, the number of the proxy and its other fields.
    pub fn push_action(&mut self, code: u16, proxy_number: u32, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.extend_from_slice(&code.to_le_bytes());
        self.records.extend_from_slice(&proxy_number.to_le_bytes());
        fields.iter().for_each(|field| self.records.extend_from_slice(field));
        self.records.resize(start + ACTION_BYTES, 0);
    }

    /// Appends an action whose only field is a text.
    pub fn push_text_action(&mut self, code: u16, proxy_number: u32, text: &str) {
        let offset = self.tail.len() as u32;
        let length = text.len() as u32;
        self.tail.extend_from_slice(text.as_bytes());
        self.push_action(code, proxy_number, &[&offset.to_le_bytes(), &length.to_le_bytes()]);
    }

    /// Encodes the reply to the batch with this number.
    pub fn into_frame(self, number: u32) -> Vec<u8> {
        let count = (self.records.len() / ACTION_BYTES) as u32;
        let length = (self.records.len() + self.tail.len()) as u32;
        let mut bytes = Vec::with_capacity(REPLY_HEADER_BYTES + length as usize);
        // Unlike in the header of a batch, the length comes before the count.
        for value in [length, count, number] {
            bytes.extend_from_slice(&value.to_le_bytes());
        }
        bytes.extend(self.records);
        bytes.extend(self.tail);
        bytes
    }
}

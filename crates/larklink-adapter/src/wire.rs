//! The frames of the simulator's wire: fixed records behind a header, then one tail for what has no fixed length.
use std::io::Read;

use crate::error::{MalformedFrame, ReadError};

/// Bytes of the record of an event.
pub const EVENT_BYTES: usize = 56;
/// Bytes of the record of an action.
pub const ACTION_BYTES: usize = 24;
/// Bytes of the header of a batch.
const HEADER_BYTES: usize = 20;
/// Bytes of the header of a reply.
const REPLY_HEADER_BYTES: usize = 12;
/// Bytes of an entry of the endpoint list.
const ENDPOINT_BYTES: usize = 23;

/// Little-endian numbers in one record.
#[derive(Clone, Copy)]
pub struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(&self, offset: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[offset..offset + N]);
        bytes
    }

    /// The byte at an offset.
    pub fn u8(&self, offset: usize) -> u8 {
        self.0[offset]
    }

    /// The two bytes at an offset.
    pub fn u16(&self, offset: usize) -> u16 {
        u16::from_le_bytes(self.bytes(offset))
    }

    /// The four bytes at an offset.
    pub fn u32(&self, offset: usize) -> u32 {
        u32::from_le_bytes(self.bytes(offset))
    }

    /// The eight bytes at an offset.
    pub fn u64(&self, offset: usize) -> u64 {
        u64::from_le_bytes(self.bytes(offset))
    }

    /// The time or duration at an offset, in nanoseconds.
    pub fn nanos(&self, offset: usize) -> i64 {
        i64::from_le_bytes(self.bytes(offset))
    }

    /// The number of four bytes at an offset.
    pub fn f32(&self, offset: usize) -> f32 {
        f32::from_le_bytes(self.bytes(offset))
    }
}

/// The events of one moment.
pub struct Batch {
    /// The time, in nanoseconds.
    pub clock: u64,
    /// The number of the batch, which its reply repeats.
    pub number: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Batch {
    /// The next batch, or nothing at the end of input.
    ///
    /// # Errors
    /// The input cannot be read, or is malformed.
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
        let header = Fields(&header);
        let count = header.u32(0) as usize;
        let length = header.u32(4) as usize;
        let clock = header.u64(8);
        let number = header.u32(16);
        let mut records = Vec::new();
        input.take(length as u64).read_to_end(&mut records)?;
        if records.len() < length {
            let present = records.len();
            return Err(MalformedFrame::FrameTooShort { present, needed: length }.into());
        }
        if count.saturating_mul(EVENT_BYTES) > length {
            return Err(MalformedFrame::TooManyRecords { records: count, length }.into());
        }
        let tail = records.split_off(count * EVENT_BYTES);
        Ok(Some(Self { clock, number, records, tail }))
    }

    /// The records of its events.
    pub fn events(&self) -> impl Iterator<Item = Fields<'_>> {
        self.records.chunks_exact(EVENT_BYTES).map(Fields)
    }

    /// The bytes that an (offset, length) field names, for items of `size` bytes each.
    fn items(&self, event: Fields, at: usize, size: usize) -> Result<&[u8], MalformedFrame> {
        let offset = event.u32(at) as usize;
        let items = event.u32(at + 4) as usize;
        let end = items.checked_mul(size).and_then(|bytes| bytes.checked_add(offset));
        end.and_then(|end| self.tail.get(offset..end)).ok_or(MalformedFrame::OutsideTail { items, offset })
    }

    /// The text that the field at an offset of an event names.
    ///
    /// # Errors
    /// It lies outside the tail.
    pub fn text(&self, event: Fields, at: usize) -> Result<&[u8], MalformedFrame> {
        self.items(event, at, 1)
    }

    /// The entries of the endpoint list that the field at an offset of an event names.
    ///
    /// # Errors
    /// They lie outside the tail.
    pub fn entries(
        &self,
        event: Fields,
        at: usize,
    ) -> Result<impl Iterator<Item = Fields<'_>>, MalformedFrame> {
        Ok(self.items(event, at, ENDPOINT_BYTES)?.chunks_exact(ENDPOINT_BYTES).map(Fields))
    }
}

/// A reply in the making.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Adds an action: its code, the instance, then its other fields.
    pub fn act(&mut self, code: u16, instance: u32, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.extend_from_slice(&code.to_le_bytes());
        self.records.extend_from_slice(&instance.to_le_bytes());
        fields.iter().for_each(|field| self.records.extend_from_slice(field));
        self.records.resize(start + ACTION_BYTES, 0);
    }

    /// Adds an action that is a text.
    pub fn say(&mut self, code: u16, instance: u32, text: &str) {
        let offset = self.tail.len() as u32;
        let length = text.len() as u32;
        self.tail.extend_from_slice(text.as_bytes());
        self.act(code, instance, &[&offset.to_le_bytes(), &length.to_le_bytes()]);
    }

    /// The bytes of the reply to the batch of that number.
    pub fn frame(self, number: u32) -> Vec<u8> {
        let count = (self.records.len() / ACTION_BYTES) as u32;
        let length = (self.records.len() + self.tail.len()) as u32;
        let mut bytes = Vec::with_capacity(REPLY_HEADER_BYTES + length as usize);
        for value in [length, count, number] {
            bytes.extend_from_slice(&value.to_le_bytes());
        }
        bytes.extend(self.records);
        bytes.extend(self.tail);
        bytes
    }
}

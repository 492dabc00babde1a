//! The frames of the simulator's wire: fixed records behind a header, then one tail.
use std::io::{self, Read};

pub const EVENT: usize = 56;
pub const ACTION: usize = 24;
const HEADER: usize = 20;
const ENTRY: usize = 23;

/// A frame's bytes do not hold what they should.
#[derive(Debug, PartialEq)]
pub struct Malformed(pub String);

/// Little-endian numbers out of one record.
#[derive(Clone, Copy)]
pub struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(&self, at: usize) -> [u8; N] {
        self.0[at..at + N].try_into().expect("a field lies inside its record")
    }
    pub fn u8(&self, at: usize) -> u8 {
        self.0[at]
    }
    pub fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(self.bytes(at))
    }
    pub fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(self.bytes(at))
    }
    pub fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(self.bytes(at))
    }
    pub fn time(&self, at: usize) -> i64 {
        i64::from_le_bytes(self.bytes(at))
    }
    pub fn f32(&self, at: usize) -> f32 {
        f32::from_le_bytes(self.bytes(at))
    }
}

pub struct Batch {
    pub clock: u64,
    pub number: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Batch {
    /// The next batch, or nothing at the end of input.
    pub fn read(input: &mut impl Read) -> io::Result<Result<Option<Self>, Malformed>> {
        let mut head = Vec::new();
        input.take(HEADER as u64).read_to_end(&mut head)?;
        if head.is_empty() {
            return Ok(Ok(None));
        }
        if head.len() < HEADER {
            return Ok(Err(Malformed(format!("the header has {} of {HEADER} bytes", head.len()))));
        }
        let h = Fields(&head);
        let (count, length) = (h.u32(0) as usize, h.u32(4) as usize);
        let mut records = Vec::new();
        input.take(length as u64).read_to_end(&mut records)?;
        if records.len() < length {
            return Ok(Err(Malformed(format!("the frame has {} of {length} bytes", records.len()))));
        }
        if count.saturating_mul(EVENT) > length {
            return Ok(Err(Malformed(format!("{count} records do not fit into {length} bytes"))));
        }
        let tail = records.split_off(count * EVENT);
        Ok(Ok(Some(Self { clock: h.u64(8), number: h.u32(16), records, tail })))
    }

    pub fn events(&self) -> impl Iterator<Item = Fields<'_>> {
        self.records.chunks_exact(EVENT).map(Fields)
    }

    /// The bytes that an (offset, length) field names, for items of `size` bytes each.
    fn span(&self, event: Fields, at: usize, size: usize) -> Result<&[u8], Malformed> {
        let (from, len) = (event.u32(at) as usize, event.u32(at + 4) as usize);
        let end = len.checked_mul(size).and_then(|n| n.checked_add(from));
        end.and_then(|end| self.tail.get(from..end))
            .ok_or_else(|| Malformed(format!("{len} items at {from} lie outside the tail")))
    }

    pub fn text(&self, event: Fields, at: usize) -> Result<&[u8], Malformed> {
        self.span(event, at, 1)
    }

    pub fn entries(&self, event: Fields, at: usize) -> Result<impl Iterator<Item = Fields<'_>>, Malformed> {
        Ok(self.span(event, at, ENTRY)?.chunks_exact(ENTRY).map(Fields))
    }
}

/// A reply in the making.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Adds an action: its code, the instance, then what is left of its fields.
    pub fn act(&mut self, code: u16, instance: u32, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.extend_from_slice(&code.to_le_bytes());
        self.records.extend_from_slice(&instance.to_le_bytes());
        fields.iter().for_each(|f| self.records.extend_from_slice(f));
        self.records.resize(start + ACTION, 0);
    }

    pub fn say(&mut self, code: u16, instance: u32, text: &str) {
        let (from, len) = (self.tail.len() as u32, text.len() as u32);
        self.tail.extend_from_slice(text.as_bytes());
        self.act(code, instance, &[&from.to_le_bytes(), &len.to_le_bytes()]);
    }

    pub fn frame(self, number: u32) -> Vec<u8> {
        let count = (self.records.len() / ACTION) as u32;
        let length = (self.records.len() + self.tail.len()) as u32;
        let mut out = Vec::with_capacity(12 + length as usize);
        for n in [length, count, number] {
            out.extend_from_slice(&n.to_le_bytes());
        }
        out.extend(self.records);
        out.extend(self.tail);
        out
    }
}

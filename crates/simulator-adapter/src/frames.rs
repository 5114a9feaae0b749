//! Frames of the simulator's wire, and the reading of their fields.
//!
//! A frame is a batch of records under one clock reading. Numbers are little-endian.

use std::io::Read;

use anyhow::{Context, Result, bail, ensure};

/// The bytes of a batch header: clock, length, count.
const HEADER_SIZE: usize = 16;

/// The header of a batch.
pub struct BatchHeader {
    /// The simulated time, in microseconds.
    pub clock: u64,
    /// How many records the batch holds.
    pub record_count: u32,
}

/// Reads a batch's records into `body` and gives its header, or none where the input ends.
pub fn read_batch(input: &mut impl Read, body: &mut Vec<u8>) -> Result<Option<BatchHeader>> {
    body.clear();
    input.by_ref().take(HEADER_SIZE as u64).read_to_end(body)?;
    if body.is_empty() {
        return Ok(None);
    }
    ensure!(body.len() == HEADER_SIZE, "batch header cut short after {} bytes", body.len());
    let mut header = Fields::new(body);
    let (clock, size, record_count) = (header.u64()?, header.u32()?, header.u32()?);
    let size = size.checked_sub(4).context("batch length leaves no room for the record count")?;
    body.clear();
    // The buffer grows with what is received, not with what the header claims.
    input.by_ref().take(size.into()).read_to_end(body)?;
    ensure!(body.len() == size as usize, "batch cut short: {} bytes of {size}", body.len());
    Ok(Some(BatchHeader { clock, record_count }))
}

/// Bytes that are read field by field.
pub struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    /// All fields within these bytes.
    pub fn new(bytes: &'a [u8]) -> Self {
        Self(bytes)
    }

    /// Whether everything has been read.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The bytes not yet read.
    pub fn bytes(&self) -> &'a [u8] {
        self.0
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N]> {
        let Some((head, tail)) = self.0.split_first_chunk::<N>() else {
            bail!("too short: {N} bytes wanted, {} left", self.0.len());
        };
        self.0 = tail;
        Ok(*head)
    }

    /// Reads this many bytes.
    pub fn take(&mut self, size: usize) -> Result<&'a [u8]> {
        let Some((head, tail)) = self.0.split_at_checked(size) else {
            bail!("too short: {size} bytes wanted, {} left", self.0.len());
        };
        self.0 = tail;
        Ok(head)
    }

    /// Reads a 32-bit length and as many bytes.
    pub fn length_prefixed(&mut self) -> Result<Self> {
        let size = self.u32()? as usize;
        self.take(size).map(Fields)
    }

    /// Reads an 8-bit number.
    pub fn u8(&mut self) -> Result<u8> {
        self.array::<1>().map(|bytes| bytes[0])
    }

    /// Reads a flag: any number but 0 is true.
    pub fn flag(&mut self) -> Result<bool> {
        Ok(self.u8()? != 0)
    }

    /// Reads a 16-bit number.
    pub fn u16(&mut self) -> Result<u16> {
        self.array().map(u16::from_le_bytes)
    }

    /// Reads a 32-bit number.
    pub fn u32(&mut self) -> Result<u32> {
        self.array().map(u32::from_le_bytes)
    }

    /// Reads a 64-bit number.
    pub fn u64(&mut self) -> Result<u64> {
        self.array().map(u64::from_le_bytes)
    }

    /// Reads a floating point number, which must be finite.
    pub fn f32(&mut self) -> Result<f32> {
        let value = self.array().map(f32::from_le_bytes)?;
        ensure!(value.is_finite(), "a field is not a finite number");
        Ok(value)
    }

    /// Reads an IPv4 address and a port as one number.
    pub fn address(&mut self) -> Result<u64> {
        let [a, b, c, d, e, f] = self.array::<6>()?;
        Ok(u64::from_le_bytes([a, b, c, d, e, f, 0, 0]))
    }

    /// Reads past a load report, which nothing here uses.
    pub fn skip_load_report(&mut self) -> Result<()> {
        let count = self.u8()?;
        self.take(usize::from(count) * 4).map(drop)
    }
}

//! Reads the frames of the simulator's wire protocol and their fields.
//!
//! A frame is a batch of records that share one clock reading. Numbers are little-endian.

use std::io::Read;

use anyhow::{Context, Result, bail, ensure};

/// The size of a batch header in bytes: the clock (8), the batch length (4) and the record count (4).
const HEADER_SIZE: usize = 16;

/// The header of a batch.
pub struct BatchHeader {
    /// The simulated time, in microseconds.
    pub clock: u64,
    /// The number of records in the batch.
    pub record_count: u32,
}

/// Reads the records of the next batch into `body` and returns the batch header.
///
/// Returns `None` at the end of the input.
pub fn read_batch(input: &mut impl Read, body: &mut Vec<u8>) -> Result<Option<BatchHeader>> {
    body.clear();
    input.by_ref().take(HEADER_SIZE as u64).read_to_end(body)?;
    if body.is_empty() {
        return Ok(None);
    }
    ensure!(body.len() == HEADER_SIZE, "batch header cut short: got {} of {HEADER_SIZE} bytes", body.len());
    let mut header = Fields::new(body);
    let (clock, size, record_count) = (header.u64()?, header.u32()?, header.u32()?);
    let size = size.checked_sub(4).context("batch length is less than the 4 bytes of the record count")?;
    body.clear();
    // The buffer grows as bytes are received, so a wrong length in the header causes no large allocation.
    input.by_ref().take(size.into()).read_to_end(body)?;
    ensure!(body.len() == size as usize, "batch cut short: got {} of {size} bytes", body.len());
    Ok(Some(BatchHeader { clock, record_count }))
}

/// The bytes of a record or batch that are not yet read, with methods to read them field by field.
pub struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    /// Returns a reader at the start of these bytes.
    pub fn new(bytes: &'a [u8]) -> Self {
        Self(bytes)
    }

    /// Returns whether all bytes have been read.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the bytes that are not yet read.
    pub fn bytes(&self) -> &'a [u8] {
        self.0
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N]> {
        let Some((head, tail)) = self.0.split_first_chunk::<N>() else {
            bail!("too short: expected {N} more bytes, found {}", self.0.len());
        };
        self.0 = tail;
        Ok(*head)
    }

    /// Reads `size` bytes.
    pub fn take(&mut self, size: usize) -> Result<&'a [u8]> {
        let Some((head, tail)) = self.0.split_at_checked(size) else {
            bail!("too short: expected {size} more bytes, found {}", self.0.len());
        };
        self.0 = tail;
        Ok(head)
    }

    /// Reads a 32-bit length and the bytes that it covers.
    pub fn length_prefixed(&mut self) -> Result<Self> {
        let size = self.u32()? as usize;
        self.take(size).map(Fields)
    }

    /// Reads an 8-bit number.
    pub fn u8(&mut self) -> Result<u8> {
        self.array::<1>().map(|bytes| bytes[0])
    }

    /// Reads an 8-bit flag: every number except 0 is true.
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

    /// Reads a 32-bit floating-point number, which must be finite.
    pub fn f32(&mut self) -> Result<f32> {
        let value = self.array().map(f32::from_le_bytes)?;
        ensure!(value.is_finite(), "expected a finite number, found {value}");
        Ok(value)
    }

    /// Reads an IPv4 address (4 bytes) and a port (2 bytes) as one 48-bit number.
    pub fn address(&mut self) -> Result<u64> {
        let [a, b, c, d, e, f] = self.array::<6>()?;
        Ok(u64::from_le_bytes([a, b, c, d, e, f, 0, 0]))
    }

    /// Skips a load report, which the adapter does not use: a count and that many 32-bit values.
    pub fn skip_load_report(&mut self) -> Result<()> {
        let count = self.u8()?;
        self.take(usize::from(count) * 4).map(drop)
    }
}

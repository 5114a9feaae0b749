//! Constants of the strict binary protocol.

/// The first 16 bits of a message: the strict protocol, version 1.
pub(crate) const VERSION: u32 = 0x8001_0000;
/// The bits of the first word that hold [`VERSION`].
pub(crate) const VERSION_MASK: u32 = 0xffff_0000;
/// The size of the length in front of each frame, in bytes.
pub(crate) const FRAME_LENGTH_SIZE: usize = 4;

/// Message types.
pub(crate) mod message_type {
    pub(crate) const CALL: u8 = 1;
    pub(crate) const REPLY: u8 = 2;
    pub(crate) const EXCEPTION: u8 = 3;
    pub(crate) const ONEWAY: u8 = 4;
}

/// Field types.
pub(crate) mod field_type {
    pub(crate) const STOP: u8 = 0;
    pub(crate) const BOOL: u8 = 2;
    pub(crate) const BYTE: u8 = 3;
    pub(crate) const DOUBLE: u8 = 4;
    pub(crate) const I16: u8 = 6;
    pub(crate) const I32: u8 = 8;
    pub(crate) const I64: u8 = 10;
    pub(crate) const STRING: u8 = 11;
    pub(crate) const STRUCT: u8 = 12;
    pub(crate) const MAP: u8 = 13;
    pub(crate) const SET: u8 = 14;
    pub(crate) const LIST: u8 = 15;
}

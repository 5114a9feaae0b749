//! Reads values of the binary protocol from the front of a frame. The error texts are sent to clients and
//! must not change.

use bytes::{Buf, Bytes};

use crate::message::{Field, Fields};
use crate::wire::field_type;

/// The maximum nesting depth of structs and collections in skipped values.
const MAX_NESTING_DEPTH: u32 = 16;
/// The maximum number of fields in a call. The protocol defines nine.
const MAX_FIELDS: usize = 64;

/// Reads the remaining bytes of a frame.
pub(crate) struct Reader(pub(crate) Bytes);

/// The result of reading a value. The error is the reason that is sent to the client.
type ReadResult<T> = Result<T, &'static str>;

/// The type and id in front of each value of a struct.
struct FieldHeader {
    field_type: u8,
    id: i16,
}

impl Reader {
    fn bytes(&mut self, size: usize) -> ReadResult<Bytes> {
        if size > self.0.len() {
            return Err("cut short");
        }
        Ok(self.0.split_to(size))
    }

    fn u8(&mut self) -> ReadResult<u8> {
        self.bytes(1).map(|bytes| bytes[0])
    }

    pub(crate) fn u32(&mut self) -> ReadResult<u32> {
        self.bytes(4).map(|mut bytes| bytes.get_u32())
    }

    fn size(&mut self) -> ReadResult<usize> {
        usize::try_from(self.u32()? as i32).map_err(|_| "a negative length")
    }

    pub(crate) fn string(&mut self) -> ReadResult<Bytes> {
        let size = self.size()?;
        self.bytes(size)
    }

    /// Reads the header of the next field. `None` at the end of the struct.
    fn field_header(&mut self) -> ReadResult<Option<FieldHeader>> {
        match self.u8()? {
            field_type::STOP => Ok(None),
            field_type => Ok(Some(FieldHeader { field_type, id: self.bytes(2)?.get_i16() })),
        }
    }

    /// Reads the fields and the body of a call. A missing argument is empty.
    pub(crate) fn call_arguments(&mut self) -> ReadResult<(Fields, Bytes)> {
        let mut fields = None;
        let mut body = None;
        while let Some(header) = self.field_header()? {
            match (header.field_type, header.id) {
                (field_type::MAP, 1) if fields.is_none() => fields = Some(self.fields()?),
                (field_type::STRING, 2) if body.is_none() => body = Some(self.string()?),
                (_, 1 | 2) => return Err("an argument twice, or of another type"),
                (unknown, _) => self.skip(unknown, 0)?,
            }
        }
        Ok((fields.unwrap_or_default(), body.unwrap_or_default()))
    }

    fn fields(&mut self) -> ReadResult<Fields> {
        let key_type = self.u8()?;
        let value_type = self.u8()?;
        let count = self.size()?;
        if count > 0 && (key_type, value_type) != (field_type::STRING, field_type::STRING) {
            return Err("fields are not a map of strings");
        }
        // No memory is reserved for the stated count, which may exceed the actual number of fields by far.
        let mut fields: Vec<Field> = Vec::new();
        for _ in 0..count {
            let name = self.string()?;
            let value = self.string()?;
            if fields.len() == MAX_FIELDS || fields.iter().any(|known| known.name == name) {
                return Err("too many fields, or one twice");
            }
            fields.push(Field { name, value });
        }
        Ok(Fields(fields))
    }

    /// Reads the sequence id of the call to cancel. `None` if the message contains none.
    pub(crate) fn cancel_arguments(&mut self) -> ReadResult<Option<i32>> {
        let mut sequence_id = None;
        while let Some(header) = self.field_header()? {
            match (header.field_type, header.id) {
                (field_type::I32, 1) => sequence_id = Some(self.u32()? as i32),
                (unknown, _) => self.skip(unknown, 0)?,
            }
        }
        Ok(sequence_id)
    }

    /// Skips a value of this type. `depth` is the nesting depth of the value.
    pub(crate) fn skip(&mut self, value_type: u8, depth: u32) -> ReadResult<()> {
        if depth > MAX_NESTING_DEPTH {
            return Err("nested too deep");
        }
        match value_type {
            field_type::BOOL | field_type::BYTE => self.bytes(1).map(drop),
            field_type::I16 => self.bytes(2).map(drop),
            field_type::I32 => self.bytes(4).map(drop),
            field_type::DOUBLE | field_type::I64 => self.bytes(8).map(drop),
            field_type::STRING => self.string().map(drop),
            field_type::STRUCT => self.skip_struct(depth + 1),
            field_type::MAP => self.skip_map(depth + 1),
            field_type::SET | field_type::LIST => self.skip_list(depth + 1),
            _ => Err("an unknown type"),
        }
    }

    fn skip_struct(&mut self, depth: u32) -> ReadResult<()> {
        while let Some(header) = self.field_header()? {
            self.skip(header.field_type, depth)?;
        }
        Ok(())
    }

    fn skip_map(&mut self, depth: u32) -> ReadResult<()> {
        let key_type = self.u8()?;
        let value_type = self.u8()?;
        let count = self.size()?;
        for _ in 0..count {
            self.skip(key_type, depth)?;
            self.skip(value_type, depth)?;
        }
        Ok(())
    }

    fn skip_list(&mut self, depth: u32) -> ReadResult<()> {
        let item_type = self.u8()?;
        let count = self.size()?;
        for _ in 0..count {
            self.skip(item_type, depth)?;
        }
        Ok(())
    }
}

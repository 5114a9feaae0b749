//! Decodes replies of the router's wire protocol.

use std::collections::HashMap;

/// Message kind of an exception in the wire protocol.
const KIND_EXCEPTION: u8 = 3;

type TextMap = HashMap<String, String>;

/// The final answer to a call.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// The request was served.
    Served {
        /// The object.
        body: Vec<u8>,
        /// The other fields of the reply.
        fields: TextMap,
        /// The result of a health check; false if the reply has none.
        healthy: bool,
    },
    /// The request was not served and can be retried safely. Contains the fields of the reply.
    Rejected(TextMap),
    /// The request was not served, but may have been executed. Contains the fields of the reply.
    Failed(TextMap),
    /// The router could not decode the call.
    Exception,
}

impl Reply {
    /// Decodes a message; returns its sequence number and the reply.
    pub(super) fn decode(message: &[u8]) -> (i32, Self) {
        let mut decoder = Decoder(message);
        let kind = decoder.take(4)[3];
        decoder.text();
        let seq = decoder.number() as i32;
        if kind == KIND_EXCEPTION {
            return (seq, Self::Exception);
        }
        let reply = match decoder.field_id().unwrap() {
            0 => Self::decode_served(&mut decoder),
            1 => Self::Rejected(decoder.only_text_map()),
            _ => Self::Failed(decoder.only_text_map()),
        };
        (seq, reply)
    }

    fn decode_served(decoder: &mut Decoder) -> Self {
        let mut body = Vec::new();
        let mut fields = TextMap::new();
        let mut healthy = false;
        while let Some(id) = decoder.field_id() {
            match id {
                1 => body = decoder.text().to_vec(),
                2 => fields = decoder.text_map(),
                _ => healthy = decoder.take(1)[0] == 1,
            }
        }
        Self::Served { body, fields, healthy }
    }
}

/// Decodes a message; contains the bytes that are not decoded yet.
struct Decoder<'a>(&'a [u8]);

impl<'a> Decoder<'a> {
    fn take(&mut self, size: usize) -> &'a [u8] {
        let (head, tail) = self.0.split_at(size);
        self.0 = tail;
        head
    }

    fn number(&mut self) -> u32 {
        u32::from_be_bytes(self.take(4).try_into().unwrap())
    }

    fn text(&mut self) -> &'a [u8] {
        let size = self.number() as usize;
        self.take(size)
    }

    /// Returns the id of the next field. `None` at the end of the struct.
    fn field_id(&mut self) -> Option<u16> {
        let kind = self.take(1)[0];
        (kind != 0).then(|| u16::from_be_bytes(self.take(2).try_into().unwrap()))
    }

    fn text_map(&mut self) -> TextMap {
        self.take(2);
        let count = self.number();
        let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
        (0..count).map(|_| (text(self.text()), text(self.text()))).collect()
    }

    /// Returns the map of a struct that has no other field.
    fn only_text_map(&mut self) -> TextMap {
        self.field_id().unwrap();
        self.text_map()
    }
}

//! Parses and validates the fields of a call. This is the only place that maps the fields' wire names to the
//! router's own terms.

use bytes::Bytes;
use tindoor::host::{Authorization, RequestMeta};
use tindoor::time::Span;
use tindoor_extproc::request::RequestClass;
use tindoor_http::EndpointRequest;
use tindoor_thrift::Fields;

use crate::configuration::limits::ClientLimits;

/// The names of the fields on the wire.
mod wire_name {
    pub const CLASS: &str = "route";
    pub const OBJECT: &str = "entity";
    pub const PART: &str = "chunk";
    pub const GROUP: &str = "tag";
    pub const REQUEST_ID: &str = "trace";
    pub const TIMEOUT_MS: &str = "patience";
    pub const IDEMPOTENCY_KEY: &str = "nonce";
    pub const CLIENT_TAG: &str = "known";
    pub const CLIENT_RETRY: &str = "redo";
    /// Not a field; reported as one if the body is too long.
    pub const BODY: &str = "body";
}

pub use wire_name::REQUEST_ID;

/// The number of hexadecimal digits of an idempotency key.
const IDEMPOTENCY_KEY_LENGTH: usize = 32;
/// The number of hexadecimal digits of a client's version tag.
const CLIENT_TAG_LENGTH: usize = 16;
/// The largest purge group.
const MAX_GROUP: u32 = 255;

/// A missing or invalid field, by its wire name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {0} is missing or invalid")]
pub struct InvalidField(pub &'static str);

/// The validated fields of a call.
pub struct RequestFields<'a> {
    /// The request id that the client assigned.
    pub id: u64,
    /// The properties of the request that routing decisions depend on.
    pub meta: RequestMeta,
    /// How long the client waits for the reply.
    pub timeout: Span,
    /// The parts of the upstream request that are the same for every endpoint; texts borrow from the call.
    pub endpoint_request: EndpointRequest<'a>,
}

/// Parses single fields.
struct FieldReader<'a> {
    fields: &'a Fields,
    max_bytes: usize,
}

/// A hexadecimal id.
struct HexId<'a> {
    digits: &'a str,
    value: u64,
}

impl<'a> FieldReader<'a> {
    fn optional(&self, name: &'static str) -> Result<Option<&'a str>, InvalidField> {
        let Some(value) = self.fields.get(name) else { return Ok(None) };
        printable_text(value, self.max_bytes).map(Some).ok_or(InvalidField(name))
    }

    fn required(&self, name: &'static str) -> Result<&'a str, InvalidField> {
        self.optional(name)?.ok_or(InvalidField(name))
    }

    /// Parses a required decimal number, which must have no sign and no leading zeros.
    fn number(&self, name: &'static str) -> Result<u32, InvalidField> {
        let text = self.required(name)?;
        let is_canonical =
            text.bytes().all(|byte| byte.is_ascii_digit()) && (text == "0" || !text.starts_with('0'));
        text.parse().ok().filter(|_| is_canonical).ok_or(InvalidField(name))
    }

    fn hex_id(&self, name: &'static str) -> Result<HexId<'a>, InvalidField> {
        let digits = self.required(name)?;
        let value = tindoor_discovery::parse_object_id(digits.as_bytes()).ok_or(InvalidField(name))?;
        Ok(HexId { digits, value })
    }

    /// Returns an optional field, which must consist of exactly `length` hexadecimal digits.
    fn optional_hex(&self, name: &'static str, length: usize) -> Result<Option<&'a str>, InvalidField> {
        let text = self.optional(name)?;
        let is_valid = |text: &str| text.len() == length && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.is_some_and(|text| !is_valid(text)) {
            return Err(InvalidField(name));
        }
        Ok(text)
    }
}

/// Parses and validates the fields of a call.
pub fn read_fields<'a>(
    fields: &'a Fields,
    body: &Bytes,
    classes: &[RequestClass],
    limits: &ClientLimits,
) -> Result<RequestFields<'a>, InvalidField> {
    let reader = FieldReader { fields, max_bytes: limits.max_field_bytes };
    let class_name = reader.required(wire_name::CLASS)?;
    let class = classes.iter().position(|class| class.name == class_name);
    let class = class.ok_or(InvalidField(wire_name::CLASS))?;
    let idempotency_key = reader.optional_hex(wire_name::IDEMPOTENCY_KEY, IDEMPOTENCY_KEY_LENGTH)?;
    if idempotency_key.is_none() && classes[class].requires_idempotency_key() {
        return Err(InvalidField(wire_name::IDEMPOTENCY_KEY));
    }
    let client_tag = reader.optional_hex(wire_name::CLIENT_TAG, CLIENT_TAG_LENGTH)?;
    let client_retry = reader.optional(wire_name::CLIENT_RETRY)?;
    if client_retry.is_some_and(|value| value != "1") {
        return Err(InvalidField(wire_name::CLIENT_RETRY));
    }
    let timeout_ms = reader.number(wire_name::TIMEOUT_MS)?;
    if timeout_ms == 0 {
        return Err(InvalidField(wire_name::TIMEOUT_MS));
    }
    let group = reader.number(wire_name::GROUP)?;
    if group > MAX_GROUP {
        return Err(InvalidField(wire_name::GROUP));
    }
    if body.len() > limits.max_body_bytes {
        return Err(InvalidField(wire_name::BODY));
    }
    let object = reader.hex_id(wire_name::OBJECT)?;
    let request_id = reader.hex_id(wire_name::REQUEST_ID)?;
    let meta = RequestMeta {
        object: object.value,
        part: reader.number(wire_name::PART)?,
        group,
        class: class as u16,
        size_kb: None,
        client_retry: client_retry.is_some(),
        first_ran: None,
        authorization: Authorization::Granted,
    };
    let endpoint_request = EndpointRequest {
        class: class_name,
        object: object.digits,
        part: reader.required(wire_name::PART)?,
        correlation_id: request_id.digits,
        idempotency_key,
        client_tag,
        body_length: body.len(),
        ..EndpointRequest::default()
    };
    let timeout = Span::millis(timeout_ms.into());
    Ok(RequestFields { id: request_id.value, meta, timeout, endpoint_request })
}

/// Returns the value as text if it is printable ASCII that needs no escaping in a header or a path.
fn printable_text(value: &[u8], max_bytes: usize) -> Option<&str> {
    let is_printable =
        !value.is_empty() && value.len() <= max_bytes && value.iter().all(u8::is_ascii_graphic);
    std::str::from_utf8(value).ok().filter(|_| is_printable)
}

//! Decodes the event records that the simulator sends.

use anyhow::{Result, bail};
use tindoor::host::{
    AttemptStatus, Authorization, EndpointState, ListUpdateKind, Outcome, OutcomeDetail, RequestMeta,
};
use tindoor::time::{Moment, Span};

use crate::frames::Fields;

/// The request flag with which the client marks a request as a retry.
const CLIENT_RETRY_FLAG: u16 = 2;

/// The kind of event that a record reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// A router starts.
    InstanceStarted,
    /// The endpoint list changed, or could not be fetched.
    EndpointsChanged,
    /// A request was received.
    RequestReceived,
    /// The response of a request is being streamed.
    StreamingStarted,
    /// An attempt ended.
    AttemptEnded,
    /// The client of a request disconnected.
    RequestAbandoned,
    /// The timer fired.
    TimerFired,
    /// A health check ended. The engine runs no health checks and ignores the event.
    HealthChecked,
    /// Another router sent a message. The engine sends no messages and ignores the event.
    PeerMessage,
    /// A router stops.
    InstanceStopped,
    /// An object or a purge group was purged.
    Purged,
}

impl EventKind {
    /// Returns the event kind with this code on the wire; `None` if the code is unknown.
    pub fn from_code(code: u8) -> Option<Self> {
        Some(match code {
            1 => Self::InstanceStarted,
            2 => Self::EndpointsChanged,
            3 => Self::RequestReceived,
            4 => Self::StreamingStarted,
            5 => Self::AttemptEnded,
            6 => Self::RequestAbandoned,
            7 => Self::TimerFired,
            8 => Self::HealthChecked,
            9 => Self::PeerMessage,
            10 => Self::InstanceStopped,
            11 => Self::Purged,
            _ => return None,
        })
    }

    /// Returns the simulator's name of the event, for error messages.
    pub fn wire_name(self) -> &'static str {
        match self {
            Self::InstanceStarted => "Spawn",
            Self::EndpointsChanged => "DirectoryUpdate",
            Self::RequestReceived => "Ingress",
            Self::StreamingStarted => "Streaming",
            Self::AttemptEnded => "Done",
            Self::RequestAbandoned => "Aborted",
            Self::TimerFired => "Elapsed",
            Self::HealthChecked => "Checked",
            Self::PeerMessage => "FromPeer",
            Self::InstanceStopped => "Destroy",
            Self::Purged => "StruckOut",
        }
    }
}

/// One entry of an endpoint list update.
pub struct ListEntry {
    /// The IPv4 address and the port as one number, see [`Fields::address`].
    pub address: u64,
    /// Whether the endpoint accepts requests.
    pub state: EndpointState,
    /// When the endpoint last started; `None` if that was long ago.
    pub started_at: Option<Moment>,
    /// The location of the endpoint.
    pub location: u8,
    /// The number of full-speed transfers that the endpoint can run at once, or a relative weight if
    /// capacities are unknown.
    pub capacity: f32,
    /// The number by which the deployment identifies caches, parents or origins.
    pub kind: u8,
    /// The endpoint's cell within its location.
    pub cell: u16,
}

/// An event at one router. Requests are identified by the simulator's ids.
pub enum Event<'a> {
    /// The router starts.
    InstanceStarted {
        /// The seed of the router's random numbers.
        seed: u64,
        /// The router's settings as JSON text.
        settings: &'a [u8],
    },
    /// The endpoint list changed, or could not be fetched.
    EndpointsChanged {
        /// What the update contains.
        kind: ListUpdateKind,
        /// The entries of the update.
        entries: Vec<ListEntry>,
    },
    /// A request was received.
    RequestReceived {
        /// The simulator's id of the request.
        request: u64,
        /// What the client requests.
        meta: RequestMeta,
        /// The time that the client still waits for the response.
        time_remaining: Span,
    },
    /// The response of a request is being streamed.
    StreamingStarted {
        /// The simulator's id of the request.
        request: u64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The simulator's id of the request.
        request: u64,
        /// The index of the attempt within the request.
        index: u16,
        /// How the attempt ended.
        outcome: Outcome,
        /// How long the attempt took.
        took: Span,
        /// Whether the request has its final answer.
        is_last: bool,
    },
    /// The client of a request disconnected.
    RequestAbandoned {
        /// The simulator's id of the request.
        request: u64,
    },
    /// The timer fired.
    TimerFired,
    /// The engine ignores the event.
    Ignored,
    /// The router stops.
    InstanceStopped,
    /// An object or a purge group was purged.
    Purged {
        /// The purged object; `None` if the group was purged.
        object: Option<u64>,
        /// The purge group.
        group: u32,
        /// How long ago the purge was issued.
        ago: Span,
    },
}

impl<'a> Event<'a> {
    /// Decodes the fields that follow the instance number of a record.
    pub fn decode(kind: EventKind, fields: &mut Fields<'a>) -> Result<Self> {
        Ok(match kind {
            EventKind::InstanceStarted => {
                Self::InstanceStarted { seed: fields.u64()?, settings: fields.length_prefixed()?.bytes() }
            }
            EventKind::EndpointsChanged => decode_endpoints_changed(fields)?,
            EventKind::RequestReceived => decode_request_received(fields)?,
            EventKind::StreamingStarted => {
                let request = fields.u64()?;
                let (_index, _address, _took) = (fields.u16()?, fields.address()?, fields.u32()?);
                Self::StreamingStarted { request }
            }
            EventKind::AttemptEnded => decode_attempt_ended(fields)?,
            EventKind::RequestAbandoned => Self::RequestAbandoned { request: fields.u64()? },
            EventKind::TimerFired => {
                let _cookie = fields.u32()?;
                Self::TimerFired
            }
            EventKind::HealthChecked => {
                fields.address()?;
                decode_status(fields.u8()?)?;
                fields.u32()?;
                fields.skip_load_report()?;
                Self::Ignored
            }
            EventKind::PeerMessage => {
                let _sender = fields.u16()?;
                let size = fields.u16()?;
                fields.take(size.into())?;
                Self::Ignored
            }
            EventKind::InstanceStopped => Self::InstanceStopped,
            EventKind::Purged => Self::Purged {
                object: Some(fields.u64()?).filter(|object| *object != 0),
                group: fields.u16()?.into(),
                ago: decode_span(fields)?,
            },
        })
    }
}

/// Reads a span, which the wire gives in microseconds.
fn decode_span(fields: &mut Fields) -> Result<Span> {
    Ok(Span::micros(fields.u32()?.into()))
}

fn decode_endpoints_changed<'a>(fields: &mut Fields) -> Result<Event<'a>> {
    let kind = match fields.u8()? {
        0 | 1 => ListUpdateKind::Full,
        3 => ListUpdateKind::Failed,
        4 => ListUpdateKind::Delta,
        other => bail!("unknown list update kind {other}"),
    };
    let _version = fields.u64()?;
    let count = fields.u32()?;
    let entries = (0..count).map(|_| decode_list_entry(fields)).collect::<Result<_>>()?;
    Ok(Event::EndpointsChanged { kind, entries })
}

fn decode_list_entry(fields: &mut Fields) -> Result<ListEntry> {
    let state = match fields.u8()? {
        0 => EndpointState::Removed,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        other => bail!("unknown endpoint state {other}"),
    };
    Ok(ListEntry {
        state,
        address: fields.address()?,
        started_at: Some(fields.u64()?).filter(|at| *at > 0).map(Moment::at_micros),
        location: fields.u8()?,
        capacity: fields.f32()?,
        kind: fields.u8()?,
        cell: fields.u16()?,
    })
}

fn decode_request_received<'a>(fields: &mut Fields) -> Result<Event<'a>> {
    let request = fields.u64()?;
    let part = fields.f32()? as u32;
    let time_remaining = decode_span(fields)?;
    let class = fields.u16()?;
    let group = fields.f32()? as u32;
    let _account = fields.u16()?;
    let flags = fields.u16()?;
    let object = fields.u64()?;
    let size_kb = Some(fields.f32()?).filter(|size_kb| *size_kb > 0.0);
    let meta = RequestMeta {
        object,
        part,
        group,
        class,
        size_kb,
        client_retry: flags & CLIENT_RETRY_FLAG != 0,
        first_ran: None,
        authorization: Authorization::Granted,
    };
    Ok(Event::RequestReceived { request, meta, time_remaining })
}

fn decode_attempt_ended<'a>(fields: &mut Fields) -> Result<Event<'a>> {
    let request = fields.u64()?;
    let detail = decode_detail(fields.u32()?)?;
    let is_last = fields.flag()?;
    let took = decode_span(fields)?;
    let _first_byte = fields.u32()?;
    let _address = fields.address()?;
    let status = decode_status(fields.u8()?)?;
    let index = fields.u16()?;
    fields.skip_load_report()?;
    Ok(Event::AttemptEnded { request, index, outcome: Outcome::new(status, detail), took, is_last })
}

fn decode_status(code: u8) -> Result<AttemptStatus> {
    Ok(match code {
        10 => AttemptStatus::Served,
        20 => AttemptStatus::Error,
        30 => AttemptStatus::Overloaded,
        40 => AttemptStatus::TimedOut,
        50 => AttemptStatus::Unreachable,
        60 => AttemptStatus::Incomplete,
        70 => AttemptStatus::Cancelled,
        80 => AttemptStatus::Superseded,
        90 => AttemptStatus::Miss,
        other => bail!("unknown attempt status {other}"),
    })
}

fn decode_detail(code: u32) -> Result<OutcomeDetail> {
    Ok(match code {
        0 => OutcomeDetail::Unknown,
        1 => OutcomeDetail::Hit,
        2 => OutcomeDetail::FilledFromSource,
        3 => OutcomeDetail::FilledFromOrigin,
        4 => OutcomeDetail::JoinedFill,
        5 => OutcomeDetail::StaleHit,
        6 => OutcomeDetail::SourceOverloaded,
        7 => OutcomeDetail::SourceUnreachable,
        8 => OutcomeDetail::SourceMiss,
        9 => OutcomeDetail::NoFillSlot,
        10 => OutcomeDetail::OriginFailed,
        other => bail!("unknown outcome detail {other}"),
    })
}

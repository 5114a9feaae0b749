//! The events that the simulator reports, decoded from their records.

use anyhow::{Result, bail};
use tindoor::host::{
    AttemptStatus, Authorization, EndpointState, ListUpdateKind, Outcome, OutcomeDetail, RequestMeta,
};
use tindoor::time::{Moment, Span};

use crate::frames::Fields;

/// The flag of a request that its client sent before.
const CLIENT_RETRY_FLAG: u16 = 2;

/// What kind of event a record reports.
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
    /// The client of a request has gone.
    RequestAbandoned,
    /// The timer fired.
    TimerFired,
    /// A health check ended; the engine makes none.
    HealthChecked,
    /// Another router sent a message; the engine sends none.
    PeerMessage,
    /// A router stops.
    InstanceStopped,
    /// An object or a group was purged.
    Purged,
}

impl EventKind {
    /// The event of that code on the wire.
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

    /// The simulator's name of the event, for messages.
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
    /// The address and port, as one number.
    pub address: u64,
    /// Whether the endpoint takes requests.
    pub state: EndpointState,
    /// When it last started; none if that is long past.
    pub started_at: Option<Moment>,
    /// The location of the endpoint.
    pub location: u8,
    /// How many transfers it carries at once, or its weight.
    pub capacity: f32,
    /// The deployment's number for caches, parents or origins.
    pub kind: u8,
    /// The cell within the location.
    pub cell: u16,
}

/// An event at one router. Requests are named by the simulator's ids.
pub enum Event<'a> {
    /// The router starts, with its settings as JSON.
    InstanceStarted {
        /// Seeds its random numbers.
        seed: u64,
        /// The settings as JSON text.
        settings: &'a [u8],
    },
    /// The endpoint list changed, or could not be fetched.
    EndpointsChanged {
        /// What the update contains.
        kind: ListUpdateKind,
        /// Its entries.
        entries: Vec<ListEntry>,
    },
    /// A request was received.
    RequestReceived {
        /// The simulator's id of the request.
        request: u64,
        /// What it asks for.
        meta: RequestMeta,
        /// How long its client waits.
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
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        took: Span,
        /// Whether the request has its final answer.
        is_last: bool,
    },
    /// The client of a request has gone.
    RequestAbandoned {
        /// The simulator's id of the request.
        request: u64,
    },
    /// The timer fired.
    TimerFired,
    /// The event concerns nothing that the engine does.
    Ignored,
    /// The router stops.
    InstanceStopped,
    /// An object or, without one, a group was purged.
    Purged {
        /// The object.
        object: Option<u64>,
        /// The group.
        group: u32,
        /// How long ago.
        ago: Span,
    },
}

impl<'a> Event<'a> {
    /// Decodes the fields of a record that follow its instance.
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
                status(fields.u8()?)?;
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
                ago: span(fields)?,
            },
        })
    }
}

/// A span in microseconds.
fn span(fields: &mut Fields) -> Result<Span> {
    Ok(Span::micros(fields.u32()?.into()))
}

fn decode_endpoints_changed<'a>(fields: &mut Fields) -> Result<Event<'a>> {
    let kind = match fields.u8()? {
        0 | 1 => ListUpdateKind::Full,
        3 => ListUpdateKind::Failed,
        4 => ListUpdateKind::Delta,
        other => bail!("unknown form {other}"),
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
        other => bail!("unknown state {other}"),
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
    let time_remaining = span(fields)?;
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
    let detail = detail(fields.u32()?)?;
    let is_last = fields.flag()?;
    let took = span(fields)?;
    let _first_byte = fields.u32()?;
    let _address = fields.address()?;
    let status = status(fields.u8()?)?;
    let index = fields.u16()?;
    fields.skip_load_report()?;
    Ok(Event::AttemptEnded { request, index, outcome: Outcome::new(status, detail), took, is_last })
}

fn status(code: u8) -> Result<AttemptStatus> {
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
        other => bail!("unknown verdict {other}"),
    })
}

fn detail(code: u32) -> Result<OutcomeDetail> {
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
        other => bail!("unknown info {other}"),
    })
}

//! Speaks the simulator's wire on standard input and output for [`tindoor::engine::RoutingEngine`].
//!
//! Here is framing ([`wire`]) and the mapping of ids; settings are translated by [`tindoor_settings`]. It
//! decides nothing. Instances share nothing but the process.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufWriter, Read, Write};

use anyhow::{Context, Result, bail, ensure};
use tindoor::engine::RoutingEngine;
use tindoor::host::{
    AttemptStatus, EndpointState, EndpointUpdate, ListUpdateKind, Outcome, OutcomeDetail, RequestMeta,
};
use tindoor::time::{Moment, Span};

use wire::{AdapterHost, Record};

/// Every router hosted here, by its number.
#[derive(Default)]
struct Fleet(BTreeMap<u32, RoutingEngine<AdapterHost>>);

fn main() {
    if let Err(trouble) = run(&mut io::stdin().lock(), &mut BufWriter::new(io::stdout().lock())) {
        eprintln!("tindoor-benchlink: {trouble:#}");
        std::process::exit(1);
    }
}

/// Answers batch after batch until the input ends.
fn run(input: &mut impl Read, output: &mut impl Write) -> Result<()> {
    let mut fleet = Fleet::default();
    let (mut batch, mut reply) = (Vec::new(), Vec::new());
    while let Some((clock, count)) = wire::read_frame(input, &mut batch)? {
        reply.clear();
        reply.extend([0; 4]);
        let now = Moment::at_micros(clock);
        let mut rest = Record::new(&batch);
        for nth in 0..count {
            fleet.take(&mut rest, now, &mut reply).with_context(|| format!("record {nth}"))?;
        }
        ensure!(rest.is_empty(), "batch holds more than its {count} records");
        let size = u32::try_from(reply.len() - 4).context("reply too long")?;
        reply[..4].copy_from_slice(&size.to_le_bytes());
        output.write_all(&reply)?;
        output.flush()?;
    }
    Ok(())
}

impl Fleet {
    /// Decodes one record into a call and hands on what the router did about it.
    fn take(&mut self, rest: &mut Record, now: Moment, reply: &mut Vec<u8>) -> Result<()> {
        let code = rest.u8()?;
        let mut record = rest.counted()?;
        let name = wire::event_name(code).with_context(|| format!("unknown event code {code}"))?;
        let who = self.event(code, &mut record, now).context(name)?;
        ensure!(record.is_empty(), "{name}: longer than its fields");
        if let Some(control) = self.0.get_mut(&who) {
            reply.append(&mut control.host().actions);
        }
        Ok(())
    }

    fn event(&mut self, code: u8, record: &mut Record, now: Moment) -> Result<u32> {
        let who = record.u32()?;
        if code == wire::SPAWN {
            let seed = record.u64()?;
            let text = record.counted()?;
            let settings = tindoor_settings::from_text(text.bytes()).context("settings")?;
            let control = RoutingEngine::start(AdapterHost::new(who), settings, seed, now);
            self.0.insert(who, control);
            return Ok(who);
        }
        let Some(control) = self.0.get_mut(&who) else { bail!("instance {who} was never started") };
        control.set_time(now);
        match code {
            wire::LIST => list(control, record)?,
            wire::INGRESS => {
                let ticket = record.u64()?;
                let part = record.f32()? as u32;
                let left = Span::micros(record.u32()?.into());
                let class = record.u16()?;
                let group = record.f32()? as u32;
                let (_account, idempotency_keys) = (record.u16()?, record.u16()?);
                let client_retry = idempotency_keys & 2 != 0;
                let object = record.u64()?;
                let size_kb = Some(record.f32()?).filter(|size_kb| *size_kb > 0.0);
                let no = control.host().open_request(ticket)?;
                let (first_ran, authorization) = Default::default();
                control.request_received(
                    no,
                    RequestMeta {
                        object,
                        part,
                        group,
                        class,
                        size_kb,
                        client_retry,
                        first_ran,
                        authorization,
                    },
                    left,
                );
            }
            wire::STREAMING => {
                let (ticket, _nth, _cache, _took) =
                    (record.u64()?, record.u16()?, record.address()?, record.u32()?);
                if let Some(no) = control.host().request_of(ticket) {
                    control.streaming_started(no);
                }
            }
            wire::DONE => {
                let ticket = record.u64()?;
                let note = note(record.u32()?)?;
                let last = record.u8()? != 0;
                let took = Span::micros(record.u32()?.into());
                let _first_byte = record.u32()?;
                let _cache = record.address()?;
                let verdict = verdict(record.u8()?)?;
                let nth = record.u16()?;
                record.report()?;
                if let Some(no) = control.host().request_of(ticket) {
                    control.attempt_ended(no, nth, Outcome::new(verdict, note), took, last);
                    control.host().close_attempt(no, last);
                }
            }
            wire::ABORTED => {
                if let Some(no) = control.host().request_of(record.u64()?) {
                    control.request_abandoned(no);
                    control.host().close_request(no);
                }
            }
            wire::ELAPSED => {
                let _cookie = record.u32()?;
                control.timer_fired();
            }
            wire::CHECKED => {
                record.address()?;
                verdict(record.u8()?)?;
                record.u32()?;
                record.report()?;
            }
            wire::FROM_PEER => {
                record.u16()?;
                let size = record.u16()?;
                record.skip(size.into())?;
            }
            wire::DESTROY => {
                self.0.remove(&who);
            }
            wire::STRUCK_OUT => {
                let object = Some(record.u64()?).filter(|object| *object != 0);
                let group = record.u16()?;
                let ago = Span::micros(record.u32()?.into());
                control.purged(object, group.into(), ago);
            }
            _ => bail!("unknown event code {code}"),
        }
        Ok(who)
    }
}

fn list(control: &mut RoutingEngine<AdapterHost>, record: &mut Record) -> Result<()> {
    let form = match record.u8()? {
        0 | 1 => ListUpdateKind::Full,
        3 => ListUpdateKind::Failed,
        4 => ListUpdateKind::Delta,
        other => bail!("unknown form {other}"),
    };
    let _version = record.u64()?;
    let count = record.u32()?;
    let mut lines = Vec::new();
    for _ in 0..count {
        let standing = match record.u8()? {
            0 => EndpointState::Removed,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            other => bail!("unknown state {other}"),
        };
        let address = record.address()?;
        lines.push(EndpointUpdate {
            endpoint: control.host().cache_no(address),
            stable_id: address,
            state: standing,
            started_at: Some(record.u64()?).filter(|at| *at > 0).map(Moment::at_micros),
            location: record.u8()?,
            capacity: record.f32()?,
            kind: record.u8()?,
            cell: record.u16()?,
        });
    }
    control.endpoints_changed(form, &lines);
    Ok(())
}

fn verdict(code: u8) -> Result<AttemptStatus> {
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

fn note(code: u32) -> Result<OutcomeDetail> {
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

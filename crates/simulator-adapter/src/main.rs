//! Speaks the simulator's wire on standard input and output for [`tindoor::control::Control`].
//!
//! Here is framing ([`wire`]) and the mapping of ids; settings are translated by [`tindoor_settings`]. It
//! decides nothing. Instances share nothing but the process.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufWriter, Read, Write};

use anyhow::{Context, Result, bail, ensure};
use tindoor::control::Control;
use tindoor::host::{Asked, ListForm, Listed, Note, Standing, Verdict};
use tindoor::time::{Moment, Span};

use wire::{Desk, Record};

/// Every router hosted here, by its number.
#[derive(Default)]
struct Fleet(BTreeMap<u32, Control<Desk>>);

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
            let facts = tindoor_settings::from_text(text.bytes()).context("settings")?;
            let control = Control::start(Desk::new(who), facts, seed, now);
            self.0.insert(who, control.map_err(anyhow::Error::msg).context("settings")?);
            return Ok(who);
        }
        let Some(control) = self.0.get_mut(&who) else { bail!("instance {who} was never started") };
        control.clock(now);
        match code {
            wire::LIST => list(control, record)?,
            wire::INGRESS => {
                let ticket = record.u64()?;
                let part = record.f32()? as u32;
                let left = Span::micros(record.u32()?.into());
                let offering = record.u16()?;
                let group = record.f32()? as u32;
                let (_account, marks) = (record.u16()?, record.u16()?);
                let repeat = marks & 2 != 0;
                let object = record.u64()?;
                let kb = Some(record.f32()?).filter(|kb| *kb > 0.0);
                let no = control.host().open_view(ticket)?;
                let (ran, pass) = Default::default();
                control.view(no, Asked { object, part, group, offering, kb, repeat, ran, pass }, left);
            }
            wire::STREAMING => {
                let (ticket, _nth, _cache, _took) =
                    (record.u64()?, record.u16()?, record.address()?, record.u32()?);
                if let Some(no) = control.host().view_of(ticket) {
                    control.started(no);
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
                if let Some(no) = control.host().view_of(ticket) {
                    control.answered(no, nth, (verdict, note), took, last);
                    control.host().close_dispatch(no, last);
                }
            }
            wire::ABORTED => {
                if let Some(no) = control.host().view_of(record.u64()?) {
                    control.left(no);
                    control.host().close_view(no);
                }
            }
            wire::ELAPSED => {
                let _cookie = record.u32()?;
                control.wake();
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

fn list(control: &mut Control<Desk>, record: &mut Record) -> Result<()> {
    let form = match record.u8()? {
        0 | 1 => ListForm::Whole,
        3 => ListForm::Failed,
        4 => ListForm::Changes,
        other => bail!("unknown form {other}"),
    };
    let _version = record.u64()?;
    let count = record.u32()?;
    let mut lines = Vec::new();
    for _ in 0..count {
        let standing = match record.u8()? {
            0 => Standing::Gone,
            1 => Standing::Ready,
            2 => Standing::Draining,
            other => bail!("unknown state {other}"),
        };
        let address = record.address()?;
        lines.push(Listed {
            cache: control.host().cache_no(address),
            stable: address,
            standing,
            started: Some(record.u64()?).filter(|at| *at > 0).map(Moment::at_micros),
            location: record.u8()?,
            size: record.f32()?,
            kind: record.u8()?,
            cell: record.u16()?,
        });
    }
    control.listed(form, &lines);
    Ok(())
}

fn verdict(code: u8) -> Result<Verdict> {
    Ok(match code {
        10 => Verdict::Done,
        20 => Verdict::Error,
        30 => Verdict::Full,
        40 => Verdict::TimedOut,
        50 => Verdict::Unreachable,
        60 => Verdict::Broken,
        70 => Verdict::CalledOff,
        80 => Verdict::Moot,
        90 => Verdict::Miss,
        other => bail!("unknown verdict {other}"),
    })
}

fn note(code: u32) -> Result<Note> {
    Ok(match code {
        0 => Note::Untold,
        1 => Note::Hit,
        2 => Note::Filled,
        3 => Note::FilledByOrigin,
        4 => Note::Joined,
        5 => Note::OldCopy,
        6 => Note::SourceRefused,
        7 => Note::SourceLost,
        8 => Note::SourceLacks,
        9 => Note::NoFillPlace,
        10 => Note::OriginFailed,
        other => bail!("unknown info {other}"),
    })
}

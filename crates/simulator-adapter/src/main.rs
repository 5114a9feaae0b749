//! Connects [`tindoor::engine::RoutingEngine`] to the simulator over standard input and output.
//!
//! The simulator writes batches of event records ([`frames`], [`event`]). The adapter answers each batch with
//! the actions that the engines took ([`host`]). The adapter maps ids and translates settings; it makes no
//! routing decisions. All simulated routers run in this process and share no state.

mod event;
mod frames;
mod host;

use std::collections::BTreeMap;
use std::io::{self, BufWriter, Read, Write};

use anyhow::{Context, Result, bail, ensure};
use tindoor::engine::RoutingEngine;
use tindoor::host::{EndpointUpdate, ListUpdateKind};
use tindoor::time::Moment;

use event::{Event, EventKind, ListEntry};
use frames::Fields;
use host::AdapterHost;

/// The size of a reply's length field in bytes.
const LENGTH_SIZE: usize = 4;

fn main() {
    if let Err(error) = run(&mut io::stdin().lock(), &mut BufWriter::new(io::stdout().lock())) {
        eprintln!("tindoor-benchlink: {error:#}");
        std::process::exit(1);
    }
}

/// Reads batches and writes a reply to each until the input ends.
fn run(input: &mut impl Read, output: &mut impl Write) -> Result<()> {
    let mut fleet = Fleet::default();
    let (mut batch, mut reply) = (Vec::new(), Vec::new());
    while let Some(header) = frames::read_batch(input, &mut batch)? {
        reply.clear();
        reply.extend([0; LENGTH_SIZE]);
        let now = Moment::at_micros(header.clock);
        let mut records = Fields::new(&batch);
        for index in 0..header.record_count {
            fleet.apply_record(&mut records, now, &mut reply).with_context(|| format!("record {index}"))?;
        }
        ensure!(
            records.is_empty(),
            "unexpected bytes after the {} records of the batch",
            header.record_count
        );
        let size = u32::try_from(reply.len() - LENGTH_SIZE)
            .context("reply too long: its size does not fit in 32 bits")?;
        reply[..LENGTH_SIZE].copy_from_slice(&size.to_le_bytes());
        output.write_all(&reply)?;
        output.flush()?;
    }
    Ok(())
}

type Engine = RoutingEngine<AdapterHost>;

/// The engines of all routers in this process, by instance number.
#[derive(Default)]
struct Fleet(BTreeMap<u32, Engine>);

impl Fleet {
    /// Applies the next record and appends the actions that the router took to the reply.
    fn apply_record(&mut self, records: &mut Fields, now: Moment, reply: &mut Vec<u8>) -> Result<()> {
        let code = records.u8()?;
        let fields = records.length_prefixed()?;
        let kind = EventKind::from_code(code).with_context(|| format!("unknown event code {code}"))?;
        let instance = self.apply_event(kind, fields, now).context(kind.wire_name())?;
        if let Some(engine) = self.0.get_mut(&instance) {
            reply.append(&mut engine.host().actions);
        }
        Ok(())
    }

    /// Applies an event to its router and returns the router's instance number.
    fn apply_event(&mut self, kind: EventKind, mut fields: Fields, now: Moment) -> Result<u32> {
        let instance = fields.u32()?;
        let is_known = self.0.contains_key(&instance) || kind == EventKind::InstanceStarted;
        ensure!(is_known, "instance {instance} is not running");
        let event = Event::decode(kind, &mut fields)?;
        match event {
            Event::InstanceStarted { seed, settings } => {
                let settings = tindoor_settings::from_text(settings).context("settings")?;
                let engine = Engine::start(AdapterHost::new(instance), settings, seed, now);
                self.0.insert(instance, engine);
            }
            Event::InstanceStopped => {
                self.0.remove(&instance);
            }
            event => {
                let Some(engine) = self.0.get_mut(&instance) else {
                    bail!("instance {instance} is not running");
                };
                engine.set_time(now);
                apply_to_engine(engine, event)?;
            }
        }
        ensure!(fields.is_empty(), "too long: {} bytes after the last field", fields.bytes().len());
        Ok(instance)
    }
}

/// Applies an event to a running engine. Late events, whose request no longer has a slot, are ignored.
fn apply_to_engine(engine: &mut Engine, event: Event) -> Result<()> {
    match event {
        Event::EndpointsChanged { kind, entries } => apply_list_update(engine, kind, entries),
        Event::RequestReceived { request, meta, time_remaining } => {
            let slot = engine.host().open_request(request)?;
            engine.request_received(slot, meta, time_remaining);
        }
        Event::StreamingStarted { request } => {
            if let Some(slot) = engine.host().slot(request) {
                engine.streaming_started(slot);
            }
        }
        Event::AttemptEnded { request, index, outcome, took, is_last } => {
            if let Some(slot) = engine.host().slot(request) {
                engine.attempt_ended(slot, index, outcome, took, is_last);
                engine.host().close_attempt(slot, is_last);
            }
        }
        Event::RequestAbandoned { request } => {
            if let Some(slot) = engine.host().slot(request) {
                engine.request_abandoned(slot);
                engine.host().close_request(slot);
            }
        }
        Event::TimerFired => engine.timer_fired(),
        Event::Purged { object, group, ago } => engine.purged(object, group, ago),
        Event::Ignored | Event::InstanceStarted { .. } | Event::InstanceStopped => {}
    }
    Ok(())
}

fn apply_list_update(engine: &mut Engine, kind: ListUpdateKind, entries: Vec<ListEntry>) {
    let updates: Vec<EndpointUpdate> = entries
        .into_iter()
        .map(|entry| EndpointUpdate {
            endpoint: engine.host().endpoint_id(entry.address),
            stable_id: entry.address,
            state: entry.state,
            started_at: entry.started_at,
            location: entry.location,
            capacity: entry.capacity,
            kind: entry.kind,
            cell: entry.cell,
        })
        .collect();
    engine.endpoints_changed(kind, &updates);
}

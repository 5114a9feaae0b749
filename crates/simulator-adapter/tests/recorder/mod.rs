//! Records golden files: runs the simulated fleet of each scenario against the binary and writes the bytes
//! exchanged.

mod frames;
mod scenarios;
mod settings;
mod world;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// Returns the names of all scenarios. Each scenario has a pair of files.
pub fn names() -> Vec<&'static str> {
    scenarios::all().iter().map(|scenario| scenario.name).collect()
}

/// Records every scenario and prints the counts of what occurred in each.
///
/// Panics unless the scenarios together cover every event, action, status and detail of the protocol.
pub fn record_all(binary: &str, directory: &Path) {
    let mut total = Counts::default();
    for scenario in scenarios::all() {
        let name = scenario.name;
        let mut adapter = Adapter::start(binary);
        let counts = world::run(scenario, &mut adapter);
        let (input, output) = adapter.finish();
        println!("{name}: {} bytes in, {} bytes out\n{}", input.len(), output.len(), counts.text());
        std::fs::write(directory.join(format!("{name}.in")), input).expect("input is written");
        std::fs::write(directory.join(format!("{name}.out")), output).expect("output is written");
        counts.0.into_iter().for_each(|(occurrence, count)| total.add(occurrence, count));
    }
    println!("total\n{}", total.text());
    let missing: Vec<String> =
        required_occurrences().into_iter().filter(|occurrence| !total.0.contains_key(occurrence)).collect();
    assert!(missing.is_empty(), "never occurred: {missing:?}");
}

/// Returns what must occur in at least one of the scenarios.
fn required_occurrences() -> Vec<String> {
    let actions = [
        "send cache-only",
        "send with fill",
        "cancel",
        "reject with retry-after",
        "reject without retry-after",
        "fail",
        "timer",
        "watch",
    ];
    let statuses = (1..=9).map(|status| format!("status {:02}", status * 10));
    let details = (0..=10).map(|detail| format!("detail {detail:02}"));
    let events = (1..=11).map(|code| format!("event {code:02}"));
    actions
        .map(|name| format!("action {name}"))
        .into_iter()
        .chain(statuses)
        .chain(details)
        .chain(events)
        .collect()
}

/// How often each event, action, status and detail occurred.
#[derive(Default)]
pub struct Counts(BTreeMap<String, usize>);

impl Counts {
    pub fn add(&mut self, occurrence: String, count: usize) {
        *self.0.entry(occurrence).or_default() += count;
    }

    fn text(&self) -> String {
        let entries: Vec<String> =
            self.0.iter().map(|(occurrence, count)| format!("{occurrence}: {count}")).collect();
        format!("  {}", entries.join(", "))
    }
}

/// The running binary and all bytes exchanged with it.
pub struct Adapter {
    process: Child,
    stdin: ChildStdin,
    stdout: ChildStdout,
    input: Vec<u8>,
    output: Vec<u8>,
}

impl Adapter {
    fn start(binary: &str) -> Self {
        let mut process =
            Command::new(binary).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("binary starts");
        let stdin = process.stdin.take().expect("input is piped");
        let stdout = process.stdout.take().expect("output is piped");
        Self { process, stdin, stdout, input: Vec::new(), output: Vec::new() }
    }

    /// Sends a batch, waits for the reply and returns its actions, still encoded.
    pub fn exchange(&mut self, batch: &[u8]) -> Vec<u8> {
        self.stdin.write_all(batch).expect("binary accepts the batch");
        self.input.extend(batch);
        let mut length = [0; 4];
        self.stdout.read_exact(&mut length).expect("binary replies");
        let mut reply = vec![0; u32::from_le_bytes(length) as usize];
        self.stdout.read_exact(&mut reply).expect("reply is complete");
        self.output.extend(length);
        self.output.extend(&reply);
        reply
    }

    /// Waits for the binary to exit and returns all bytes sent and received.
    fn finish(mut self) -> (Vec<u8>, Vec<u8>) {
        drop(self.stdin);
        assert!(self.process.wait().expect("binary ends").success());
        (self.input, self.output)
    }
}

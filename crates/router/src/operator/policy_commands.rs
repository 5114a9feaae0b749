//! The commands on a fleet's policy.

use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use serde_json::Value;
use tindoor_policy::{Difference, PastProposal, Policy, ProposalOutcome, keys};

use super::command_line::{PolicyCommand, ProposalOptions};
use super::control_client::send;
use super::control_protocol::{ControlRequest, PolicyChanges};

/// The change was rejected or cancelled.
const EXIT_NOT_DONE: u8 = 1;

/// The change was still under way when the wait was over.
const EXIT_UNDER_WAY: u8 = 3;

/// The pause between two requests for the outcome of a proposal.
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a command. The exit code is 0 where it was done or the change took effect, 1 where the change was
/// rejected or cancelled, and 3 where it is still under way after the wait. A request that fails is an error.
pub fn run(command: PolicyCommand) -> Result<ExitCode> {
    match command {
        PolicyCommand::Explain { key } => explain(key.as_deref()),
        PolicyCommand::Status { control } => print(&send(&control.socket, &ControlRequest::Status)?),
        PolicyCommand::Quotas { control } => print(&send(&control.socket, &ControlRequest::Quotas)?),
        PolicyCommand::History { control } => print(&send(&control.socket, &ControlRequest::History)?),
        PolicyCommand::Show { control } => print(&send(&control.socket, &ControlRequest::Policy)?),
        PolicyCommand::Bootstrap { control, like } => {
            let changes = like.as_deref().map(read_changes).transpose()?.unwrap_or_default();
            print(&send(&control.socket, &ControlRequest::Bootstrap { changes })?);
        }
        PolicyCommand::Remove { control, name } => {
            send(&control.socket, &ControlRequest::RemoveMember { name })?;
        }
        PolicyCommand::Withdraw { control, generation } => {
            send(&control.socket, &ControlRequest::Withdraw { generation })?;
        }
        PolicyCommand::Diff { control, file } => print_differences(&control.socket, &file)?,
        PolicyCommand::Propose { control, file, from, note, options } => {
            let changes = read_changes(&file)?;
            ensure!(!changes.is_empty(), "{}: nothing is changed", file.display());
            let author = options.by.clone();
            let request = ControlRequest::Propose { changes, base_generation: from, author, note };
            return submit(&control.socket, &request, &options);
        }
        PolicyCommand::Revert { control, generation, options } => {
            let request = ControlRequest::Revert { generation, author: options.by.clone() };
            return submit(&control.socket, &request, &options);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print(value: &Value) {
    println!("{}", serde_json::to_string_pretty(value).expect("a JSON value can be written"));
}

/// Explains all keys, or those whose names end with `suffix`.
fn explain(suffix: Option<&str>) {
    let wanted = keys::KEYS.iter().filter(|key| suffix.is_none_or(|suffix| key.name.ends_with(suffix)));
    for keys::Key { name, unit, min, max, applies, description, .. } in wanted {
        println!("{name}: {description} ({unit}, {min} to {max}; changes: {applies})");
    }
}

/// Prints what a file would change of the policy in force.
fn print_differences(socket: &Path, file: &Path) -> Result<()> {
    let answer = send(socket, &ControlRequest::Policy)?;
    let in_force: Policy = serde_json::from_value(answer["policy"].clone())?;
    let changed = in_force.changed(read_changes(file)?);
    let text = |number: Option<f64>| number.map_or("not set".to_string(), |number| number.to_string());
    for Difference { key, old, new } in in_force.differences(&changed) {
        println!("{key}: {} -> {}", text(old), text(new));
    }
    Ok(())
}

/// Reads numbers by key from a JSON file, such as the output of `show`, which has them under `policy`.
fn read_changes(file: &Path) -> Result<PolicyChanges> {
    let text = std::fs::read(file).with_context(|| format!("{}", file.display()))?;
    let value: Value = serde_json::from_slice(&text).with_context(|| format!("{}", file.display()))?;
    let numbers = if value["policy"].is_object() { value["policy"].clone() } else { value };
    serde_json::from_value(numbers).with_context(|| {
        format!("{}: not an object of keys and numbers, or null for one that is to go", file.display())
    })
}

/// Submits a proposal, and waits for its outcome as far as the options say.
fn submit(socket: &Path, request: &ControlRequest, options: &ProposalOptions) -> Result<ExitCode> {
    let token = send(socket, request)?["token"].as_u64().context("no token")?;
    let wait = options.wait.map(Duration::from_secs);
    let began = Instant::now();
    loop {
        let outcome = send(socket, &ControlRequest::Outcome { token })?;
        if let Ok(past) = serde_json::from_value::<PastProposal>(outcome) {
            return Ok(print_outcome(past));
        }
        if wait.is_none_or(|wait| began.elapsed() >= wait) {
            println!("under way, as {token:016x}");
            return Ok(if wait.is_some() { ExitCode::from(EXIT_UNDER_WAY) } else { ExitCode::SUCCESS });
        }
        std::thread::sleep(OUTCOME_POLL_INTERVAL);
    }
}

fn print_outcome(past: PastProposal) -> ExitCode {
    match past.outcome {
        ProposalOutcome::Activated => {
            println!("generation {} is in force", past.generation.unwrap_or_default());
            ExitCode::SUCCESS
        }
        ProposalOutcome::Rejected(reason) | ProposalOutcome::Cancelled(reason) => {
            println!("not done: {reason}");
            ExitCode::from(EXIT_NOT_DONE)
        }
    }
}

//! The operator's side of a fleet: a Unix socket that only its owner can open, and the commands that ask there.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tindoor_consensus::Command;
use tindoor_policy::budgets::Budget;
use tindoor_policy::{Difference, PastProposal, Policy, Proposal, ProposalOutcome, keys};
use tindoor_quota::{Quota, QuotaStatus, UNIT};

use crate::command::{Fleet as Deed, Proposing};
use crate::configuration::limits::PeerLimits;
use crate::fleet::Fleet;
use crate::timeout::with_timeout;

/// Keys with their new numbers; none where a key is to go.
type Changes = std::collections::BTreeMap<String, Option<f64>>;

/// What is asked of a router by its operator.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Ask {
    Status,
    Policy,
    History,
    Shares,
    /// With these in place of what it was started with.
    Found {
        #[serde(default)]
        like: Changes,
    },
    /// Numbers in place of those in force, none where a key is to go; without `from`, made from what is in force.
    Propose {
        changes: Changes,
        from: Option<u64>,
        by: String,
        note: String,
    },
    Undo {
        generation: Option<u64>,
        by: String,
    },
    Withdraw {
        generation: u64,
    },
    Forget {
        name: String,
    },
    /// How a proposal ended.
    #[serde(rename = "end")]
    Outcome {
        token: u64,
    },
}

/// Listens where the operator asks.
pub async fn listen(
    executor: Rc<LocalExecutor<'static>>,
    fleet: Rc<Fleet>,
    path: PathBuf,
    limits: PeerLimits,
) -> Result<()> {
    // Under another name until only its owner can open it.
    let hidden = path.with_extension("new");
    let _ = std::fs::remove_file(&hidden);
    let listener =
        UnixListener::bind(&hidden).with_context(|| format!("fleet.operator: {}", path.display()))?;
    std::fs::set_permissions(&hidden, std::fs::Permissions::from_mode(0o600))?;
    std::fs::rename(&hidden, &path)?;
    let listener = Async::new(listener)?;
    tracing::info!(path = %path.display(), "the operator is heard");
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            async_io::Timer::after(limits.backoff).await;
            continue;
        };
        let fleet = Rc::clone(&fleet);
        let talk = async move {
            let mut line = Vec::new();
            let read = async {
                let mut bytes = [0; 4096];
                while line.last() != Some(&b'\n') && line.len() < limits.max_message_bytes {
                    match stream.read(&mut bytes).await? {
                        0 => break,
                        size => line.extend(&bytes[..size]),
                    }
                }
                Ok(())
            };
            if with_timeout(limits.write_timeout, read).await.is_err() {
                return;
            }
            let answer = match serde_json::from_slice::<Ask>(&line) {
                Ok(ask) => answer(&fleet, ask).unwrap_or_else(|what| json!({"error": what})),
                Err(what) => json!({"error": format!("not understood: {what}")}),
            };
            let _ =
                with_timeout(limits.write_timeout, stream.write_all(format!("{answer}\n").as_bytes())).await;
        };
        executor.spawn(talk).detach();
    }
}

fn answer(fleet: &Fleet, ask: Ask) -> std::result::Result<Value, String> {
    let propose = |proposal: Proposal| {
        let token = proposal.token;
        fleet
            .with_node(|node, now| node.submit(now, Command::Propose(proposal)))
            .map_err(|error| error.to_string())?;
        Ok(json!({"token": token}))
    };
    match ask {
        Ask::Status => {
            let status = fleet.status();
            let mut value = serde_json::to_value(status.node).map_err(|what| what.to_string())?;
            value["sent"] = json!({"bytes": status.sent.bytes, "messages": status.sent.messages});
            Ok(value)
        }
        Ask::Policy => fleet.with_node(|node, _| {
            let version = node.in_force().ok_or("no fleet is founded yet")?;
            Ok(json!({"generation": version.generation, "hash": version.hash, "policy": version.policy.0}))
        }),
        Ask::History => {
            let past: Vec<PastProposal> =
                fleet.with_node(|node, _| node.agreed().past.iter().cloned().collect());
            Ok(json!(past))
        }
        Ask::Shares => {
            let units = |share: Quota| json!({"per_s": share.rate as f64 / UNIT as f64, "stock": share.burst as f64 / UNIT as f64});
            let line = |QuotaStatus { key, own, total }| json!({"budget": Budget::name(key), "of": format!("{:x}", key.scope), "own": units(own), "whole": units(total)});
            Ok(Value::Array(fleet.quotas().into_iter().map(line).collect()))
        }
        Ask::Found { like } => {
            let own = fleet.initial_policy();
            let policy = own.changed(like);
            keys::check_change(&own, &policy, fleet.classes()).map_err(|error| error.to_string())?;
            fleet
                .with_node(|node, now| node.bootstrap(now, policy))
                .map_err(|error| error.to_string())
                .map(|number| json!({"fleet": format!("{number:016x}")}))
        }
        Ask::Propose { changes, from, by, note } => {
            let (token, in_force) = fleet.with_node(|node, _| (node.new_token(), node.in_force().cloned()));
            let in_force = in_force.ok_or("no fleet is founded yet")?;
            let policy = in_force.policy.changed(changes);
            // What can't be right anywhere is said at once; the rest is for all routers to say.
            keys::check_change(&in_force.policy, &policy, fleet.classes())
                .map_err(|error| error.to_string())?;
            let made_from = from.unwrap_or(in_force.generation);
            propose(Proposal { token, base_generation: made_from, policy, reverts: None, author: by, note })
        }
        Ask::Undo { generation, by } => {
            let proposal = fleet.with_node(|node, _| {
                let generation = generation.unwrap_or(node.agreed().generation());
                node.rollback_proposal(generation, &by, "undone by its operator")
            });
            let proposal = proposal.map_err(|error| error.to_string())?;
            propose(proposal)
        }
        Ask::Withdraw { generation } => {
            fleet
                .with_node(|node, now| node.submit(now, Command::Withdraw { generation }))
                .map_err(|error| error.to_string())?;
            Ok(json!({}))
        }
        Ask::Forget { name } => {
            fleet
                .with_node(|node, now| node.submit(now, Command::RemoveMember { name }))
                .map_err(|error| error.to_string())?;
            Ok(json!({}))
        }
        Ask::Outcome { token } => Ok(fleet.with_node(|node, _| match node.agreed().past_proposal(token) {
            Some(past) => json!(past),
            None => Value::Null,
        })),
    }
}

/// Asks a router.
pub fn ask(path: &Path, ask: &Ask) -> Result<Value> {
    let mut stream = UnixStream::connect(path).with_context(|| format!("{}", path.display()))?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    stream.write_all(format!("{}\n", serde_json::to_string(ask)?).as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).context("no answer")?;
    let answer: Value = serde_json::from_str(&line).context("no answer that can be read")?;
    if let Some(what) = answer.get("error").and_then(Value::as_str) {
        bail!("{what}");
    }
    Ok(answer)
}

/// Carries out a command of the line: 0 where it took hold or was done, 1 where it was refused or cancelled, 3 where
/// it is still under way once the wait is over. What can't be asked at all is an error.
pub fn run(deed: Deed) -> Result<ExitCode> {
    let show = |value: &Value| println!("{}", serde_json::to_string_pretty(value).expect("plain values"));
    match deed {
        Deed::Explain { key } => {
            let wanted =
                |known: &&keys::Key| key.as_ref().is_none_or(|key| known.name.ends_with(key.as_str()));
            for keys::Key { name, unit, min, max, applies, description, .. } in
                keys::KEYS.iter().filter(wanted)
            {
                println!("{name}: {description} ({unit}, {min} to {max}; changes: {applies})");
            }
        }
        Deed::Status { at } => show(&ask(&at.socket, &Ask::Status)?),
        Deed::Shares { at } => show(&ask(&at.socket, &Ask::Shares)?),
        Deed::History { at } => show(&ask(&at.socket, &Ask::History)?),
        Deed::Found { at, like } => {
            let like = like.as_deref().map(read).transpose()?.unwrap_or_default();
            show(&ask(&at.socket, &Ask::Found { like })?);
        }
        Deed::Forget { at, name } => drop(ask(&at.socket, &Ask::Forget { name })?),
        Deed::Withdraw { at, generation } => drop(ask(&at.socket, &Ask::Withdraw { generation })?),
        Deed::Show { at } => show(&ask(&at.socket, &Ask::Policy)?),
        Deed::Diff { at, file } => {
            let value = ask(&at.socket, &Ask::Policy)?;
            let in_force: Policy = serde_json::from_value(value["policy"].clone())?;
            let new = in_force.changed(read(&file)?);
            let said =
                |number: Option<f64>| number.map_or("not set".to_string(), |number| number.to_string());
            for Difference { key: name, old, new } in in_force.differences(&new) {
                println!("{name}: {} -> {}", said(old), said(new));
            }
        }
        Deed::Propose { at, file, from, note, proposing } => {
            let changes = read(&file)?;
            ensure!(!changes.is_empty(), "{}: nothing is changed", file.display());
            let ask_for = Ask::Propose { changes, from, by: proposing.by.clone(), note };
            let token = ask(&at.socket, &ask_for)?["token"].as_u64().context("no token")?;
            return wait(&at.socket, token, &proposing);
        }
        Deed::Undo { at, generation, proposing } => {
            let by = proposing.by.clone();
            let token =
                ask(&at.socket, &Ask::Undo { generation, by })?["token"].as_u64().context("no token")?;
            return wait(&at.socket, token, &proposing);
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Keys to numbers, as JSON.
fn read(file: &Path) -> Result<Changes> {
    let text = std::fs::read(file).with_context(|| format!("{}", file.display()))?;
    // What `show` printed has them under a name of their own.
    let value: Value = serde_json::from_slice(&text).with_context(|| format!("{}", file.display()))?;
    let keys = if value["policy"].is_object() { value["policy"].clone() } else { value };
    serde_json::from_value(keys).with_context(|| {
        format!("{}: not an object of keys and numbers, or null for one that is to go", file.display())
    })
}

fn wait(socket: &Path, token: u64, proposing: &Proposing) -> Result<ExitCode> {
    let begun = Instant::now();
    loop {
        let end = ask(socket, &Ask::Outcome { token })?;
        if let Ok(PastProposal { generation, outcome: end, .. }) = serde_json::from_value(end) {
            return Ok(match end {
                ProposalOutcome::Activated => {
                    println!("generation {} is in force", generation.unwrap_or_default());
                    ExitCode::SUCCESS
                }
                ProposalOutcome::Rejected(why) | ProposalOutcome::Cancelled(why) => {
                    println!("not done: {why}");
                    ExitCode::from(1)
                }
            });
        }
        let waits = proposing.wait.map(Duration::from_secs);
        if waits.is_none_or(|wait| begun.elapsed() >= wait) {
            println!("under way, as {token:016x}");
            return Ok(ExitCode::from(if waits.is_some() { 3 } else { 0 }));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[cfg(test)]
#[path = "../tests/unit/council.rs"]
mod tests;

//! The control socket of a running router: a Unix socket that only the owner of the process can open.

use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use anyhow::{Context, Result};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::{Value, json};
use tindoor_consensus::Command;
use tindoor_policy::budgets::Budget;
use tindoor_policy::{PolicyVersion, Proposal, keys};
use tindoor_quota::{Quota, QuotaStatus, UNIT};

use super::control_protocol::{ControlRequest, PolicyChanges};
use crate::configuration::limits::PeerLimits;
use crate::fleet::{Fleet, FleetStatus};
use crate::timeout::with_timeout;

/// The file mode of the socket: read and write access for the owner only.
const OWNER_ONLY: u32 = 0o600;

const READ_BUFFER_BYTES: usize = 4096;

/// The note that the history records for a revert.
const REVERT_NOTE: &str = "undone by its operator";

/// Accepts connections on the control socket and answers them.
pub async fn serve(
    executor: Rc<LocalExecutor<'static>>,
    fleet: Rc<Fleet>,
    path: PathBuf,
    limits: PeerLimits,
) -> Result<()> {
    let listener = Async::new(bind(&path)?)?;
    tracing::info!(path = %path.display(), "control socket listening");
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            async_io::Timer::after(limits.backoff).await;
            continue;
        };
        let fleet = Rc::clone(&fleet);
        executor.spawn(async move { serve_connection(&fleet, stream, &limits).await }).detach();
    }
}

/// Binds the socket under a temporary path, restricts access to the owner, and then renames it to `path`, so
/// that no other user can open it before access is restricted.
fn bind(path: &Path) -> Result<UnixListener> {
    let temporary = path.with_extension("new");
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)
        .with_context(|| format!("fleet.operator: failed to bind {}", path.display()))?;
    std::fs::set_permissions(&temporary, std::fs::Permissions::from_mode(OWNER_ONLY))?;
    std::fs::rename(&temporary, path)?;
    Ok(listener)
}

/// Reads the single request of a connection and writes the answer.
async fn serve_connection(fleet: &Fleet, mut stream: Async<UnixStream>, limits: &PeerLimits) {
    let mut line = Vec::new();
    let read = read_line(&mut stream, &mut line, limits.max_message_bytes);
    if with_timeout(limits.write_timeout, read).await.is_err() {
        return;
    }
    let answer = match serde_json::from_slice::<ControlRequest>(&line) {
        Ok(request) => respond(fleet, request).unwrap_or_else(|error| json!({"error": error.to_string()})),
        Err(error) => json!({"error": format!("invalid request: {error}")}),
    };
    let _ = with_timeout(limits.write_timeout, stream.write_all(format!("{answer}\n").as_bytes())).await;
}

/// Reads until the end of the line or of the stream, or until `max_bytes` are reached.
async fn read_line(
    stream: &mut Async<UnixStream>,
    line: &mut Vec<u8>,
    max_bytes: usize,
) -> std::io::Result<()> {
    let mut buffer = [0; READ_BUFFER_BYTES];
    while line.last() != Some(&b'\n') && line.len() < max_bytes {
        match stream.read(&mut buffer).await? {
            0 => break,
            size => line.extend(&buffer[..size]),
        }
    }
    Ok(())
}

fn respond(fleet: &Fleet, request: ControlRequest) -> Result<Value> {
    match request {
        ControlRequest::Status => status(fleet),
        ControlRequest::Policy => {
            let version = version_in_force(fleet)?;
            let PolicyVersion { generation, hash, policy, .. } = version;
            Ok(json!({"generation": generation, "hash": hash, "policy": policy.0}))
        }
        ControlRequest::History => Ok(fleet.with_node(|node, _| json!(node.agreed().past))),
        ControlRequest::Quotas => Ok(Value::Array(fleet.quotas().into_iter().map(quota_status).collect())),
        ControlRequest::Bootstrap { changes } => bootstrap(fleet, changes),
        ControlRequest::Propose { changes, base_generation, author, note } => {
            propose(fleet, changes, base_generation, author, note)
        }
        ControlRequest::Revert { generation, author } => revert(fleet, generation, &author),
        ControlRequest::Withdraw { generation } => {
            send_command(fleet, Command::Withdraw { generation })?;
            Ok(json!({}))
        }
        ControlRequest::RemoveMember { name } => {
            send_command(fleet, Command::RemoveMember { name })?;
            Ok(json!({}))
        }
        ControlRequest::Outcome { token } => Ok(fleet
            .with_node(|node, _| node.agreed().past_proposal(token).map_or(Value::Null, |past| json!(past)))),
    }
}

fn status(fleet: &Fleet) -> Result<Value> {
    let FleetStatus { node, sent } = fleet.status();
    let mut value = serde_json::to_value(node)?;
    value["sent"] = json!({"bytes": sent.bytes, "messages": sent.messages});
    Ok(value)
}

fn quota_status(status: QuotaStatus) -> Value {
    let QuotaStatus { key, own, total } = status;
    let scope = format!("{:x}", key.scope);
    json!({"budget": Budget::name(key), "of": scope, "own": quota(own), "whole": quota(total)})
}

fn quota(quota: Quota) -> Value {
    json!({"per_s": quota.rate as f64 / UNIT as f64, "stock": quota.burst as f64 / UNIT as f64})
}

fn version_in_force(fleet: &Fleet) -> Result<PolicyVersion> {
    fleet
        .with_node(|node, _| node.in_force().cloned())
        .context("no policy is in force yet; `tindoor policy bootstrap` creates a new fleet")
}

fn bootstrap(fleet: &Fleet, changes: PolicyChanges) -> Result<Value> {
    let own = fleet.initial_policy();
    let policy = own.changed(changes);
    keys::check_change(&own, &policy, fleet.classes())?;
    let number = fleet.with_node(|node, now| node.bootstrap(now, policy))?;
    Ok(json!({"fleet": format!("{number:016x}")}))
}

fn propose(
    fleet: &Fleet,
    changes: PolicyChanges,
    base_generation: Option<u64>,
    author: String,
    note: String,
) -> Result<Value> {
    let token = fleet.with_node(|node, _| node.new_token());
    let in_force = version_in_force(fleet)?;
    let policy = in_force.policy.changed(changes);
    // The change is checked here so that an invalid one is rejected immediately. Each router checks it again
    // against its own state.
    keys::check_change(&in_force.policy, &policy, fleet.classes())?;
    let base_generation = base_generation.unwrap_or(in_force.generation);
    submit(fleet, Proposal { token, base_generation, policy, reverts: None, author, note })
}

fn revert(fleet: &Fleet, generation: Option<u64>, author: &str) -> Result<Value> {
    let proposal = fleet.with_node(|node, _| {
        let generation = generation.unwrap_or(node.agreed().generation());
        node.revert_proposal(generation, author, REVERT_NOTE)
    });
    submit(fleet, proposal?)
}

/// Submits a proposal and returns its token, which a later `Outcome` request refers to.
fn submit(fleet: &Fleet, proposal: Proposal) -> Result<Value> {
    let token = proposal.token;
    send_command(fleet, Command::Propose(proposal))?;
    Ok(json!({"token": token}))
}

fn send_command(fleet: &Fleet, command: Command) -> Result<()> {
    fleet.with_node(|node, now| node.submit(now, command))?;
    Ok(())
}

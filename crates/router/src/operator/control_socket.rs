//! The control socket of a running router: a Unix socket that only the owner of the process can open.

use std::convert::Infallible;
use std::io::{self, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Instant;

use anyhow::{Context, Result};
use async_executor::LocalExecutor;
use async_io::Async;
use bytes::BytesMut;
use futures_lite::{AsyncWriteExt, future};
use serde_json::{Value, json};
use socket2::SockRef;
use tindoor_consensus::Command;
use tindoor_policy::budgets::Budget;
use tindoor_policy::{PolicyVersion, Proposal, keys};
use tindoor_quota::{Quota, QuotaStatus, UNIT};

use super::control_protocol::{ControlRequest, PolicyChanges};
use crate::configuration::limits::PeerLimits;
use crate::connections::{
    Acceptor, ConnectionHandler, ConnectionState, ListenerRegistry, ManagedConnection, Phase, listener_names,
};
use crate::fleet::{Fleet, FleetStatus};
use crate::memory::{IncomingMessage, MemoryAccount, Sender, Standing, receive_some};
use crate::timeout::with_timeout;

/// The file mode of the socket: read and write access for the owner only.
const OWNER_ONLY: u32 = 0o600;

/// The note that the history records for a revert.
const REVERT_NOTE: &str = "undone by its operator";

/// Serves the connections of operators' commands.
pub struct ControlHandler {
    executor: Rc<LocalExecutor<'static>>,
    fleet: Rc<Fleet>,
    limits: PeerLimits,
    memory: Rc<MemoryAccount>,
}

impl ControlHandler {
    /// Creates a handler.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        fleet: Rc<Fleet>,
        limits: PeerLimits,
        memory: Rc<MemoryAccount>,
    ) -> Self {
        Self { executor, fleet, limits, memory }
    }
}

/// One connection of a command, which sends one request.
struct ControlConnection {
    stream: Async<UnixStream>,
    state: ConnectionState,
}

impl ManagedConnection for ControlConnection {
    fn state(&self) -> &ConnectionState {
        &self.state
    }

    fn socket(&self) -> SockRef<'_> {
        SockRef::from(self.stream.get_ref())
    }

    fn is_busy(&self) -> bool {
        self.state.has_sent_message()
    }

    fn closes_at_shutdown(&self) -> bool {
        false
    }

    fn begin_close(&self) -> bool {
        self.state.advance(Phase::Ended);
        true
    }

    fn stop(&self) {}
}

impl ConnectionHandler for ControlHandler {
    type Listener = UnixListener;

    fn serve(&self, stream: UnixStream) -> io::Result<Rc<dyn ManagedConnection>> {
        let connection =
            Rc::new(ControlConnection { stream: Async::new(stream)?, state: ConnectionState::default() });
        let (fleet, limits, served) = (Rc::clone(&self.fleet), self.limits, Rc::clone(&connection));
        let memory = Rc::clone(&self.memory);
        let task = async move {
            let closed = served.state.wait_for(Phase::Ended);
            future::or(serve_connection(&fleet, &served, &limits, &memory), closed).await;
        };
        self.executor.spawn(task).detach();
        Ok(connection)
    }

    fn refuse(&self, mut stream: UnixStream) {
        let answer = json!({"error": "too many commands at once; try again"});
        if stream.set_nonblocking(true).is_ok() {
            let _ = stream.write_all(format!("{answer}\n").as_bytes());
        }
    }
}

/// Accepts connections on the control socket and answers them, for as long as the router runs.
pub async fn serve(
    handler: ControlHandler,
    listeners: Rc<ListenerRegistry>,
    path: PathBuf,
    limits: PeerLimits,
) -> Result<Infallible> {
    let listener = Async::new(bind(&path)?)?;
    tracing::info!(path = %path.display(), "control socket listening");
    let table = listeners.add(listener_names::OPERATOR, limits.operator_connections);
    Ok(Acceptor::new(handler, listener, table, listeners, limits.backoff).run().await)
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
async fn serve_connection(
    fleet: &Fleet,
    connection: &ControlConnection,
    limits: &PeerLimits,
    memory: &MemoryAccount,
) {
    let mut stream = &connection.stream;
    let read = read_line(connection, limits.max_message_bytes, memory);
    let Ok(line) = with_timeout(limits.progress_timeout, read).await else { return };
    connection.state.record_message(Instant::now());
    let answer = match serde_json::from_slice::<ControlRequest>(&line) {
        Ok(request) => respond(fleet, request).unwrap_or_else(|error| json!({"error": error.to_string()})),
        Err(error) => json!({"error": format!("invalid request: {error}")}),
    };
    let _ = with_timeout(limits.progress_timeout, stream.write_all(format!("{answer}\n").as_bytes())).await;
}

/// Reads until the end of the line or of the stream, or until `max_bytes` are reached.
async fn read_line(
    connection: &ControlConnection,
    max_bytes: usize,
    memory: &MemoryAccount,
) -> io::Result<BytesMut> {
    let sender = Sender { listener: listener_names::OPERATOR, address: None };
    let line = IncomingMessage::new(&memory.incoming, sender);
    loop {
        // A command that arrives in many pieces must not starve other tasks.
        future::yield_now().await;
        let received = receive_some(&connection.stream, &line, memory, Standing::Unproven, None).await?;
        let is_complete = line.buffer().last() == Some(&b'\n');
        if received == 0 || is_complete || line.len() >= max_bytes {
            return Ok(line.take());
        }
    }
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

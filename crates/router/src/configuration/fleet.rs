//! What the router's own file says of its fleet.

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::{Result, anyhow, ensure};
use serde::Deserialize;
use tindoor::time::Span;
use tindoor_membership::Timings;

/// The longest lease and probation, in milliseconds.
const MAX_LEASE_MS: u64 = 3_600_000;
const MAX_PROBATION_MS: u64 = 3_600_000;

/// The longest grace after the loss of a quorum, in milliseconds.
const MAX_QUORUM_LOSS_GRACE_MS: u64 = 86_400_000;

const MAX_WEIGHT: u64 = 1000;
const MAX_VOTERS: usize = 7;

/// The fleet of this router. The name, the timings and the number of voters must be the same at all its
/// routers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfiguration {
    /// The fleet's name.
    pub name: String,
    /// Where this router listens for its peers.
    pub listen: SocketAddr,
    /// Where peers reach it, if not where it listens.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Addresses of the routers to contact first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether it may be a voter.
    #[serde(default, rename = "votes")]
    pub may_vote: bool,
    /// The directory of a voter's stable storage; without one, a restarted process is a new voter.
    #[serde(default, rename = "folder")]
    pub storage_directory: Option<PathBuf>,
    /// The path of the operator's socket.
    #[serde(default, rename = "operator")]
    pub operator_socket: Option<PathBuf>,
    /// Voters that the fleet should have.
    #[serde(default = "default_voters")]
    pub voters: usize,
    /// The lease, in milliseconds.
    #[serde(default = "default_number::<2_000>")]
    pub lease_ms: u64,
    /// How long the fleet goes on without a quorum of its voters, in milliseconds.
    #[serde(default = "default_number::<600_000>", rename = "hold_out_ms")]
    pub quorum_loss_grace_ms: u64,
    /// How far any two routers may differ in the fleet's time, in milliseconds.
    #[serde(default = "default_number::<50>")]
    pub clock_bound_ms: u64,
    /// The heartbeat interval, in milliseconds.
    #[serde(default = "default_number::<250>", rename = "beat_ms")]
    pub heartbeat_interval_ms: u64,
    /// How far a clock may be off its true rate, in parts per million.
    #[serde(default = "default_number::<200>")]
    pub drift_ppm: u64,
    /// How long a change is on probation, in milliseconds.
    #[serde(default = "default_number::<30_000>")]
    pub probation_ms: u64,
    /// This router's weight where budgets are divided.
    #[serde(default = "default_number::<1>")]
    pub weight: u64,
}

fn default_voters() -> usize {
    3
}

fn default_number<const NUMBER: u64>() -> u64 {
    NUMBER
}

impl FleetConfiguration {
    /// Checks the values, and returns the fleet's timings.
    pub fn timings(&self) -> Result<Timings> {
        ensure!(
            self.lease_ms <= MAX_LEASE_MS && self.quorum_loss_grace_ms <= MAX_QUORUM_LOSS_GRACE_MS,
            "fleet.hold_out_ms: over a day"
        );
        ensure!(self.probation_ms <= MAX_PROBATION_MS, "fleet.probation_ms: over an hour");
        let (weight, voters) = (self.weight, self.voters);
        ensure!((1..=MAX_WEIGHT).contains(&weight), "fleet.weight: {weight} is not from 1 to {MAX_WEIGHT}");
        ensure!((1..=MAX_VOTERS).contains(&voters), "fleet.voters: {voters} is not from 1 to {MAX_VOTERS}");
        let is_one_word = !self.name.is_empty() && !self.name.contains(char::is_whitespace);
        ensure!(is_one_word, "fleet.name: not one word");
        ensure!(self.may_vote || self.storage_directory.is_none(), "fleet.folder: of no use without `votes`");
        let timings = Timings {
            lease: Span::millis(self.lease_ms),
            quorum_loss_grace: Span::millis(self.quorum_loss_grace_ms),
            clock_bound: Span::millis(self.clock_bound_ms),
            heartbeat_interval: Span::millis(self.heartbeat_interval_ms),
            drift_ppm: self.drift_ppm,
        };
        timings.check().map_err(|error| anyhow!("fleet.{error}"))?;
        Ok(timings)
    }
}

//! The fleet section of the fronts file.

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::{Result, anyhow, ensure};
use serde::Deserialize;
use tindoor::time::Span;
use tindoor_membership::Timings;

/// The longest lease, in milliseconds: one hour.
const MAX_LEASE_MS: u64 = 3_600_000;
/// The longest probation, in milliseconds: one hour.
const MAX_PROBATION_MS: u64 = 3_600_000;

/// The longest grace period after the loss of a quorum, in milliseconds: one day.
const MAX_QUORUM_LOSS_GRACE_MS: u64 = 86_400_000;

const MAX_WEIGHT: u64 = 1000;
const MAX_VOTERS: usize = 7;

/// The fleet that this router belongs to. The name, the timings and the number of voters must be the same in
/// all routers of a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfiguration {
    /// The fleet's name, without whitespace.
    pub name: String,
    /// The address on which this router listens for its peers.
    pub listen: SocketAddr,
    /// The address at which peers reach this router; `None` if it is the listen address.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// The addresses of the routers to contact at startup.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether this router may become a voter.
    #[serde(default, rename = "votes")]
    pub may_vote: bool,
    /// The directory of a voter's stable storage. Without a directory, a restarted process is a new voter.
    #[serde(default, rename = "folder")]
    pub storage_directory: Option<PathBuf>,
    /// The path of the control socket for operators.
    #[serde(default, rename = "operator")]
    pub operator_socket: Option<PathBuf>,
    /// The target number of voters in the fleet.
    #[serde(default = "default_voters")]
    pub voters: usize,
    /// The duration of a router's lease, in milliseconds.
    #[serde(default = "default_number::<2_000>")]
    pub lease_ms: u64,
    /// How long the fleet keeps serving without a quorum of its voters, in milliseconds.
    #[serde(default = "default_number::<600_000>", rename = "hold_out_ms")]
    pub quorum_loss_grace_ms: u64,
    /// The maximum difference between the fleet's time as estimated by any two routers, in milliseconds.
    #[serde(default = "default_number::<50>")]
    pub clock_bound_ms: u64,
    /// The heartbeat interval, in milliseconds.
    #[serde(default = "default_number::<250>", rename = "beat_ms")]
    pub heartbeat_interval_ms: u64,
    /// The maximum deviation of a clock from its nominal rate, in parts per million.
    #[serde(default = "default_number::<200>")]
    pub drift_ppm: u64,
    /// How long a policy change is on probation, in milliseconds.
    #[serde(default = "default_number::<30_000>")]
    pub probation_ms: u64,
    /// This router's weight when the fleet's budgets are divided among the routers.
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
    /// Checks the values and returns the fleet's timings.
    pub fn timings(&self) -> Result<Timings> {
        ensure!(
            self.lease_ms <= MAX_LEASE_MS && self.quorum_loss_grace_ms <= MAX_QUORUM_LOSS_GRACE_MS,
            "fleet: expected lease_ms up to {MAX_LEASE_MS} and hold_out_ms up to {MAX_QUORUM_LOSS_GRACE_MS}, \
             found {} and {}",
            self.lease_ms,
            self.quorum_loss_grace_ms
        );
        ensure!(
            self.probation_ms <= MAX_PROBATION_MS,
            "fleet.probation_ms: expected at most {MAX_PROBATION_MS}, found {}",
            self.probation_ms
        );
        let (weight, voters) = (self.weight, self.voters);
        ensure!(
            (1..=MAX_WEIGHT).contains(&weight),
            "fleet.weight: expected 1 to {MAX_WEIGHT}, found {weight}"
        );
        ensure!(
            (1..=MAX_VOTERS).contains(&voters),
            "fleet.voters: expected 1 to {MAX_VOTERS}, found {voters}"
        );
        let is_one_word = !self.name.is_empty() && !self.name.contains(char::is_whitespace);
        ensure!(is_one_word, "fleet.name: expected one word, found {:?}", self.name);
        ensure!(
            self.may_vote || self.storage_directory.is_none(),
            "fleet.folder: only used by voters; set `votes` to true or remove it"
        );
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

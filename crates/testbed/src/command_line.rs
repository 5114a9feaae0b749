//! The command line. Doc comments of options are their help texts.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use tindoor_testbed::cluster;

/// Experiments on loopback with stand-ins; each ends with 1 where a rule was broken.
#[derive(Parser)]
#[command(name = "tindoor-testbed", version)]
pub struct CommandLine {
    #[command(subcommand)]
    pub experiment: Experiment,
}

#[derive(Subcommand)]
pub enum Experiment {
    /// A router, caches and a client of the platform's front.
    Demo(CommonArgs),
    /// Proxies that call for each request, with faults.
    #[command(name = "called")]
    ExternalProcessing(ExternalProcessingArgs),
    /// Links of every kind, good and bent, with a key revoked halfway.
    Signed(SignedArgs),
    /// What a choice takes at so many streams, against a call that is refused before anybody is asked.
    Choices(ChoicesArgs),
    /// Routers of one fleet as processes: changes of policy, with faults between them. Guards: lease, staged,
    /// compare, incarnation, pinned, synced.
    Policy(ClusterArgs),
    /// Routers of one fleet as processes that divide its budgets, with faults between them. Guards: lapse,
    /// epoch, returned, burst, wakes, floor.
    Budgets(ClusterArgs),
    /// A fleet in virtual time, without sockets: changes of policy under faults, one day for each seed.
    Simulated(SimulationArgs),
    /// Plots of simulated days, as SVG.
    Plots(PlotsArgs),
    /// Memory of the router with calls held open.
    Memory(MemoryArgs),
}

impl Experiment {
    /// The options that all experiments share.
    pub fn common(&self) -> &CommonArgs {
        match self {
            Self::Demo(common) => common,
            Self::ExternalProcessing(args) => &args.common,
            Self::Signed(args) => &args.common,
            Self::Choices(args) => &args.common,
            Self::Policy(args) | Self::Budgets(args) => &args.common,
            Self::Simulated(args) => &args.common,
            Self::Plots(args) => &args.common,
            Self::Memory(args) => &args.common,
        }
    }
}

#[derive(Args)]
pub struct CommonArgs {
    /// Draws all that is left to chance.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many requests are asked, at most.
    #[arg(long, alias = "views", default_value_t = 2000)]
    pub requests: u64,
    /// How long requests are asked, at most.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// One JSON object in place of the table.
    #[arg(long)]
    pub json: bool,
}

#[derive(Args)]
pub struct ExternalProcessingArgs {
    #[command(flatten)]
    pub common: CommonArgs,
    /// Faults by name, with commas between; `all` for every one.
    #[arg(long, default_value = "")]
    pub faults: String,
    /// Takes one guard out (a build of the router for tests only): marks, tickets, withdraw, leases.
    #[arg(long)]
    pub without: Option<String>,
    /// Clients that ask at once.
    #[arg(long, default_value_t = 48)]
    pub clients: u64,
}

#[derive(Args)]
pub struct SignedArgs {
    #[command(flatten)]
    pub common: CommonArgs,
    /// How far the signers' clocks are off, in seconds.
    #[arg(long, default_value_t = 0, allow_hyphen_values = true)]
    pub signer_off: i64,
    /// Caches and signers agree on a time that is off the router's by so many seconds.
    #[arg(long, allow_hyphen_values = true)]
    pub router_off: Option<i64>,
    /// Takes one guard out (a build of the router for tests only): links, revoked.
    #[arg(long)]
    pub without: Option<String>,
}

#[derive(Args)]
pub struct ChoicesArgs {
    #[command(flatten)]
    pub common: CommonArgs,
    /// Streams that ask at once.
    #[arg(long, default_value_t = 64)]
    pub streams: u64,
    /// How long each pauses between two calls, in microseconds; without it the router is full.
    #[arg(long, default_value_t = 0)]
    pub pause_us: u64,
}

#[derive(Args)]
pub struct ClusterArgs {
    #[command(flatten)]
    pub common: CommonArgs,
    #[arg(long, default_value_t = 5)]
    pub routers: usize,
    /// Faults by name, with commas between; `all` for every one.
    #[arg(long, default_value = "")]
    pub faults: String,
    /// Takes one guard out (a build of the router for tests only).
    #[arg(long)]
    pub without: Option<String>,
    /// Shows what routers said of their fleet, whatever came of it.
    #[arg(long)]
    pub logs: bool,
    /// The fleet's lease, in milliseconds.
    #[arg(long, default_value_t = 1500)]
    pub lease_ms: u64,
    /// Fills by the origin where they are divided: how many a second, their burst, and how many at once.
    #[arg(long, num_args = 3, default_values_t = [60.0, 30.0, 40.0])]
    pub fills: Vec<f64>,
}

impl ClusterArgs {
    /// The plan of an experiment with a process cluster.
    pub fn into_plan(self, few_voters: bool) -> cluster::Plan {
        cluster::Plan {
            seed: self.common.seed,
            requests: self.common.requests,
            seconds: self.common.seconds,
            routers: self.routers,
            faults: self.faults,
            without: self.without,
            few_voters,
            lease: self.lease_ms,
            logs: self.logs,
            fills: [self.fills[0], self.fills[1], self.fills[2]],
        }
    }
}

#[derive(Args)]
pub struct SimulationArgs {
    #[command(flatten)]
    pub common: CommonArgs,
    /// How many days, from the seed on.
    #[arg(long, default_value_t = 100)]
    pub days: u64,
    #[arg(long, default_value_t = 7)]
    pub routers: usize,
    /// Faults by name, with commas between; `all` for every one.
    #[arg(long, default_value = "")]
    pub faults: String,
    /// Takes one guard out: lease, staged, compare; with a budget lapse, epoch, returned, burst, wakes,
    /// floor.
    #[arg(long)]
    pub without: Option<String>,
    /// By a simple way in place of the fleet's own: told, two-phase.
    #[arg(long = "way", value_name = "WAY")]
    pub baseline: Option<String>,
    /// Divides so many fills by the origin a second among the routers.
    #[arg(long)]
    pub budget: Option<f64>,
    /// Shows steps and faults as they come: of use for one day.
    #[arg(long = "shown")]
    pub trace: bool,
}

#[derive(Args)]
pub struct PlotsArgs {
    #[command(flatten)]
    pub common: CommonArgs,
    #[arg(long, default_value = "docs/plots")]
    pub out: PathBuf,
}

#[derive(Args)]
pub struct MemoryArgs {
    #[command(flatten)]
    pub common: CommonArgs,
    /// Streams on each connection, and connections.
    #[arg(long, default_value_t = 1000)]
    pub streams: usize,
    #[arg(long, default_value_t = 10)]
    pub connections: usize,
}

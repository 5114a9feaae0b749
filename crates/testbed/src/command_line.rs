//! The command line. Doc comments of options are their help texts.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use tindoor_testbed::cluster;

/// Runs experiments with the router and stand-in caches and clients on loopback. The exit code is 1 if a rule
/// was broken, and 2 if the experiment could not run.
#[derive(Parser)]
#[command(name = "tindoor-testbed", version)]
pub struct CommandLine {
    #[command(subcommand)]
    pub experiment: Experiment,
}

#[derive(Subcommand)]
pub enum Experiment {
    /// Runs a router, caches and one client of the platform's front.
    Demo(CommonArgs),
    /// Runs proxies that call the router for each request, with injected faults.
    #[command(name = "called")]
    ExternalProcessing(ExternalProcessingArgs),
    /// Sends requests with signed URLs of every kind, valid and tampered, and revokes one key after
    /// half of them.
    Signed(SignedArgs),
    /// Measures the cost of a routing decision on concurrent streams, compared with a call that the router
    /// rejects while it parses the headers.
    Choices(ChoicesArgs),
    /// Changes the policy of a fleet of router processes while faults are injected. Checks that `--without`
    /// can disable: lease, staged, compare, incarnation, pinned, synced.
    Policy(ClusterArgs),
    /// Divides the budgets of a fleet among its router processes while faults are injected. Checks that
    /// `--without` can disable: lapse, epoch, returned, burst, wakes, floor.
    Budgets(ClusterArgs),
    /// Simulates policy changes of a fleet under faults in virtual time, without sockets, one day for each
    /// seed.
    Simulated(SimulationArgs),
    /// Plots simulated days as SVG files.
    Plots(PlotsArgs),
    /// Measures the memory of the router while streams are held open.
    Memory(MemoryArgs),
}

impl Experiment {
    /// Returns the options that all experiments share.
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
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Maximum number of requests that are sent.
    #[arg(long, alias = "views", default_value_t = 2000)]
    pub requests: u64,
    /// Maximum time during which requests are sent, in seconds. For `policy`, `budgets` and `simulated` it is
    /// the time during which faults are injected.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Prints the report as one JSON object instead of a table.
    #[arg(long)]
    pub json: bool,
}

#[derive(Args)]
pub struct ExternalProcessingArgs {
    #[command(flatten)]
    pub common: CommonArgs,
    /// Names of the faults to inject, separated by commas; `all` injects every fault.
    #[arg(long, default_value = "")]
    pub faults: String,
    /// Disables one check of the router (needs a router built for tests): marks, tickets, withdraw, leases.
    #[arg(long)]
    pub without: Option<String>,
    /// Number of concurrent clients.
    #[arg(long, default_value_t = 48)]
    pub clients: u64,
}

#[derive(Args)]
pub struct SignedArgs {
    #[command(flatten)]
    pub common: CommonArgs,
    /// Offset of the signers' clocks from the caches' clocks, in seconds.
    #[arg(long, default_value_t = 0, allow_hyphen_values = true)]
    pub signer_off: i64,
    /// Offset of the caches' and signers' clocks from the router's clock, in seconds. If it is set, the
    /// caches report their time in `Date` headers.
    #[arg(long, allow_hyphen_values = true)]
    pub router_off: Option<i64>,
    /// Disables one check of the router (needs a router built for tests): links, revoked, clock.
    #[arg(long)]
    pub without: Option<String>,
}

#[derive(Args)]
pub struct ChoicesArgs {
    #[command(flatten)]
    pub common: CommonArgs,
    /// Number of concurrent streams.
    #[arg(long, default_value_t = 64)]
    pub streams: u64,
    /// Mean pause of a stream between two calls, in microseconds. Without a pause the router is saturated.
    #[arg(long, default_value_t = 0)]
    pub pause_us: u64,
}

#[derive(Args)]
pub struct ClusterArgs {
    #[command(flatten)]
    pub common: CommonArgs,
    /// Number of routers.
    #[arg(long, default_value_t = 5)]
    pub routers: usize,
    /// Names of the faults to inject, separated by commas; `all` injects every fault.
    #[arg(long, default_value = "")]
    pub faults: String,
    /// Disables one check of the router (needs a router built for tests).
    #[arg(long)]
    pub without: Option<String>,
    /// Prints the routers' log lines about their fleet even if no rule was broken.
    #[arg(long)]
    pub logs: bool,
    /// The fleet's lease, in milliseconds.
    #[arg(long, default_value_t = 1500)]
    pub lease_ms: u64,
    /// Limits of fills from the origin that the routers divide: fills per second, burst, and fills in flight.
    #[arg(long, num_args = 3, default_values_t = [60.0, 30.0, 40.0])]
    pub fills: Vec<f64>,
}

impl ClusterArgs {
    /// Converts the options to the plan of an experiment with router processes.
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
    /// Number of simulated days. The first day uses the seed, and each further day the next number.
    #[arg(long, default_value_t = 100)]
    pub days: u64,
    /// Number of routers.
    #[arg(long, default_value_t = 7)]
    pub routers: usize,
    /// Names of the faults to inject, separated by commas; `all` injects every fault.
    #[arg(long, default_value = "")]
    pub faults: String,
    /// Disables one check: lease, staged or compare, and with `--budget` also lapse, epoch, returned, burst,
    /// wakes or floor.
    #[arg(long)]
    pub without: Option<String>,
    /// Distributes policies by a simpler protocol, for comparison: told (each router applies a change as
    /// soon as it is notified) or two-phase (two-phase commit).
    #[arg(long = "way", value_name = "WAY")]
    pub baseline: Option<String>,
    /// Fills from the origin per second that are divided among the routers. Without it, no budget is
    /// simulated.
    #[arg(long)]
    pub budget: Option<f64>,
    /// Prints transitions and faults as they occur, which is useful for a single day.
    #[arg(long = "shown")]
    pub trace: bool,
}

#[derive(Args)]
pub struct PlotsArgs {
    #[command(flatten)]
    pub common: CommonArgs,
    /// Directory that the plots are written to.
    #[arg(long, default_value = "docs/plots")]
    pub out: PathBuf,
}

#[derive(Args)]
pub struct MemoryArgs {
    #[command(flatten)]
    pub common: CommonArgs,
    /// Number of streams on each connection.
    #[arg(long, default_value_t = 1000)]
    pub streams: usize,
    /// Number of connections.
    #[arg(long, default_value_t = 10)]
    pub connections: usize,
}

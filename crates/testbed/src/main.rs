//! The project's experiments, by name.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use tindoor_testbed::cluster::Plan;
use tindoor_testbed::external_processing;
use tindoor_testbed::figures::Figures;
use tindoor_testbed::simulation::baselines::Baseline;
use tindoor_testbed::simulation::{many_days, plots};
use tindoor_testbed::{budgets, choices, demo, policy, signed};

/// Experiments on loopback with stand-ins; each ends with 1 where a rule was broken.
#[derive(Parser)]
#[command(name = "tindoor-testbed", version)]
struct Line {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Args)]
struct Common {
    /// Draws all that is left to chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many requests are asked, at most.
    #[arg(long, alias = "views", default_value_t = 2000)]
    requests: u64,
    /// How long requests are asked, at most.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// One JSON object in place of the table.
    #[arg(long)]
    json: bool,
}

/// Several routers as processes.
#[derive(Args)]
struct Several {
    #[command(flatten)]
    common: Common,
    #[arg(long, default_value_t = 5)]
    routers: usize,
    /// Faults by name, with commas between; `all` for every one.
    #[arg(long, default_value = "")]
    faults: String,
    /// Takes one guard out (a build of the router for tests only).
    #[arg(long)]
    without: Option<String>,
    /// Shows what routers said of their fleet, whatever came of it.
    #[arg(long)]
    logs: bool,
    /// The fleet's lease, in milliseconds.
    #[arg(long, default_value_t = 1500)]
    lease_ms: u64,
    /// Fills by the origin where they are divided: how many a second, their burst, and how many at once.
    #[arg(long, num_args = 3, default_values_t = [60.0, 30.0, 40.0])]
    fills: Vec<f64>,
}

impl Several {
    fn plan(self, few_voters: bool) -> (Common, Plan) {
        let Self { common, routers, faults, without, logs, lease_ms, fills } = self;
        let Common { seed, requests, seconds, .. } = common;
        let (lease, fills) = (lease_ms, [fills[0], fills[1], fills[2]]);
        (common, Plan { seed, requests, seconds, routers, faults, without, few_voters, lease, logs, fills })
    }
}

#[derive(Subcommand)]
enum Experiment {
    /// A router, caches and a client of the platform's front.
    Demo(Common),
    /// Proxies that call for each request, with faults.
    Called {
        #[command(flatten)]
        common: Common,
        /// Faults by name, with commas between; `all` for every one.
        #[arg(long, default_value = "")]
        faults: String,
        /// Takes one guard out (a build of the router for tests only): marks, tickets, withdraw, leases.
        #[arg(long)]
        without: Option<String>,
        /// Clients that ask at once.
        #[arg(long, default_value_t = 48)]
        clients: u64,
    },
    /// Links of every kind, good and bent, with a key revoked halfway.
    Signed {
        #[command(flatten)]
        common: Common,
        /// How far the signers' clocks are off, in seconds.
        #[arg(long, default_value_t = 0, allow_hyphen_values = true)]
        signer_off: i64,
        /// Caches and signers agree on a time that is off the router's by so many seconds.
        #[arg(long, allow_hyphen_values = true)]
        router_off: Option<i64>,
        /// Takes one guard out (a build of the router for tests only): links, revoked.
        #[arg(long)]
        without: Option<String>,
    },
    /// What a choice takes at so many streams, against a call that is refused before anybody is asked.
    Choices {
        #[command(flatten)]
        common: Common,
        /// Streams that ask at once.
        #[arg(long, default_value_t = 64)]
        streams: u64,
        /// How long each pauses between two calls, in microseconds; without it the router is full.
        #[arg(long, default_value_t = 0)]
        pause_us: u64,
    },
    /// Routers of one fleet as processes: changes of policy, with faults between them. Guards: lease, staged,
    /// compare, incarnation, pinned, synced.
    Policy(Several),
    /// Routers of one fleet as processes that divide its budgets, with faults between them. Guards: lapse,
    /// epoch, returned, burst, wakes, floor.
    Budgets(Several),
    /// A fleet in virtual time, without sockets: changes of policy under faults, one day for each seed.
    Simulated {
        #[command(flatten)]
        common: Common,
        /// How many days, from the seed on.
        #[arg(long, default_value_t = 100)]
        days: u64,
        #[arg(long, default_value_t = 7)]
        routers: usize,
        /// Faults by name, with commas between; `all` for every one.
        #[arg(long, default_value = "")]
        faults: String,
        /// Takes one guard out: lease, staged, compare; with a budget lapse, epoch, returned, burst, wakes,
        /// floor.
        #[arg(long)]
        without: Option<String>,
        /// By a simple way in place of the fleet's own: told, two-phase.
        #[arg(long)]
        way: Option<String>,
        /// Divides so many fills by the origin a second among the routers.
        #[arg(long)]
        budget: Option<f64>,
        /// Shows steps and faults as they come: of use for one day.
        #[arg(long)]
        shown: bool,
    },
    /// Plots of simulated days, as SVG.
    Plots {
        #[command(flatten)]
        common: Common,
        #[arg(long, default_value = "docs/plots")]
        out: std::path::PathBuf,
    },
    /// Memory of the router with calls held open.
    Memory {
        #[command(flatten)]
        common: Common,
        /// Streams on each connection, and connections.
        #[arg(long, default_value_t = 1000)]
        streams: usize,
        #[arg(long, default_value_t = 10)]
        connections: usize,
    },
}

fn main() -> ExitCode {
    let (common, figures) = match Line::parse().experiment {
        Experiment::Demo(common) => {
            let figures = demo::run(common.seed, common.requests, common.seconds);
            (common, figures)
        }
        Experiment::Called { common, faults, without, clients } => {
            let Common { seed, requests, seconds, .. } = common;
            let figures = external_processing::Plan::faults(&faults).and_then(|faults| {
                external_processing::run(&external_processing::Plan {
                    seed,
                    requests,
                    seconds,
                    faults,
                    without,
                    clients,
                })
            });
            (common, figures)
        }
        Experiment::Signed { common, signer_off, router_off, without } => {
            let Common { seed, requests, .. } = common;
            (common, signed::run(&signed::Plan { seed, requests, signer_off, router_off, without }))
        }
        Experiment::Choices { common, streams, pause_us } => {
            let figures =
                choices::run(common.seed, common.requests, streams, Duration::from_micros(pause_us));
            (common, figures)
        }
        Experiment::Policy(several) => {
            let (common, plan) = several.plan(false);
            (common, policy::run(&plan))
        }
        // Three voters, so that the others are more than half.
        Experiment::Budgets(several) => {
            let (common, plan) = several.plan(true);
            (common, budgets::run(&plan))
        }
        Experiment::Simulated { common, days, routers, faults, without, way, budget, shown } => {
            let plan = many_days::Plan {
                seed: common.seed,
                seconds: common.seconds,
                days,
                routers,
                faults,
                disabled_check: without,
                fills_per_second: budget,
                trace: shown,
            };
            let figures = match way.as_deref() {
                None => many_days::run(&plan),
                Some("told") => many_days::run_baseline(&plan, Baseline::FileReload),
                Some("two-phase") => many_days::run_baseline(&plan, Baseline::TwoPhaseCommit),
                Some(other) => Err(anyhow::anyhow!("no such way: {other}; there are told, two-phase")),
            };
            (common, figures)
        }
        Experiment::Plots { common, out } => {
            let figures = plots::draw(common.seed, &out).map(|drawn| {
                let more = drawn.into_iter().map(|(name, lines)| (name, serde_json::json!(lines)));
                Figures { more: more.collect(), ..Figures::default() }
            });
            (common, figures)
        }
        Experiment::Memory { common, streams, connections } => {
            (common, choices::memory(streams, connections))
        }
    };
    match figures {
        Ok(figures) => show(&figures, common.json),
        Err(what) => {
            eprintln!("{what:#}");
            ExitCode::from(2)
        }
    }
}

fn show(figures: &Figures, json: bool) -> ExitCode {
    match json {
        true => println!("{}", serde_json::to_string(figures).expect("plain figures")),
        false => print!("{}", figures.table()),
    }
    ExitCode::from(u8::from(figures.rules_broken > 0))
}

//! The project's experiments, by name.

use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use tindoor_lab::called::{self, Plan};
use tindoor_lab::demo;
use tindoor_lab::figures::Figures;

/// Experiments on loopback with stand-ins; each ends with 1 where a rule was broken.
#[derive(Parser)]
#[command(name = "tindoor-lab", version)]
struct Line {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Args)]
struct Common {
    /// Draws all that is left to chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many views are asked, at most.
    #[arg(long, default_value_t = 2000)]
    views: u64,
    /// How long views are asked, at most.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// One JSON object in place of the table.
    #[arg(long)]
    json: bool,
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
}

fn main() -> ExitCode {
    let (common, figures) = match Line::parse().experiment {
        Experiment::Demo(common) => {
            let figures = demo::run(common.seed, common.views, common.seconds);
            (common, figures)
        }
        Experiment::Called { common, faults, without, clients } => {
            let Common { seed, views, seconds, .. } = common;
            let figures = Plan::faults(&faults)
                .and_then(|faults| called::run(&Plan { seed, views, seconds, faults, without, clients }));
            (common, figures)
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

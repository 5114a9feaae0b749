//! Command-line program that runs one experiment of the testbed and prints its report.

mod command_line;

use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Result, bail};
use clap::Parser;
use serde_json::json;
use tindoor_testbed::external_processing;
use tindoor_testbed::figures::Figures;
use tindoor_testbed::simulation::baselines::Baseline;
use tindoor_testbed::simulation::{many_days, plots};
use tindoor_testbed::{budgets, choices, demo, policy, signed};

use command_line::{
    ChoicesArgs, CommandLine, Experiment, ExternalProcessingArgs, PlotsArgs, SignedArgs, SimulationArgs,
};

fn main() -> ExitCode {
    let experiment = CommandLine::parse().experiment;
    let as_json = experiment.common().json;
    match run(experiment) {
        Ok(figures) => print_report(&figures, as_json),
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(2)
        }
    }
}

fn run(experiment: Experiment) -> Result<Figures> {
    match experiment {
        Experiment::Demo(common) => demo::run(common.seed, common.requests, common.seconds),
        Experiment::ExternalProcessing(args) => run_external_processing(args),
        Experiment::Signed(args) => run_signed(args),
        Experiment::Choices(args) => run_choices(&args),
        Experiment::Policy(args) => policy::run(&args.into_plan(false)),
        // Limits the fleet to three voters, so that the routers that do not vote are a majority of it.
        Experiment::Budgets(args) => budgets::run(&args.into_plan(true)),
        Experiment::Simulated(args) => run_simulation(args),
        Experiment::Plots(args) => draw_plots(&args),
        Experiment::Memory(args) => choices::memory(args.streams, args.connections),
    }
}

fn run_external_processing(args: ExternalProcessingArgs) -> Result<Figures> {
    external_processing::run(&external_processing::Plan {
        seed: args.common.seed,
        requests: args.common.requests,
        seconds: args.common.seconds,
        faults: external_processing::Plan::faults(&args.faults)?,
        without: args.without,
        clients: args.clients,
    })
}

fn run_signed(args: SignedArgs) -> Result<Figures> {
    signed::run(&signed::Plan {
        seed: args.common.seed,
        requests: args.common.requests,
        signer_off: args.signer_off,
        router_off: args.router_off,
        without: args.without,
    })
}

fn run_choices(args: &ChoicesArgs) -> Result<Figures> {
    let pause = Duration::from_micros(args.pause_us);
    choices::run(args.common.seed, args.common.requests, args.streams, pause)
}

fn run_simulation(args: SimulationArgs) -> Result<Figures> {
    let plan = many_days::Plan {
        seed: args.common.seed,
        seconds: args.common.seconds,
        days: args.days,
        routers: args.routers,
        faults: args.faults,
        disabled_check: args.without,
        fills_per_second: args.budget,
        trace: args.trace,
    };
    match args.baseline.as_deref() {
        None => many_days::run(&plan),
        Some("told") => many_days::run_baseline(&plan, Baseline::FileReload),
        Some("two-phase") => many_days::run_baseline(&plan, Baseline::TwoPhaseCommit),
        Some(other) => bail!("unknown value of --way: {other}; expected told or two-phase"),
    }
}

fn draw_plots(args: &PlotsArgs) -> Result<Figures> {
    let drawn = plots::draw(args.common.seed, &args.out)?;
    let more = drawn.into_iter().map(|(name, lines)| (name, json!(lines))).collect();
    Ok(Figures { more, ..Figures::default() })
}

/// Prints the report and returns the exit code: 1 if a rule was broken, otherwise 0.
fn print_report(figures: &Figures, as_json: bool) -> ExitCode {
    if as_json {
        println!("{}", serde_json::to_string(figures).expect("figures serialize to JSON"));
    } else {
        print!("{}", figures.table());
    }
    ExitCode::from(u8::from(figures.rules_broken > 0))
}

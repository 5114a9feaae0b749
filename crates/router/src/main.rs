//! The `tindoor` program: parses the command line and runs the subcommand.

mod command;
mod configuration;
mod council;
mod discovery;
mod downstream;
mod external;
mod fleet;
mod log_throttle;
mod operate;
mod server;
mod signed_urls;
mod state;
mod timeout;
mod upstream;

use std::process::ExitCode;

use anyhow::Result;
use clap::Parser;
use command::{Deed, Line, LogFormat};
use tracing::level_filters::LevelFilter;

/// The exit code of a fleet command that could not be carried out.
const FLEET_COMMAND_FAILED: u8 = 2;

fn main() -> ExitCode {
    let line = Line::parse();
    start_logging(line.log_format);
    let result = match line.deed {
        Some(Deed::Policy(command)) => return run_fleet_command(command),
        Some(Deed::Check(files)) => server::check(&files).map(|()| println!("ok")),
        Some(Deed::Guards) => {
            list_disableable_checks();
            Ok(())
        }
        Some(Deed::Keys(command)) => operate::keys(command),
        Some(Deed::Link(command)) => operate::link(command),
        Some(Deed::Serve(files)) => server::start(files),
        None => server::start(line.files),
    };
    exit_code(result)
}

fn start_logging(format: LogFormat) {
    let level = std::env::var("TINDOOR_LOG").ok().and_then(|level| level.parse().ok());
    let level = level.unwrap_or(LevelFilter::INFO);
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_max_level(level);
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
}

fn run_fleet_command(command: command::Fleet) -> ExitCode {
    council::run(command).unwrap_or_else(|error| {
        eprintln!("{error:#}");
        ExitCode::from(FLEET_COMMAND_FAILED)
    })
}

/// Prints the checks that a fault experiment may disable: none in a release build.
fn list_disableable_checks() {
    if cfg!(debug_assertions) {
        command::GUARDS.iter().for_each(|check| println!("{check}"));
    }
}

fn exit_code(result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

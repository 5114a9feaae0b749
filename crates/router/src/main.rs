//! The `tindoor` program: parses the command line and runs the subcommand.

mod configuration;
mod connections;
mod disabled_check;
mod discovery;
mod downstream;
mod external;
mod fleet;
mod log_throttle;
mod memory;
mod operator;
mod server;
mod signed_urls;
mod state;
mod timeout;
mod upstream;

use std::process::ExitCode;

use anyhow::Result;
use clap::Parser;
use operator::command_line::{self, Command, CommandLine, LogFormat, PolicyCommand};
use tracing::level_filters::LevelFilter;

/// The exit code of a policy command that failed, for example because the router did not answer.
const POLICY_COMMAND_FAILED: u8 = 2;

fn main() -> ExitCode {
    let line = CommandLine::parse();
    start_logging(line.log_format);
    let result = match line.command {
        Some(Command::Policy(command)) => return run_policy_command(command),
        Some(Command::Check(files)) => server::check(&files).map(|()| println!("ok")),
        Some(Command::DisableableChecks) => {
            list_disableable_checks();
            Ok(())
        }
        Some(Command::Keys(command)) => operator::run_key_command(command),
        Some(Command::SignedUrl(command)) => operator::run_signed_url_command(command),
        Some(Command::Serve(files)) => server::start(files),
        None => server::start(line.files),
    };
    exit_code(result)
}

/// Logs to standard error. The environment variable `TINDOOR_LOG` sets the level; the default is `info`.
fn start_logging(format: LogFormat) {
    let level = std::env::var("TINDOOR_LOG").ok().and_then(|level| level.parse().ok());
    let level = level.unwrap_or(LevelFilter::INFO);
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_max_level(level);
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
}

fn run_policy_command(command: PolicyCommand) -> ExitCode {
    operator::run_policy_command(command).unwrap_or_else(|error| {
        eprintln!("{error:#}");
        ExitCode::from(POLICY_COMMAND_FAILED)
    })
}

/// Prints the checks that a fault experiment can disable. Prints nothing in a release build.
fn list_disableable_checks() {
    if cfg!(debug_assertions) {
        command_line::DISABLEABLE_CHECKS.iter().for_each(|check| println!("{check}"));
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

//! The `tindoor` program: parses the command line and runs the subcommand.

mod callers;
mod command;
mod configuration;
mod council;
mod discovery;
mod downstream;
mod external;
mod fleet;
mod folder;
mod operate;
mod peers;
mod places;
mod processor;
mod server;
mod signed_urls;
mod state;
mod subrequests;
mod upstream;
mod wanted;

use std::process::ExitCode;

use clap::Parser;
use command::{Deed, Line, LogFormat};

fn main() -> ExitCode {
    let line = Line::parse();
    let level = std::env::var("TINDOOR_LOG").ok().and_then(|level| level.parse().ok());
    let level = level.unwrap_or(tracing::level_filters::LevelFilter::INFO);
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_max_level(level);
    match line.log_format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
    let done = match line.deed {
        Some(Deed::Check(files)) => server::check(&files).map(|()| println!("ok")),
        Some(Deed::Guards) => {
            command::GUARDS.iter().filter(|_| cfg!(debug_assertions)).for_each(|guard| println!("{guard}"));
            Ok(())
        }
        Some(Deed::Keys(deed)) => operate::keys(deed),
        Some(Deed::Link(deed)) => operate::link(deed),
        Some(Deed::Policy(deed)) => match council::run(deed) {
            Ok(code) => return code,
            Err(what) => {
                eprintln!("{what:#}");
                return ExitCode::from(2);
            }
        },
        Some(Deed::Serve(files)) => server::start(files),
        None => server::start(line.files),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            tracing::error!("{what:#}");
            ExitCode::FAILURE
        }
    }
}

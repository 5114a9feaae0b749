//! The command line.

use std::ffi::OsString;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

/// A router for cache fleets.
#[derive(Parser)]
#[command(name = "tindoor", version, args_conflicts_with_subcommands = true)]
pub struct Line {
    #[command(subcommand)]
    pub deed: Option<Deed>,
    #[command(flatten)]
    pub files: Files,
    /// How the log on standard error is written.
    #[arg(long, value_enum, default_value = "text", global = true)]
    pub log_format: LogFormat,
}

#[derive(Subcommand)]
pub enum Deed {
    /// Serve until told to end. The same without `serve`.
    Serve(Files),
    /// Read and check the files, say `ok` or what is at fault, and end.
    Check(Files),
}

#[derive(Args, Clone)]
pub struct Files {
    /// The router's configuration; else the file that PROXY_CONFIG names.
    pub configuration: Option<PathBuf>,
    /// Fronts beside the platform's own, and where they listen.
    #[arg(long)]
    pub fronts: Option<PathBuf>,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

impl Files {
    /// The configuration's path, where one is named anywhere.
    pub fn configuration(&self) -> Option<OsString> {
        let named = self.configuration.clone().map(OsString::from);
        named.or_else(|| std::env::var_os("PROXY_CONFIG"))
    }
}

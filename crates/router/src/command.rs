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
    /// Keys of signed links.
    #[command(subcommand)]
    Keys(Keys),
    /// Signed links, for operators and scripts.
    #[command(subcommand)]
    Link(Link),
}

#[derive(Subcommand)]
pub enum Keys {
    /// Add a new key to a key set; a file that is not there is made, for its owner alone.
    New(NewKey),
    /// Say what keys there are, without their secrets.
    List { file: PathBuf },
    /// Add a new key; those that signed by its algorithm check for the overlap more and sign no more.
    Rotate {
        #[command(flatten)]
        key: NewKey,
        /// How long the old ones still hold, in seconds.
        #[arg(long, default_value_t = 86_400)]
        overlap: u64,
    },
}

#[derive(Args)]
pub struct NewKey {
    pub file: PathBuf,
    /// The key's id: it stands in tokens.
    pub id: String,
    #[arg(long, value_enum, default_value = "hs256")]
    pub algorithm: Algorithm,
    /// How long it holds, in days; without it, until it is rotated or revoked.
    #[arg(long)]
    pub days: Option<u64>,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Algorithm {
    Hs256,
    Eddsa,
}

#[derive(Subcommand)]
pub enum Link {
    /// Write a token for a URL.
    Sign {
        #[command(flatten)]
        of: Of,
        /// For how many seconds from now.
        #[arg(long)]
        seconds: u64,
        /// The token's own id, by which it can be revoked.
        #[arg(long)]
        id: Option<String>,
    },
    /// Say whether a token lets a request pass, and until when; ends with 1 where it does not.
    Check {
        #[command(flatten)]
        of: Of,
        token: String,
    },
    /// Say what a token says, whether or not its signature holds.
    Explain { token: String },
}

#[derive(Args)]
pub struct Of {
    /// The key set.
    pub file: PathBuf,
    /// Scheme, host and path; for patterns and prefixes as they are written.
    pub url: String,
    #[arg(long, value_enum, default_value = "hmac")]
    pub form: Form,
    /// The key, where the form names none or several sign.
    #[arg(long)]
    pub key: Option<String>,
    /// The client's address, or on signing a prefix of them.
    #[arg(long)]
    pub client: Option<String>,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Form {
    Hmac,
    UriSigning,
    Prefix,
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

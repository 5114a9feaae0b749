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

/// Guards that an experiment of the lab may name to take out, by the part that knows how.
pub const GUARDS: &[&str] = &[
    "marks",
    "tickets",
    "withdraw",
    "leases",
    "links",
    "revoked",
    "clock",
    "lease",
    "staged",
    "compare",
    "incarnation",
    "synced",
    "pinned",
    "lapse",
    "epoch",
    "returned",
    "burst",
    "wakes",
    "floor",
];

#[derive(Subcommand)]
pub enum Deed {
    /// Serve until told to end. The same without `serve`.
    Serve(Files),
    /// Read and check the files, say `ok` or what is at fault, and end.
    Check(Files),
    /// Say which guards this build can take out for an experiment: none, unless it is one for tests.
    #[command(hide = true)]
    Guards,
    /// Keys of signed links.
    #[command(subcommand)]
    Keys(Keys),
    /// Signed links, for operators and scripts.
    #[command(subcommand)]
    Link(Link),
    /// The policy of a fleet, asked of any of its routers; ends with 1 where a change was refused or cancelled.
    #[command(subcommand)]
    Policy(Fleet),
}

#[derive(Subcommand)]
pub enum Fleet {
    /// Found a fleet here, once, with what this router was started with.
    Found {
        #[command(flatten)]
        at: At,
        /// With these numbers in place of its own: what `show` printed, or an object of keys and numbers.
        #[arg(long)]
        like: Option<PathBuf>,
    },
    /// How the router stands in its fleet.
    Status {
        #[command(flatten)]
        at: At,
    },
    /// What this router may spend of the fleet's budgets now, and the fleet.
    Shares {
        #[command(flatten)]
        at: At,
    },
    /// The policy in force.
    Show {
        #[command(flatten)]
        at: At,
    },
    /// The last changes, and how each ended.
    History {
        #[command(flatten)]
        at: At,
    },
    /// What a file would change of the policy in force.
    Diff {
        #[command(flatten)]
        at: At,
        file: PathBuf,
    },
    /// What keys there are, what they mean and when they change; asks nobody.
    Explain {
        /// The end of a key's name.
        key: Option<String>,
    },
    /// Propose a change: a JSON object of keys and numbers, or null for a key that is to go.
    Propose {
        #[command(flatten)]
        at: At,
        file: PathBuf,
        /// The generation that it was made from; else the one in force.
        #[arg(long)]
        from: Option<u64>,
        #[arg(long, default_value = "")]
        note: String,
        #[command(flatten)]
        proposing: Proposing,
    },
    /// Undo a change that is on probation.
    Undo {
        #[command(flatten)]
        at: At,
        generation: Option<u64>,
        #[command(flatten)]
        proposing: Proposing,
    },
    /// Withdraw a change that is not yet decided.
    Withdraw {
        #[command(flatten)]
        at: At,
        generation: u64,
    },
    /// Take a router off the list that is known to have ended.
    Forget {
        #[command(flatten)]
        at: At,
        name: String,
    },
}

#[derive(Args)]
pub struct At {
    /// The operator's socket of a router: `fleet.operator` of its fronts file.
    #[arg(long, env = "TINDOOR_OPERATOR")]
    pub socket: PathBuf,
}

#[derive(Args)]
pub struct Proposing {
    /// Who proposes, for the history.
    #[arg(long, default_value = "operator")]
    pub by: String,
    /// Wait for its end, for so many seconds; ends with 3 where it is still under way then.
    #[arg(long, num_args = 0..=1, default_missing_value = "60")]
    pub wait: Option<u64>,
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

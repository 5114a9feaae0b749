//! The command line.

use std::ffi::OsString;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

/// The environment variable that names the configuration file where the command line does not.
const CONFIGURATION_VARIABLE: &str = "PROXY_CONFIG";

/// A router for cache fleets.
#[derive(Parser)]
#[command(name = "tindoor", version, args_conflicts_with_subcommands = true)]
pub struct CommandLine {
    /// What to do; without it, serve.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// The files to serve by.
    #[command(flatten)]
    pub files: Files,
    /// The format of the log on standard error.
    #[arg(long, value_enum, default_value = "text", global = true)]
    pub log_format: LogFormat,
}

/// The safety checks that a build for tests can disable, by the words that name them.
pub const DISABLEABLE_CHECKS: &[&str] = &[
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

/// The commands.
#[derive(Subcommand)]
pub enum Command {
    /// Serve until a signal ends the process. The same without `serve`.
    Serve(Files),
    /// Read and check the files, print `ok` or the error, and end.
    Check(Files),
    /// Print the safety checks that this build can disable for an experiment: none, unless it is a build for
    /// tests.
    #[command(hide = true, name = "guards")]
    DisableableChecks,
    /// Keys of signed URLs.
    #[command(subcommand)]
    Keys(KeyCommand),
    /// Signed URLs, for operators and scripts.
    #[command(subcommand, name = "signed-url", visible_alias = "link")]
    SignedUrl(SignedUrlCommand),
    /// The policy of a fleet, by way of any of its routers; ends with 1 where a change was rejected or
    /// cancelled.
    #[command(subcommand)]
    Policy(PolicyCommand),
}

/// Commands on the policy of a fleet.
#[derive(Subcommand)]
pub enum PolicyCommand {
    /// Start a fleet with this router, once, with the policy that follows from its files.
    #[command(visible_alias = "found")]
    Bootstrap {
        /// The router.
        #[command(flatten)]
        control: ControlSocket,
        /// Change the policy first by this file: an object of keys and numbers, or the output of `show`.
        #[arg(long)]
        like: Option<PathBuf>,
    },
    /// Print the state of the router in its fleet.
    Status {
        /// The router.
        #[command(flatten)]
        control: ControlSocket,
    },
    /// Print what this router and the fleet may spend of each budget now.
    #[command(visible_alias = "shares")]
    Quotas {
        /// The router.
        #[command(flatten)]
        control: ControlSocket,
    },
    /// Print the policy in force.
    Show {
        /// The router.
        #[command(flatten)]
        control: ControlSocket,
    },
    /// Print the last proposals and their outcomes.
    History {
        /// The router.
        #[command(flatten)]
        control: ControlSocket,
    },
    /// Print what a file would change of the policy in force.
    Diff {
        /// The router.
        #[command(flatten)]
        control: ControlSocket,
        /// A JSON object of keys and numbers, or null for a key to remove.
        file: PathBuf,
    },
    /// Explain the keys of a policy and when they can change. Needs no router.
    Explain {
        /// The end of a key's name; else all keys.
        key: Option<String>,
    },
    /// Propose a change.
    Propose {
        /// The router.
        #[command(flatten)]
        control: ControlSocket,
        /// A JSON object of keys and numbers, or null for a key to remove.
        file: PathBuf,
        /// The generation that the change was derived from; else the one in force.
        #[arg(long)]
        from: Option<u64>,
        /// A note for the history.
        #[arg(long, default_value = "")]
        note: String,
        /// How to propose it.
        #[command(flatten)]
        options: ProposalOptions,
    },
    /// Revert a change that is on probation.
    #[command(visible_alias = "undo")]
    Revert {
        /// The router.
        #[command(flatten)]
        control: ControlSocket,
        /// The generation to revert; else the one in force.
        generation: Option<u64>,
        /// How to propose it.
        #[command(flatten)]
        options: ProposalOptions,
    },
    /// Withdraw a proposal that is not decided yet.
    Withdraw {
        /// The router.
        #[command(flatten)]
        control: ControlSocket,
        /// The generation to withdraw.
        generation: u64,
    },
    /// Remove a router from the member list whose process has ended.
    #[command(visible_alias = "forget")]
    Remove {
        /// The router.
        #[command(flatten)]
        control: ControlSocket,
        /// The name of the router to remove.
        name: String,
    },
}

/// The router that a command talks to.
#[derive(Args)]
pub struct ControlSocket {
    /// The control socket of a router: `fleet.operator` of its fronts file.
    #[arg(long, env = "TINDOOR_OPERATOR")]
    pub socket: PathBuf,
}

/// How a change is proposed.
#[derive(Args)]
pub struct ProposalOptions {
    /// Who proposes the change, for the history.
    #[arg(long, default_value = "operator")]
    pub by: String,
    /// Wait for the outcome, for so many seconds; ends with 3 where the change is still under way then.
    #[arg(long, num_args = 0..=1, default_missing_value = "60")]
    pub wait: Option<u64>,
}

/// Commands on key sets.
#[derive(Subcommand)]
pub enum KeyCommand {
    /// Add a new key to a key set. A missing file is created, with access for its owner alone.
    New(NewKey),
    /// Print the keys of a set, without their secrets.
    List {
        /// The key set.
        file: PathBuf,
    },
    /// Add a new key. Older keys of its algorithm stop signing, and verify for the overlap.
    Rotate {
        /// The new key.
        #[command(flatten)]
        key: NewKey,
        /// How long older keys still verify, in seconds.
        #[arg(long, default_value_t = 86_400)]
        overlap: u64,
    },
}

/// A key to create.
#[derive(Args)]
pub struct NewKey {
    /// The key set.
    pub file: PathBuf,
    /// The key's id, which tokens contain.
    pub id: String,
    /// The algorithm.
    #[arg(long, value_enum, default_value = "hs256")]
    pub algorithm: Algorithm,
    /// How many days the key is valid; without it, until it is rotated or revoked.
    #[arg(long)]
    pub days: Option<u64>,
}

/// Signature algorithms.
#[derive(Clone, Copy, ValueEnum)]
pub enum Algorithm {
    /// HMAC with SHA-256.
    Hs256,
    /// Ed25519.
    Eddsa,
}

/// Commands on signed URLs.
#[derive(Subcommand)]
pub enum SignedUrlCommand {
    /// Print a token for a URL.
    Sign {
        /// The URL and its form.
        #[command(flatten)]
        options: SignedUrlOptions,
        /// How long the token is valid, in seconds from now.
        #[arg(long)]
        seconds: u64,
        /// The token's own id, by which it can be revoked.
        #[arg(long)]
        id: Option<String>,
    },
    /// Print whether a token authorizes a request, and until when; ends with 1 where it does not.
    Check {
        /// The URL and its form.
        #[command(flatten)]
        options: SignedUrlOptions,
        /// The token.
        token: String,
    },
    /// Print the content of a token, whether or not its signature is valid.
    Explain {
        /// The token.
        token: String,
    },
}

/// A URL and how it is signed.
#[derive(Args)]
pub struct SignedUrlOptions {
    /// The key set.
    pub file: PathBuf,
    /// Scheme, host and path; for patterns and prefixes as they are written.
    pub url: String,
    /// The form of the token.
    #[arg(long, value_enum, default_value = "hmac")]
    pub form: TokenForm,
    /// The key, where the form names none or several sign.
    #[arg(long)]
    pub key: Option<String>,
    /// The client's address, or for signing a prefix of addresses.
    #[arg(long)]
    pub client: Option<String>,
}

/// Forms of tokens.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum TokenForm {
    /// Fields with an HMAC.
    Hmac,
    /// A URI signing token (RFC 9246).
    UriSigning,
    /// A signed prefix of URLs.
    Prefix,
}

/// The files to serve by.
#[derive(Args, Clone)]
pub struct Files {
    /// The router's configuration; else the file that PROXY_CONFIG names.
    pub configuration: Option<PathBuf>,
    /// Further listeners beside the platform's own, and their settings.
    #[arg(long)]
    pub fronts: Option<PathBuf>,
}

/// Formats of the log.
#[derive(Clone, Copy, ValueEnum)]
pub enum LogFormat {
    /// Lines of text.
    Text,
    /// A JSON object a line.
    Json,
}

impl Files {
    /// The path of the configuration, from the command line or the environment.
    pub fn configuration(&self) -> Option<OsString> {
        let argument = self.configuration.clone().map(OsString::from);
        argument.or_else(|| std::env::var_os(CONFIGURATION_VARIABLE))
    }
}

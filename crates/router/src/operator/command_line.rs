//! Defines the command line: subcommands, arguments and their help texts.

use std::ffi::OsString;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

/// The environment variable with the path of the configuration file, used if the command line has no path.
const CONFIGURATION_VARIABLE: &str = "PROXY_CONFIG";

/// A router for cache fleets.
#[derive(Parser)]
#[command(name = "tindoor", version, args_conflicts_with_subcommands = true)]
pub struct CommandLine {
    /// The subcommand; `None` means `serve`.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// The files to read.
    #[command(flatten)]
    pub files: Files,
    /// The format of the log on standard error.
    #[arg(long, value_enum, default_value = "text", global = true)]
    pub log_format: LogFormat,
}

/// The names of the safety checks that a test build can disable.
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

/// The subcommands.
#[derive(Subcommand)]
pub enum Command {
    /// Run the router until SIGTERM or SIGINT. This is the default without a subcommand.
    Serve(Files),
    /// Check the configuration files and print `ok` or the first error.
    Check(Files),
    /// Print the safety checks that this build can disable for fault experiments. Release builds print none.
    #[command(hide = true, name = "guards")]
    DisableableChecks,
    /// Manage the keys of signed URLs.
    #[command(subcommand)]
    Keys(KeyCommand),
    /// Sign, check and explain signed URLs.
    #[command(subcommand, name = "signed-url", visible_alias = "link")]
    SignedUrl(SignedUrlCommand),
    /// Inspect and change the policy of a fleet through any of its routers.
    ///
    /// Exits with code 1 if a change was rejected or cancelled, and with code 2 if a command failed.
    #[command(subcommand)]
    Policy(PolicyCommand),
}

/// Subcommands for the policy of a fleet.
#[derive(Subcommand)]
pub enum PolicyCommand {
    /// Create a new fleet with this router as its first member.
    ///
    /// Run this once for each fleet. The initial policy is derived from the router's configuration files.
    #[command(visible_alias = "found")]
    Bootstrap {
        /// The router to contact.
        #[command(flatten)]
        control: ControlSocket,
        /// A JSON file with changes to the initial policy: an object that maps keys to numbers, or the output
        /// of `show`.
        #[arg(long)]
        like: Option<PathBuf>,
    },
    /// Print the router's state in its fleet.
    Status {
        /// The router to contact.
        #[command(flatten)]
        control: ControlSocket,
    },
    /// Print the current quota of this router and of the fleet for each budget.
    #[command(visible_alias = "shares")]
    Quotas {
        /// The router to contact.
        #[command(flatten)]
        control: ControlSocket,
    },
    /// Print the policy that is in force.
    Show {
        /// The router to contact.
        #[command(flatten)]
        control: ControlSocket,
    },
    /// Print recent proposals and their outcomes.
    History {
        /// The router to contact.
        #[command(flatten)]
        control: ControlSocket,
    },
    /// Print the changes that a file would make to the policy in force.
    Diff {
        /// The router to contact.
        #[command(flatten)]
        control: ControlSocket,
        /// A JSON file: an object that maps keys to numbers, or to null to remove a key.
        file: PathBuf,
    },
    /// Explain the policy keys: meaning, unit, range and when a change takes effect.
    ///
    /// Does not contact a router.
    Explain {
        /// Explain only keys whose names end with this text [default: all keys].
        key: Option<String>,
    },
    /// Propose a change to the policy.
    Propose {
        /// The router to contact.
        #[command(flatten)]
        control: ControlSocket,
        /// A JSON file: an object that maps keys to numbers, or to null to remove a key.
        file: PathBuf,
        /// The generation that the change is based on [default: the generation in force]. The change is
        /// rejected if another generation is in force.
        #[arg(long)]
        from: Option<u64>,
        /// A note that is recorded in the history.
        #[arg(long, default_value = "")]
        note: String,
        /// How the change is proposed.
        #[command(flatten)]
        options: ProposalOptions,
    },
    /// Revert a policy change that is on probation.
    #[command(visible_alias = "undo")]
    Revert {
        /// The router to contact.
        #[command(flatten)]
        control: ControlSocket,
        /// The generation to revert [default: the generation in force].
        generation: Option<u64>,
        /// How the change is proposed.
        #[command(flatten)]
        options: ProposalOptions,
    },
    /// Withdraw a proposal that has not been decided yet.
    Withdraw {
        /// The router to contact.
        #[command(flatten)]
        control: ControlSocket,
        /// The generation to withdraw.
        generation: u64,
    },
    /// Remove a router from the fleet's member list after its process has ended.
    #[command(visible_alias = "forget")]
    Remove {
        /// The router to contact.
        #[command(flatten)]
        control: ControlSocket,
        /// The name of the router to remove.
        name: String,
    },
}

/// The control socket of the router to contact.
#[derive(Args)]
pub struct ControlSocket {
    /// The path of the router's control socket (`fleet.operator` in its fronts file).
    #[arg(long, env = "TINDOOR_OPERATOR")]
    pub socket: PathBuf,
}

/// How a change is proposed.
#[derive(Args)]
pub struct ProposalOptions {
    /// The author of the change, recorded in the history.
    #[arg(long, default_value = "operator")]
    pub by: String,
    /// Wait for the outcome for up to this many seconds [default if given without a value: 60]. Exits with
    /// code 3 if the change is still under way after that time.
    #[arg(long, num_args = 0..=1, default_missing_value = "60")]
    pub wait: Option<u64>,
}

/// Subcommands for key sets.
#[derive(Subcommand)]
pub enum KeyCommand {
    /// Add a new key to a key set.
    ///
    /// Creates the file if it does not exist, accessible only to its owner.
    New(NewKey),
    /// Print the keys of a key set, without their secrets.
    List {
        /// The key set file.
        file: PathBuf,
    },
    /// Add a new key and retire the older keys of the same algorithm.
    ///
    /// Older keys stop signing immediately and still verify tokens during the overlap.
    Rotate {
        /// The new key.
        #[command(flatten)]
        key: NewKey,
        /// How long older keys still verify tokens, in seconds.
        #[arg(long, default_value_t = 86_400)]
        overlap: u64,
    },
}

/// A key to create.
#[derive(Args)]
pub struct NewKey {
    /// The key set file.
    pub file: PathBuf,
    /// The id of the key, which is included in tokens.
    pub id: String,
    /// The signature algorithm.
    #[arg(long, value_enum, default_value = "hs256")]
    pub algorithm: Algorithm,
    /// How many days the key is valid [default: until it is rotated or revoked].
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

/// Subcommands for signed URLs.
#[derive(Subcommand)]
pub enum SignedUrlCommand {
    /// Sign a URL and print the token.
    Sign {
        /// The URL and how it is signed.
        #[command(flatten)]
        options: SignedUrlOptions,
        /// How long the token is valid, in seconds from now.
        #[arg(long)]
        seconds: u64,
        /// The id of the token, by which it can be revoked.
        #[arg(long)]
        id: Option<String>,
    },
    /// Print until when a token authorizes a request.
    ///
    /// Exits with code 1 if the token does not authorize the request.
    Check {
        /// The URL and how it is signed.
        #[command(flatten)]
        options: SignedUrlOptions,
        /// The token.
        token: String,
    },
    /// Print the content of a token without verifying its signature.
    Explain {
        /// The token.
        token: String,
    },
}

/// A URL and how it is signed.
#[derive(Args)]
pub struct SignedUrlOptions {
    /// The key set file.
    pub file: PathBuf,
    /// The URL with scheme, host and path. Patterns and prefixes are used exactly as written.
    pub url: String,
    /// The token form.
    #[arg(long, value_enum, default_value = "hmac")]
    pub form: TokenForm,
    /// The id of the key [default: a key that can sign now; to check an HMAC token, every key of the set].
    #[arg(long)]
    pub key: Option<String>,
    /// The client's IP address; for signing, an address prefix is also allowed.
    #[arg(long)]
    pub client: Option<String>,
}

/// Token forms.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum TokenForm {
    /// Plain fields with an HMAC.
    Hmac,
    /// A URI signing token (RFC 9246).
    UriSigning,
    /// A signed URL prefix.
    Prefix,
}

/// The files that `serve` and `check` read.
#[derive(Args, Clone)]
pub struct Files {
    /// The router's configuration file [default: the path in the environment variable PROXY_CONFIG].
    pub configuration: Option<PathBuf>,
    /// The fronts file: listeners for proxies, the fleet and signed URLs.
    #[arg(long)]
    pub fronts: Option<PathBuf>,
}

/// Log formats.
#[derive(Clone, Copy, ValueEnum)]
pub enum LogFormat {
    /// Lines of text.
    Text,
    /// One JSON object per line.
    Json,
}

impl Files {
    /// Returns the path of the configuration file from the command line or else from the environment.
    pub fn configuration(&self) -> Option<OsString> {
        let argument = self.configuration.clone().map(OsString::from);
        argument.or_else(|| std::env::var_os(CONFIGURATION_VARIABLE))
    }
}

//! The operator's interface: the command line, the control socket of a running router, and the commands that
//! use this socket or edit key files.

pub mod command_line;
mod control_client;
mod control_protocol;
pub mod control_socket;
mod key_commands;
mod policy_commands;
mod signed_url_commands;
mod unix_time;

pub use key_commands::run as run_key_command;
pub use policy_commands::run as run_policy_command;
pub use signed_url_commands::run as run_signed_url_command;

//! Serves clients: the listener, the clients' connections, and the requests on them.

mod connection;
mod frame_reader;
mod listener;
mod recent_runs;
mod request;
mod request_fields;
mod session;
mod writer;

pub use listener::{ClientHandler, bind};
pub use recent_runs::RecentRuns;

//! Clients' connections and the requests on them.

pub mod connection;
pub mod listener;
mod request;
mod session;

//! The watch of the endpoint list and of purges.

pub mod watch;

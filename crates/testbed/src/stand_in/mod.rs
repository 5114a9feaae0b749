//! Stand-ins on loopback for what the router talks to: caches, the change stream and a client. They speak the
//! published protocol, and every wait is for an event, not for a time.

mod change_stream;
mod client;
mod configuration;
mod full_backlog;
mod process;
mod reply;
mod scripted_cache;
mod watched;

pub use change_stream::ChangeStream;
pub use client::{Client, FRESH, OBJECT, call, cancel, frame, page};
pub use configuration::{configuration, endpoint_entry};
pub use full_backlog::FullBacklogCache;
pub use process::{Router, StartOptions, descriptors, fails_with, program};
pub use reply::Reply;
pub use scripted_cache::{Behavior, Cache, Completion, ReceivedRequest, http_response, served};
pub use watched::{Watched, until};

//! Stand-ins on loopback for the processes that the router communicates with: caches, the change stream
//! server and clients. They use the published protocol. All waits are for events, not for fixed times.

mod change_stream;
mod client;
mod configuration;
mod full_backlog;
mod process;
mod reply;
mod scripted_cache;
mod scripted_change_stream;
mod watched;

pub use change_stream::ChangeStream;
pub use client::{Client, FRESH, OBJECT, call, cancel, frame, page};
pub use configuration::{configuration, endpoint_entry};
pub use full_backlog::FullBacklogCache;
pub use process::{Router, StartOptions, descriptors, fails_with, program};
pub use reply::Reply;
pub use scripted_cache::{Behavior, Cache, Completion, ReceivedRequest, http_response, served};
pub use scripted_change_stream::{ScriptedChangeStream, Subscription, SubscriptionRecord};
pub use watched::{Watched, until};

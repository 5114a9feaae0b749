//! The discovery watch: parses the lines of the change stream and tracks the position in it. The lines carry
//! changes of the endpoint list, purges, and a heartbeat every second. Decides when connections to the change
//! stream begin and are given up. The crate does no I/O.

mod events;
mod lines;
mod position;
mod schedule;

pub use events::{
    EndpointEntry, EndpointList, EndpointPhase, InvalidObjectId, Purge, WatchEvent, parse_object_id,
};
pub use lines::{WatchMessage, parse_line, take_line};
pub use position::{Progress, WatchError, WatchPosition};
pub use schedule::{Attempt, ConnectionId, ConnectionSchedule, ScheduleLimits};

//! Accepts connections for all listeners: limits their number, closes idle connections to make room for new
//! ones, refuses a connection for which no room can be made, and counts what happens.

mod acceptor;
pub mod listener_names;
mod managed;
mod metrics;
mod registry;
mod state;
mod table;
mod work_turn;

pub use acceptor::{Acceptor, ConnectionHandler, PendingConnections};
pub use managed::{
    ManagedConnection, discard_until_closed, half_close, half_close_unless_unread, has_unread_bytes,
};
pub use registry::ListenerRegistry;
pub use state::{ConnectionState, Phase};
pub use work_turn::WorkTurn;

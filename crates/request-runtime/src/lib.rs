//! What every front shares and what knows no protocol: the views in hand with their numbers and ids, the
//! decision module with its clock and its orders, and the life of one view.

mod desk;
mod life;

pub use desk::{Alarm, Clock, Decisions, Desk, Dispatch, Drawn, Gate, Id, Ids, Order, Slot, Taken};
pub use life::{Answer, Ended, Hand, live};

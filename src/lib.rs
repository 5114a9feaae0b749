//! tindoor decides where objects are served, kept and filled from.
//!
//! [`control::Control`] holds every decision; [`host::Host`] is what it acts through.

pub mod control;
pub mod host;
pub mod time;

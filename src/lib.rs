//! tindoor decides where objects are served, kept and filled from.
//!
//! [`control::Control`] holds every decision; [`host::Host`] is what it acts through.
//!
//! ```
//! use tindoor::{control::Control, host::*, time::*};
//! struct Printer;
//! impl Host for Printer {
//!     fn look(&mut self, view: ViewNo, cache: CacheNo, _: Span) { println!("{view:?} to {cache:?}") }
//!     fn read(&mut self, view: ViewNo, cache: CacheNo, _: Span, terms: Terms) {
//!         println!("{view:?} to {cache:?}, a miss from {:?}", terms.source)
//!     }
//!     fn call_off(&mut self, _: ViewNo, _: u16) {}
//!     fn turn_back(&mut self, view: ViewNo, _: Option<Span>) { println!("{view:?} turned back") }
//!     fn write_off(&mut self, _: ViewNo) {}
//!     fn wake_in(&mut self, _: Span) {}
//!     fn subscribe(&mut self) {}
//! }
//! let facts = [("offerings", 1.0), ("offering.0.cut_off", 2e6), ("offering.0.latency_goal", 3e5),
//!     ("drain_grace", 5e5), ("location", 1.0)];
//! let facts = facts.map(|(name, value)| (name.to_string(), Fact::Number(value))).into();
//! let mut control = Control::start(Printer, facts, 7, Moment::at_micros(0)).unwrap();
//! let (ran, pass) = Default::default();
//! let asked = Asked { object: 5, part: 0, group: 0, offering: 0, kb: None, repeat: false, ran, pass };
//! control.view(ViewNo(0), asked, Span::millis(900)); // no cache is listed: turned back
//! ```

pub mod control;
pub mod host;
pub mod time;

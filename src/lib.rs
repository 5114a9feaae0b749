//! tindoor decides where objects are served, kept and filled from.
//!
//! [`control::RoutingEngine`] holds every decision; [`host::Host`] is what it acts through.
//!
//! ```
//! use tindoor::{control::RoutingEngine, host::*, time::*};
//! struct Printer;
//! impl Host for Printer {
//!     fn send_cache_only(&mut self, request: RequestSlot, endpoint: EndpointId, _: Span) {
//!         println!("{request:?} to {endpoint:?}")
//!     }
//!     fn send_with_fill(&mut self, request: RequestSlot, endpoint: EndpointId, _: Span, fill: FillDirectives) {
//!         println!("{request:?} to {endpoint:?}, a miss from {:?}", fill.source)
//!     }
//!     fn cancel(&mut self, _: RequestSlot, _: u16) {}
//!     fn reject(&mut self, request: RequestSlot, _: Option<Span>) { println!("{request:?} rejected") }
//!     fn fail(&mut self, _: RequestSlot) {}
//!     fn set_timer(&mut self, _: Span) {}
//!     fn watch_endpoints(&mut self) {}
//! }
//! let facts = [("offerings", 1.0), ("offering.0.cut_off", 2e6), ("offering.0.latency_goal", 3e5),
//!     ("drain_grace", 5e5), ("location", 1.0)];
//! let facts = facts.map(|(name, value)| (name.to_string(), Fact::Number(value))).into();
//! let mut engine = RoutingEngine::start(Printer, facts, 7, Moment::at_micros(0)).unwrap();
//! let (ran, pass) = Default::default();
//! let meta = RequestMeta { object: 5, part: 0, group: 0, class: 0, kb: None, repeat: false, ran, pass };
//! engine.request_received(RequestSlot(0), meta, Span::millis(900)); // no endpoint is listed: rejected
//! ```

pub mod control;
pub mod host;
pub mod time;

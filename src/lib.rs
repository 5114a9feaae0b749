//! The decision engine of tindoor, a router that decides where cached objects are served, kept and filled
//! from.
//!
//! [`engine::RoutingEngine`] makes all decisions and carries them out by calling methods of a
//! [`host::Host`], which the caller implements.
//!
//! ```
//! use tindoor::{engine::RoutingEngine, host::*, settings::*, time::*};
//! struct Printer;
//! impl Host for Printer {
//!     fn send_cache_only(&mut self, request: RequestSlot, endpoint: EndpointId, _: AttemptLimits) {
//!         println!("{request:?} to {endpoint:?}")
//!     }
//!     fn send_with_fill(
//!         &mut self, request: RequestSlot, endpoint: EndpointId, _: AttemptLimits, fill: FillDirectives,
//!     ) {
//!         println!("{request:?} to {endpoint:?}, filling a miss from {:?}", fill.source)
//!     }
//!     fn cancel(&mut self, _: RequestSlot, _: u16) {}
//!     fn reject(&mut self, request: RequestSlot, _: Option<Span>) { println!("{request:?} rejected") }
//!     fn fail(&mut self, _: RequestSlot) {}
//!     fn set_timer(&mut self, _: Span) {}
//!     fn watch_endpoints(&mut self) {}
//! }
//! let (deadline, latency_objective) = (Span::millis(2000), Span::millis(300));
//! let class = ClassSettings { deadline, latency_objective, ..Default::default() };
//! let settings = Settings { classes: vec![class], ..Default::default() };
//! let mut engine = RoutingEngine::start(Printer, settings, 7, Moment::at_micros(0));
//! let (first_ran, authorization, client_retry, size_kb) = Default::default();
//! let (object, part, group, class) = (5, 0, 0, 0);
//! let meta =
//!     RequestMeta { object, part, group, class, size_kb, client_retry, first_ran, authorization };
//! engine.request_received(RequestSlot(0), meta, Span::millis(900)); // rejected: no endpoint listed
//! ```

pub mod engine;
pub mod host;
pub mod settings;
pub mod time;

//! Where the cache and the source of a choice are to be found.

use tindoor_external_requests::RoutingDecision;
use tindoor_extproc::response::RoutingTarget;

use crate::router::Router;

pub fn resolve(router: &Router, decision: &RoutingDecision) -> RoutingTarget {
    let address = router.caches.address(decision.endpoint).map(|address| address.to_string());
    let source =
        decision.directives.map(|directives| directives.source).filter(|source| *source != decision.endpoint);
    RoutingTarget {
        cache: router.caches.id(decision.endpoint),
        address: address.unwrap_or_default(),
        source: source.map(|source| router.caches.id(source)),
    }
}

//! Where the cache and the source of a choice are to be found.

use tindoor_external_requests::RoutingDecision;
use tindoor_extproc::say::RoutingTarget;

use crate::state::RouterState;

pub fn of(router: &RouterState, decision: &RoutingDecision) -> RoutingTarget {
    let address = router.endpoints.address(decision.cache).map(|address| address.to_string());
    let source =
        decision.directives.map(|directives| directives.source).filter(|source| *source != decision.cache);
    RoutingTarget {
        cache: router.endpoints.name(decision.cache),
        address: address.unwrap_or_default(),
        source: source.map(|source| router.endpoints.name(source)),
    }
}

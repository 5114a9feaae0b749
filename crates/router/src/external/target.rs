//! Looks up the names and addresses of a decision's endpoint and source.

use tindoor_external_requests::RoutingDecision;
use tindoor_extproc::response::RoutingTarget;

use crate::state::RouterState;

/// Returns the name and address of a decision's endpoint, and the name of its source if that is another
/// endpoint.
pub fn resolve(router: &RouterState, decision: &RoutingDecision) -> RoutingTarget {
    let address = router.endpoints.address(decision.endpoint).map(|address| address.to_string());
    let source = decision.source().filter(|source| *source != decision.endpoint);
    RoutingTarget {
        endpoint: router.endpoints.name(decision.endpoint),
        address: address.unwrap_or_default(),
        source: source.map(|source| router.endpoints.name(source)),
    }
}

//! Where the cache and the source of a choice are to be found.

use tindoor_external_requests::Choice;
use tindoor_extproc::say::Place;

use crate::router::Router;

pub fn of(router: &Router, choice: &Choice) -> Place {
    let address = router.caches.address(choice.cache).map(|address| address.to_string());
    let source = choice.terms.map(|terms| terms.source).filter(|source| *source != choice.cache);
    Place {
        cache: router.caches.id(choice.cache),
        address: address.unwrap_or_default(),
        source: source.map(|source| router.caches.id(source)),
    }
}

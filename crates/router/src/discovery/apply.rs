//! Applies the events of the change stream.

use tindoor::host::{EndpointId, EndpointState, EndpointUpdate, ListUpdateKind, stable_id};
use tindoor_discovery::{EndpointEntry, EndpointList, EndpointPhase, Purge, WatchEvent};
use tindoor_request_runtime::Clock;

use crate::state::RouterState;
use crate::upstream::ListedEndpoint;

/// The index that stands for an unknown location or kind in the routing engine.
const UNKNOWN_INDEX: u8 = u8::MAX;
/// The id of the change stream among the participants of the clock offset estimate.
const CHANGE_STREAM_CLOCK: u64 = 0;

/// Applies one event to the connections, the routing engine, and the requests that external proxies execute.
pub fn apply_event(state: &RouterState, event: WatchEvent) {
    tracing::debug!(?event);
    if let Some(list) = event.endpoints {
        apply_endpoint_list(state, &list);
    }
    if let Some(purge) = event.purge {
        apply_purge(state, &purge);
    }
}

/// Applies an endpoint list and withdraws the external decisions for endpoints that are no longer ready.
fn apply_endpoint_list(state: &RouterState, list: &EndpointList) {
    let updates: Vec<_> = list.entries.iter().filter_map(|entry| apply_entry(state, entry)).collect();
    if list.complete {
        let listed: Vec<_> = updates.iter().map(|update| update.endpoint).collect();
        state.endpoints.retain_endpoints(&listed);
    }
    let kind = if list.complete { ListUpdateKind::Full } else { ListUpdateKind::Delta };
    state.engine.with(|engine| engine.endpoints_changed(kind, &updates));
    // A decision for another address or process is as stale as one for an endpoint that is not ready.
    let changed = state.endpoints.take_changed();
    let is_stale = |endpoint| !state.endpoints.is_ready(endpoint) || changed.contains(&endpoint);
    state.external.withdraw_stale_decisions(|_, decision| {
        is_stale(decision.endpoint) || decision.source().is_some_and(is_stale)
    });
}

/// Applies one entry to the connections and translates it for the routing engine. `None` if the entry removes
/// an unknown endpoint.
fn apply_entry(state: &RouterState, entry: &EndpointEntry) -> Option<EndpointUpdate> {
    let endpoint_state = state_of(entry);
    let address = entry.address.parse().ok();
    if address.is_none() {
        tracing::warn!(
            id = entry.id,
            address = entry.address,
            "endpoint address can't be parsed; attempts at this endpoint will fail"
        );
    }
    let is_referenced = |endpoint: EndpointId| state.engine.is_referenced(endpoint);
    let listed = ListedEndpoint { address, started_unix_ms: entry.started_unix_ms, state: endpoint_state };
    let endpoint = state.endpoints.apply_update(&entry.id, listed, is_referenced)?;
    let started = Some(entry.started_unix_ms).filter(|unix_ms| *unix_ms > 0);
    Some(EndpointUpdate {
        endpoint,
        stable_id: stable_id(&entry.id),
        state: endpoint_state,
        started_at: started.map(Clock::at_unix_ms),
        location: index_of(&state.locations, &entry.location),
        capacity: entry.size,
        kind: index_of(&state.endpoint_kinds, &entry.kind),
        cell: entry.cell,
    })
}

fn state_of(entry: &EndpointEntry) -> EndpointState {
    match entry.phase {
        EndpointPhase::Active => EndpointState::Ready,
        EndpointPhase::Draining => EndpointState::Draining,
        EndpointPhase::Removed => EndpointState::Removed,
        EndpointPhase::Unknown => {
            tracing::warn!(id = entry.id, "endpoint in an unknown phase; treated as draining");
            EndpointState::Draining
        }
    }
}

/// Returns the index of a name, or `UNKNOWN_INDEX`.
fn index_of(names: &[String], name: &str) -> u8 {
    let index = names.iter().position(|known| known == name);
    index.and_then(|index| u8::try_from(index).ok()).unwrap_or(UNKNOWN_INDEX)
}

/// Applies a purge and withdraws the external decisions for purged objects.
fn apply_purge(state: &RouterState, purge: &Purge) {
    let object = match purge.object_id() {
        Ok(object) => object,
        Err(error) => return tracing::warn!(%error, "purge with an invalid object id ignored"),
    };
    let Some(group) = purge.group.or(object.map(|_| 0)) else {
        return tracing::warn!("purge without object and group ignored");
    };
    state.endpoints.record_purge();
    let now = state.engine.clock.now();
    let age = now.since(Clock::at_unix_ms(purge.unix_ms));
    if let Some(signed_urls) = &state.signed_urls {
        signed_urls.observe_clock(CHANGE_STREAM_CLOCK, purge.unix_ms, state.engine.clock.unix_ms());
    }
    state.engine.with(|engine| engine.purged(object, group, age));
    state.external.withdraw_stale_decisions(|request, _| match object {
        Some(object) => request.object == object,
        None => request.group == group,
    });
}

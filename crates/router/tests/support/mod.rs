//! A router process with stand-in caches and a stand-in change stream, for tests over loopback.

#![allow(dead_code)]

use serde_json::{Value, json};
use tindoor_testbed::stand_in::*;

/// A router with one cache, an origin, and a parent that never responds.
pub struct Fixture {
    pub cache: Cache,
    pub origin: Cache,
    pub change_stream: ChangeStream,
    pub router: Router,
}

/// Starts a fixture whose cache has this behavior.
pub fn fixture(behavior: impl Fn(&ReceivedRequest) -> Behavior + Send + Sync + 'static) -> Fixture {
    fixture_with(behavior, |_| {})
}

/// Starts a fixture whose cache has this behavior, with a changed configuration.
pub fn fixture_with(
    behavior: impl Fn(&ReceivedRequest) -> Behavior + Send + Sync + 'static,
    change: impl FnOnce(&mut Value),
) -> Fixture {
    let (cache, change_stream) = (Cache::start(behavior), ChangeStream::start());
    let origin = Cache::start(|_| Behavior::Respond(served(b"saved")));
    let parent = Cache::start(|_| Behavior::Hang);
    let entries = vec![
        endpoint_entry("c-1", cache.address, "cache", "active"),
        endpoint_entry("p-1", parent.address, "parent", "active"),
        endpoint_entry("o-1", origin.address, "origin", "active"),
    ];
    let mut configuration = configuration(change_stream.address, entries);
    change(&mut configuration);
    let router = Router::start(&configuration);
    Fixture { cache, origin, change_stream, router }
}

/// Returns the reply of a call that was served with this body.
pub fn served_reply(body: &[u8]) -> Reply {
    Reply::Served { body: body.to_vec(), fields: Default::default(), healthy: true }
}

/// Returns whether the call ended without being served.
pub fn is_rejected_or_failed(reply: &Reply) -> bool {
    matches!(reply, Reply::Rejected(_) | Reply::Failed(_))
}

/// Returns the line of an event with a partial endpoint list.
pub fn endpoint_list_event(seq: u64, entries: Vec<Value>) -> String {
    format!("{}\n", json!({"seq": seq, "fleet": {"revision": seq, "complete": false, "members": entries}}))
}

impl Fixture {
    /// Waits until the router has logged a line that contains this text.
    pub fn wait_for_log(&self, text: &str) {
        let is_logged = |log: &mut Vec<String>| log.iter().any(|line| line.contains(text)).then_some(());
        self.router.log.wait("an expected log line", is_logged);
    }
}

/// Starts a fixture whose only listed cache is `stuck`, which accepts no connections yet, and sends a request
/// for which the router has begun to connect to it. The fixture's own cache is not listed.
pub fn fixture_with_pending_connect(stuck: &FullBacklogCache) -> (Fixture, Client) {
    let fixture = fixture_with(
        |_| Behavior::Respond(served(b"other")),
        |configuration| {
            configuration["settings"]["limits"]["connect_timeout"] = json!(60_000_000);
            let entries = &mut configuration["known"]["results"][0]["fleet"]["members"];
            entries[0]["host_port"] = json!(stuck.address.to_string());
        },
    );
    let mut client = Client::connect(&fixture.router);
    client.request(1, OBJECT);
    stuck.wait_for_connect();
    fixture.change_stream.wait_for_subscriptions(1);
    fixture.change_stream.heartbeat.change(|heartbeat| *heartbeat = None);
    (fixture, client)
}

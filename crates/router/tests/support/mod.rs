//! A router among stand-ins, for its tests over loopback.

#![allow(dead_code)]

use serde_json::{Value, json};
use tindoor_testbed::stand_in::*;

/// A router with one cache, a parent that nobody needs, and an origin.
pub struct World {
    pub cache: Cache,
    pub origin: Cache,
    pub log: ChangeStream,
    pub router: Router,
}

pub fn world(deed: impl Fn(&ReceivedRequest) -> Behavior + Send + Sync + 'static) -> World {
    world_with(deed, |_| {})
}

pub fn world_with(
    deed: impl Fn(&ReceivedRequest) -> Behavior + Send + Sync + 'static,
    change: impl FnOnce(&mut Value),
) -> World {
    let (cache, log) = (Cache::start(deed), ChangeStream::start());
    let origin = Cache::start(|_| Behavior::Respond(served(b"saved")));
    let parent = Cache::start(|_| Behavior::Hang);
    let members = vec![
        endpoint_entry("c-1", cache.address, "cache", "active"),
        endpoint_entry("p-1", parent.address, "parent", "active"),
        endpoint_entry("o-1", origin.address, "origin", "active"),
    ];
    let mut configuration = configuration(log.address, members);
    change(&mut configuration);
    let router = Router::start(&configuration);
    World { cache, origin, log, router }
}

/// The answer of a request done with this body.
pub fn done(body: &[u8]) -> Reply {
    Reply::Served { body: body.to_vec(), fields: Default::default(), healthy: true }
}

pub fn is_over(reply: &Reply) -> bool {
    matches!(reply, Reply::Rejected(_) | Reply::Failed(_))
}

pub fn fleet(seq: u64, members: Vec<Value>) -> String {
    format!("{}\n", json!({"seq": seq, "fleet": {"revision": seq, "complete": false, "members": members}}))
}

impl World {
    pub fn heeds(&self, word: &str) {
        let heeded = |log: &mut Vec<String>| log.iter().any(|line| line.contains(word)).then_some(());
        self.router.log.wait("an event to be heeded", heeded);
    }
}

/// A router whose only cache is this one, which takes no connection yet, with a request that has begun to
/// connect to it.
pub fn stuck_world(stuck: &FullBacklogCache) -> (World, Client) {
    let world = world_with(
        |_| Behavior::Respond(served(b"other")),
        |configuration| {
            configuration["settings"]["limits"]["connect_timeout"] = json!(60_000_000);
            let members = &mut configuration["known"]["results"][0]["fleet"]["members"];
            members[0]["host_port"] = json!(stuck.address.to_string());
        },
    );
    let mut client = Client::connect(&world.router);
    client.request(1, OBJECT);
    stuck.wait_for_connect();
    world.log.wait_for_subscriptions(1);
    world.log.heartbeat.change(|heartbeat| *heartbeat = None);
    (world, client)
}

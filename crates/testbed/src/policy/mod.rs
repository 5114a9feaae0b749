//! Several routers of one fleet as processes, with faults between them and policy changes under way. Each
//! policy version shows at clients and endpoints: by the Retry-After of rejections, and by the copy age that
//! attempts accept. So every response tells which version decided its request, and nothing that a router
//! states is trusted.

mod audit;
mod history;
mod proposals;
mod sightings;
mod traffic;
mod version;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;

use anyhow::Result;

pub use crate::cluster::Plan;
use crate::cluster::{Cluster, FaultInjector};
use crate::figures::Figures;
use crate::fleet::Fleet;
use audit::Evidence;
use proposals::{Proposal, Proposer};
use traffic::{Client, Traffic};

/// Faults that only this experiment injects.
pub const FAULTS: &[&str] = &["torn", "proposers", "drain", "purge", "badchange", "strand"];

/// Checks that the experiment can disable.
const CHECKS: &[&str] = &["lease", "staged", "compare", "incarnation", "pinned", "synced"];

const ENDPOINTS: usize = 4;

const CLIENTS_PER_ROUTER: usize = 2;

/// Runs the experiment.
pub fn run(plan: &Plan) -> Result<Figures> {
    let mut fleet = Fleet::start(ENDPOINTS);
    fleet.record_accepted_ages();
    let (cluster, time_to_healthy) = Cluster::start(plan, FAULTS, CHECKS, fleet, |_| ())?;
    let traffic = Arc::new(Mutex::new(Traffic::default()));
    let clients: Vec<_> = (0..plan.routers * CLIENTS_PER_ROUTER)
        .map(|index| {
            let (cluster, traffic) = (Arc::clone(&cluster), Arc::clone(&traffic));
            thread::spawn(move || Client::new(&cluster, &traffic, index).run())
        })
        .collect();
    let proposals = propose_under_faults(&cluster);
    let unsettled = cluster.settle();
    cluster.finished.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let traffic = std::mem::take(&mut *traffic.lock().unwrap());
    let evidence = Evidence { traffic, proposals, unsettled, time_to_healthy };
    let mut figures = audit::audit(&cluster, evidence);
    cluster.end(&mut figures);
    Ok(figures)
}

/// Proposes changes and injects faults until the plan's time is over.
fn propose_under_faults(cluster: &Arc<Cluster>) -> Vec<Proposal> {
    let faulty = Arc::clone(cluster);
    let faults = thread::spawn(move || FaultInjector::new(&faulty).run());
    let proposals = Proposer::new(cluster).run();
    cluster.faults_finished.store(true, Ordering::SeqCst);
    faults.join().expect("faults end");
    proposals
}

//! The policy experiment: runs several routers of one fleet as processes, and changes the policy while faults
//! are injected. Clients and endpoints can observe which policy version decided a request: rejections state
//! the version's Retry-After, and attempts state the copy age that the version accepts. The audit therefore
//! determines the version of each request without trusting what routers report.

mod audit;
mod history;
mod observations;
mod proposals;
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

/// Names of the faults that only this experiment injects.
pub const FAULTS: &[&str] = &["torn", "proposers", "drain", "purge", "badchange", "strand"];

/// Names of the safety checks that this experiment can disable.
const CHECKS: &[&str] = &["lease", "staged", "compare", "incarnation", "pinned", "synced"];

/// The number of stand-in endpoints.
const ENDPOINTS: usize = 4;

/// The number of clients of each router.
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

/// Proposes changes and injects faults until the plan's time is over. Returns the proposals.
fn propose_under_faults(cluster: &Arc<Cluster>) -> Vec<Proposal> {
    let injected_cluster = Arc::clone(cluster);
    let faults = thread::spawn(move || FaultInjector::new(&injected_cluster).run());
    let proposals = Proposer::new(cluster).run();
    cluster.faults_finished.store(true, Ordering::SeqCst);
    faults.join().expect("the fault injector does not panic");
    proposals
}

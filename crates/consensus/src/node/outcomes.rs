//! Records and reports the outcomes of requests, by which the leader assesses a change on probation.

use tindoor::time::{Moment, Span};
use tindoor_membership::Incarnation;
use tindoor_policy::{OutcomeCount, TrafficCell};

use super::Node;
use crate::messages::{ClassOutcomes, Command, Message};

/// How much longer outcomes are kept than the assessment of a change needs them, in seconds.
const OUTCOME_RETENTION_MARGIN_S: f64 = 5.0;

impl Node {
    /// Records the outcomes of requests of one class that were decided under the given generation.
    pub fn record_outcomes(&mut self, generation: u64, class: u16, count: OutcomeCount) {
        self.unreported_outcomes.entry((generation, class)).or_default().add(count);
    }

    /// Reports outcomes to the voters. The report also shows them that this router is alive, so it is sent
    /// even if there are no outcomes.
    pub(super) fn report_outcomes(&mut self, now: Moment) {
        let unreported = std::mem::take(&mut self.unreported_outcomes).into_iter();
        let outcomes: Vec<ClassOutcomes> = unreported
            .map(|((generation, class), count)| ClassOutcomes { generation, class, count })
            .collect();
        let (incarnation, location) = (self.identity.incarnation, self.identity.location);
        for replica_id in self.agreed.voters.clone() {
            if self.identity.replica_id == Some(replica_id) {
                self.record_report(now, incarnation, location, &outcomes);
            } else if let Some(address) = self.replica_address(replica_id).map(str::to_string) {
                let command = Command::ReportOutcomes { incarnation, location, outcomes: outcomes.clone() };
                // With the maximum number of hops, the voter does not forward the report.
                self.send(&address, Message::Command { hops: self.limits.command_hops, command });
            }
        }
    }

    /// Records a member's outcome report. Ignores reports from routers that are not members.
    pub(super) fn record_report(
        &mut self,
        now: Moment,
        member: Incarnation,
        location: u16,
        outcomes: &[ClassOutcomes],
    ) {
        if !self.agreed.members.contains(member) {
            return;
        }
        self.failure_detector.record_heartbeat(member, now);
        let probation = &self.limits.probation;
        let retention =
            probation.baseline_window + probation.max_duration + Span::secs(OUTCOME_RETENTION_MARGIN_S);
        for ClassOutcomes { generation, class, count } in outcomes {
            self.outcome_window.add(
                now,
                retention,
                *generation,
                TrafficCell { location, class: *class },
                *count,
            );
        }
    }
}

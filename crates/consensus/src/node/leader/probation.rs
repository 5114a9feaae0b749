//! The leader's handling of the change on probation: the leader assesses it by the outcomes of requests, and
//! keeps or reverts it.

use tindoor::time::Moment;
use tindoor_policy::{Assessment, GenerationChange, LogEntry, OnProbation, Probation, Proposal};

use super::super::Node;

/// The factor by which the token of a revert is derived from the reverted generation.
const REVERT_TOKEN_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

impl Node {
    /// Assesses the change on probation, and proposes to keep or revert it once the assessment is certain.
    pub(super) fn reconcile_probation(&mut self, now: Moment) {
        let Some((generation, assessment)) = self.assess_probation(now) else { return };
        let finding = match assessment {
            Assessment::Undecided => return,
            Assessment::Harm { location, class, before, after } => {
                let note = format!(
                    "in time at location {location}, offering {class}: {before:.3} before, {after:.3} after"
                );
                return self.propose_revert(now, generation, &note);
            }
            Assessment::UnrelatedFault { began_before: true } => "kept: trouble that had begun before",
            Assessment::UnrelatedFault { .. } => "kept: trouble everywhere alike",
            Assessment::NoHarm => "kept: no harm",
            Assessment::TooLittleTraffic => "kept: too little traffic to tell",
        };
        self.propose(now, LogEntry::ProbationEnded { generation, finding: finding.into() });
    }

    /// Returns the generation on probation and its assessment. `None` if no generation is on probation.
    fn assess_probation(&mut self, now: Moment) -> Option<(u64, Assessment)> {
        let leadership = self.leadership.as_mut()?;
        let Some(OnProbation { generation, previous }) = &self.agreed.probation else {
            leadership.probation = None;
            return None;
        };
        let change = GenerationChange { from: previous.generation, to: *generation };
        let current = leadership.probation.take().filter(|known| known.change().to == change.to);
        let probation = current.unwrap_or_else(|| {
            // A leader elected since the decision may not have observed it. The period before the change then
            // ends now.
            let decided = self.observed_decision.filter(|decision| decision.to_generation == change.to);
            let began = decided.map_or(now, |decision| decision.at);
            Probation::begin(self.limits.probation, &self.outcome_window, change, began)
        });
        let assessment = probation.assess(&self.outcome_window, now);
        leadership.probation = Some(probation);
        Some((change.to, assessment))
    }

    /// Proposes to revert the generation. The token depends only on the generation, so that repeated
    /// proposals of the revert take effect only once.
    fn propose_revert(&mut self, now: Moment, generation: u64, note: &str) {
        if let Ok(proposal) = self.revert_proposal(generation, "probation", note) {
            let token = generation.wrapping_mul(REVERT_TOKEN_FACTOR) | 1;
            self.propose(now, LogEntry::Propose(Proposal { token, ..proposal }));
        }
    }
}

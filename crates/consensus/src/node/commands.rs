//! Handles commands for the leader, whether submitted here or forwarded by other members.

use tindoor::time::Moment;
use tindoor_policy::{AgreedState, StagedChange};

use super::Node;
use crate::errors::SubmitError;
use crate::messages::{Command, Message};

use rand::Rng;

impl Command {
    pub(super) fn is_join(&self) -> bool {
        matches!(self, Self::Join { .. })
    }

    /// Returns whether a submitted command has not yet taken effect.
    fn is_pending(&self, agreed: &AgreedState) -> bool {
        match self {
            Self::Propose(proposal) => {
                let is_staged = agreed.staged.as_ref().is_some_and(|staged| staged.token == proposal.token);
                !is_staged && agreed.past_proposal(proposal.token).is_none()
            }
            Self::Withdraw { generation } => {
                let is_undecided =
                    |staged: &StagedChange| !staged.is_decided() && staged.version.generation == *generation;
                agreed.staged.as_ref().is_some_and(is_undecided)
            }
            Self::RemoveMember { name } => agreed.members.find_by_name(name).is_some(),
            _ => false,
        }
    }
}

impl Node {
    /// Submits a command to the leader, and sends it again until its outcome is known.
    pub fn submit(&mut self, now: Moment, command: Command) -> Result<(), SubmitError> {
        if self.pending_commands.len() >= self.limits.pending_commands {
            return Err(SubmitError::TooManyPending);
        }
        self.pending_commands.push_back(command.clone());
        self.route_command(now, 0, command);
        self.advance_replica(now);
        Ok(())
    }

    /// Asks the leader to remove this router from the fleet. The router must no longer accept requests.
    pub fn leave(&mut self, now: Moment) {
        self.route_command(now, 0, Command::Leave { incarnation: self.identity.incarnation });
        self.advance_replica(now);
    }

    /// Returns a random token for a proposal.
    pub fn new_token(&mut self) -> u64 {
        self.rng.random()
    }

    /// Discards commands that have taken effect and sends the remaining ones again.
    pub(super) fn resend_pending_commands(&mut self, now: Moment) {
        let agreed = &self.agreed;
        self.pending_commands.retain(|command| command.is_pending(agreed));
        for command in self.pending_commands.clone() {
            self.route_command(now, 0, command);
        }
    }

    /// Sends the result of checking the proposed policy to the leader.
    pub(super) fn send_policy_check(&mut self, now: Moment) {
        let proposed = self.agreed.staged.as_ref().filter(|staged| !staged.is_decided());
        let Some(generation) = proposed.map(|staged| staged.version.generation) else { return };
        let Some(objection) = self.policy_checks.get(&generation) else { return };
        let objection = objection.as_ref().map(|objection| objection.reason.clone());
        // A router can't accept a change if it does not know the fleet's time precisely enough to activate
        // it.
        let is_time_precise = || {
            let time = self.fleet_time(now);
            time.is_some_and(|time| time.error_bound() <= self.timings.clock_bound * 0.5)
        };
        if objection.is_none() && !is_time_precise() || !self.is_member() {
            return;
        }
        let incarnation = self.identity.incarnation;
        self.route_command(now, 0, Command::PolicyCheck { generation, incarnation, objection });
    }

    /// Executes a command if this router is the leader, otherwise forwards it towards the leader. Drops the
    /// command if it was already forwarded the maximum number of times.
    pub(super) fn route_command(&mut self, now: Moment, hops: u8, command: Command) {
        if let Command::ReportOutcomes { incarnation, location, outcomes } = &command {
            return self.record_report(now, *incarnation, *location, outcomes);
        }
        if self.is_leader() {
            return self.execute_command(now, command);
        }
        if hops >= self.limits.command_hops {
            return;
        }
        let leader = self.leader_address().filter(|leader| *leader != self.identity.address);
        let next_hop = leader.or_else(|| self.random_peer(now, false)).or_else(|| self.random_seed_address());
        if let Some(address) = next_hop {
            self.send(&address, Message::Command { hops: hops + 1, command });
        }
    }
}

//! Policies in the course of a change: proposed, staged, on probation, and past. These types are stored and
//! sent in postcard's form, where the order of fields and variants is fixed. Past proposals are also printed
//! as JSON for operators; the renamed fields and variants keep the names that these read.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tindoor_membership::FleetTime;

use crate::Policy;

/// A policy with its place in the sequence of policies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyVersion {
    /// Its number: 1, 2, and so on.
    pub generation: u64,
    /// The generation that it was derived from.
    pub base_generation: u64,
    /// The hash of its content.
    pub hash: String,
    /// The policy.
    pub policy: Arc<Policy>,
}

/// A policy that is proposed to replace the one in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// A random number by which the proposal is found again, and accepted only once.
    pub token: u64,
    /// The generation that it was derived from.
    pub base_generation: u64,
    /// The policy.
    pub policy: Policy,
    /// The generation that it reverts, if any.
    pub reverts: Option<u64>,
    /// Who proposes it.
    pub author: String,
    /// A note of the author.
    pub note: String,
}

/// A proposal that was accepted and has not ended yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StagedChange {
    /// The new version.
    pub version: PolicyVersion,
    /// The proposal's token.
    pub token: u64,
    /// The generation that it reverts, if any.
    pub reverts: Option<u64>,
    /// Who proposed it.
    pub author: String,
    /// A note of the author.
    pub note: String,
    /// The index of the log at which it was proposed.
    pub index: u64,
    /// When it takes effect, once that is decided.
    pub activation_time: Option<FleetTime>,
}

impl StagedChange {
    /// Whether it is decided that the change takes effect.
    pub fn is_decided(&self) -> bool {
        self.activation_time.is_some()
    }
}

/// A change in force whose effect is observed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OnProbation {
    /// The generation of the change.
    pub generation: u64,
    /// The version that it replaced.
    pub previous: PolicyVersion,
}

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// It was never accepted, for this reason.
    #[serde(rename = "Refused")]
    Rejected(String),
    /// It was accepted, and cancelled for this reason.
    #[serde(rename = "CalledOff")]
    Cancelled(String),
    /// It took effect.
    #[serde(rename = "TookHold")]
    Activated,
}

/// A proposal that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PastProposal {
    /// The proposal's token.
    pub token: u64,
    /// Its generation; none where it was rejected.
    pub generation: Option<u64>,
    /// The generation that it was derived from.
    #[serde(rename = "made_from")]
    pub base_generation: u64,
    /// The hash of its content.
    pub hash: String,
    /// Who proposed it.
    #[serde(rename = "by")]
    pub author: String,
    /// A note of the author.
    pub note: String,
    /// The generation that it reverts, if any.
    #[serde(rename = "undoes")]
    pub reverts: Option<u64>,
    /// How it ended.
    #[serde(rename = "end")]
    pub outcome: ProposalOutcome,
}

impl PastProposal {
    /// The record of a proposal that was rejected.
    pub(super) fn rejected(proposal: Proposal, reason: String) -> Self {
        Self {
            token: proposal.token,
            generation: None,
            base_generation: proposal.base_generation,
            hash: proposal.policy.hash(),
            author: proposal.author,
            note: proposal.note,
            reverts: proposal.reverts,
            outcome: ProposalOutcome::Rejected(reason),
        }
    }

    /// The record of an accepted proposal.
    pub(super) fn ended(staged: StagedChange, outcome: ProposalOutcome) -> Self {
        Self {
            token: staged.token,
            generation: Some(staged.version.generation),
            base_generation: staged.version.base_generation,
            hash: staged.version.hash,
            author: staged.author,
            note: staged.note,
            reverts: staged.reverts,
            outcome,
        }
    }
}

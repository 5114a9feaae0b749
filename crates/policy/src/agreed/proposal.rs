//! The stages of a policy change: proposed, staged, on probation, and past. These types are stored and sent
//! in postcard encoding, so the order of fields and variants must not change. Past proposals are also printed
//! as JSON for operators; the `#[serde(rename)]` names are those in the JSON.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tindoor_membership::FleetTime;

use crate::Policy;

/// A policy with its generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyVersion {
    /// The generation of the policy, counted from 1.
    pub generation: u64,
    /// The generation that the policy was derived from.
    pub base_generation: u64,
    /// The hash of the policy, as [`Policy::hash`] returns it.
    pub hash: String,
    /// The policy.
    pub policy: Arc<Policy>,
}

/// A proposal to replace the policy in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// A random number that identifies the proposal, so that it is accepted only once even if it is repeated.
    pub token: u64,
    /// The generation that the policy was derived from.
    pub base_generation: u64,
    /// The proposed policy.
    pub policy: Policy,
    /// The generation that the proposal reverts; `None` if it is not a revert.
    pub reverts: Option<u64>,
    /// The author of the proposal.
    pub author: String,
    /// The author's note.
    pub note: String,
}

/// An accepted proposal that has been neither activated nor cancelled yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StagedChange {
    /// The proposed policy and the generation that it was given.
    pub version: PolicyVersion,
    /// The token of the proposal.
    pub token: u64,
    /// The generation that the change reverts; `None` if it is not a revert.
    pub reverts: Option<u64>,
    /// The author of the proposal.
    pub author: String,
    /// The author's note.
    pub note: String,
    /// The log index of the proposal.
    pub index: u64,
    /// When the change takes effect; `None` until that is decided.
    pub activation_time: Option<FleetTime>,
}

impl StagedChange {
    /// Returns whether the activation time of the change is decided.
    pub fn is_decided(&self) -> bool {
        self.activation_time.is_some()
    }
}

/// A change in force whose effect on requests is being observed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OnProbation {
    /// The generation of the change.
    pub generation: u64,
    /// The policy version that the change replaced.
    pub previous: PolicyVersion,
}

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// The proposal was not accepted, for this reason.
    #[serde(rename = "Refused")]
    Rejected(String),
    /// The proposal was accepted and then cancelled, for this reason.
    #[serde(rename = "CalledOff")]
    Cancelled(String),
    /// The proposed policy took effect.
    #[serde(rename = "TookHold")]
    Activated,
}

/// The record of a proposal that was rejected, cancelled or activated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PastProposal {
    /// The token of the proposal.
    pub token: u64,
    /// The generation that the proposal was given; `None` if it was rejected.
    pub generation: Option<u64>,
    /// The generation that the policy was derived from.
    #[serde(rename = "made_from")]
    pub base_generation: u64,
    /// The hash of the proposed policy.
    pub hash: String,
    /// The author of the proposal.
    #[serde(rename = "by")]
    pub author: String,
    /// The author's note.
    pub note: String,
    /// The generation that the proposal reverts; `None` if it is not a revert.
    #[serde(rename = "undoes")]
    pub reverts: Option<u64>,
    /// How the proposal ended.
    #[serde(rename = "end")]
    pub outcome: ProposalOutcome,
}

impl PastProposal {
    /// Creates the record of a rejected proposal.
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

    /// Creates the record of an accepted proposal that has ended.
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

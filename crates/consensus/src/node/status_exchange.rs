//! Status requests and responses, by which routers catch up, confirm each other's index and read each other's
//! clocks.

use rand::Rng;
use tindoor::time::{Moment, Span};
use tindoor_membership::{ClockExchange, ClockOffset, Confirmation, Incarnation, Interval};

use super::Node;
use crate::messages::{AgedConfirmation, CatchUp, Envelope, Message, PeerConfirmation};

/// Confirmations by other peers are requested when less than this fraction of the lease remains.
const PEER_CONFIRMATION_LEASE_PART: f64 = 0.7;

/// In large fleets, the lease is renewed by confirmations of peers only when less than this fraction of it
/// remains, because each renewal reads the confirmations of all members.
const PEER_RENEWAL_LEASE_PART: f64 = 0.6;

/// The number of members above which a fleet is large.
const LARGE_FLEET_MEMBERS: usize = 64;

/// The fields of a received status request.
struct StatusRequest {
    nonce: u64,
    fleet: u64,
    index: u64,
    wants_peer_confirmations: bool,
}

impl Node {
    /// Handles a received message. Ignores messages of other fleets and, except for status requests and
    /// joins, messages from unknown processes.
    pub fn receive(&mut self, now: Moment, envelope: Envelope) {
        let Envelope { fleet, sender, sender_address, message } = envelope;
        if fleet != self.fleet || sender == self.identity.incarnation {
            return;
        }
        let is_known = self.is_known(sender, &sender_address);
        match message {
            Message::StatusRequest { nonce, fleet, index, wants_peer_confirmations } => {
                // A router that does not know its fleet requests the status of a requester that does, because
                // its seeds may all lack this knowledge.
                if self.agreed.fleet == 0 && fleet != 0 {
                    self.request_status(now, &sender_address);
                }
                let request = StatusRequest { nonce, fleet, index, wants_peer_confirmations };
                self.respond_status(now, &sender_address, &request);
            }
            Message::Command { hops, command } if is_known || command.is_join() => {
                self.route_command(now, hops, command);
            }
            _ if !is_known => {}
            message @ Message::StatusResponse { .. } => self.handle_status_response(now, sender, message),
            Message::QuotaRequest(request) => self.grant_quota(now, sender, &sender_address, request),
            Message::QuotaGrant(grant) => self.quota.accept_grant(now, grant),
            Message::Raft(bytes) => {
                if let Some(replica) = &mut self.replica {
                    replica.step(&bytes);
                }
            }
            Message::Command { .. } => {}
        }
        self.advance_replica(now);
    }

    /// Sends a status request to an address.
    pub(super) fn request_status(&mut self, now: Moment, address: &str) {
        while self.status_requests.len() >= self.limits.outstanding_requests {
            self.status_requests.pop_first();
        }
        // Nonces increase, so that the oldest request is forgotten first. The first nonce is random, so that
        // a response to an earlier process of this router does not match.
        self.last_nonce = match self.last_nonce {
            0 => self.rng.random::<u64>() >> 1,
            last => last + 1,
        };
        self.status_requests.insert(self.last_nonce, now);
        let request = Message::StatusRequest {
            nonce: self.last_nonce,
            fleet: self.agreed.fleet,
            index: self.agreed.index,
            wants_peer_confirmations: self.lease.remaining(now)
                < self.timings.lease * PEER_CONFIRMATION_LEASE_PART,
        };
        self.send(address, request);
    }

    /// Responds to a status request, unless this router knows no fleet or the requester belongs to another
    /// fleet.
    fn respond_status(&mut self, now: Moment, address: &str, request: &StatusRequest) {
        if self.agreed.fleet == 0 || request.fleet != 0 && request.fleet != self.agreed.fleet {
            return;
        }
        let quorum = self.lease.latest_quorum_confirmation();
        let response = Message::StatusResponse {
            nonce: request.nonce,
            clock_micros: now.as_micros() as i64,
            clock_offsets: self.clock_offsets(now),
            index: self.agreed.index,
            confirms_index: !self.agreed.has_undecided_change(),
            quorum_confirmation: quorum.map(|confirmation| AgedConfirmation {
                index: confirmation.index,
                age_micros: self.age_micros(now, confirmation.at),
            }),
            peer_confirmations: self.peer_confirmations(now, request.wants_peer_confirmations),
            catch_up: self.catch_up(request),
            leader_address: self.leader_address(),
        };
        self.send(address, response);
    }

    /// Returns the log entries or the state that the sender of a request is missing.
    fn catch_up(&self, request: &StatusRequest) -> CatchUp {
        let agreed = &self.agreed;
        if request.fleet != 0 && request.index >= agreed.index {
            return CatchUp::None;
        }
        let missing = agreed.index - request.index.min(agreed.index);
        if request.fleet != 0 && missing <= self.recent_entries.len() as u64 {
            let skipped = self.recent_entries.len() - missing as usize;
            let entries = self.recent_entries.iter().skip(skipped).cloned().collect();
            CatchUp::Entries { first: request.index + 1, entries }
        } else {
            CatchUp::Snapshot(postcard::to_stdvec(agreed).expect("plain values can be encoded"))
        }
    }

    /// Returns the confirmations of this router's index by peers, if they are `wanted`.
    fn peer_confirmations(&self, now: Moment, wanted: bool) -> Vec<PeerConfirmation> {
        if !wanted {
            return Vec::new();
        }
        let known = self.lease.peer_confirmations(self.agreed.index, self.limits.peer_confirmations);
        let aged = |(peer, at)| PeerConfirmation { peer, age_micros: self.age_micros(now, at) };
        known.into_iter().map(aged).collect()
    }

    /// Returns the offsets of the clocks that can be read here.
    ///
    /// A router whose clock has jumped reports no offsets for the length of a lease, so that peers keep their
    /// earlier readings of its clock. After that it reports them even if its clock is still not trusted.
    /// Otherwise, if all clocks have jumped (for example, because all machines were suspended at once), no
    /// router would ever receive readings that its own could agree with.
    fn clock_offsets(&self, now: Moment) -> Vec<ClockOffset> {
        let own = self.identity.incarnation;
        if self.clocks.untrusted_since().is_some_and(|since| now.since(since) < self.timings.lease) {
            return Vec::new();
        }
        let mut offsets = Vec::new();
        if self.is_clock_candidate(own) {
            offsets.push(ClockOffset { clock: own, offset: Interval { low: 0, high: 0 } });
        }
        let read = |clock: &Incarnation| {
            let offset = self.clocks.offset_of(&self.timings, *clock, now)?;
            Some(ClockOffset { clock: *clock, offset })
        };
        offsets.extend(self.agreed.clocks.keys().filter(|clock| **clock != own).filter_map(read));
        offsets
    }

    /// Returns the maximum age that a moment may have by another router's clock, in microseconds.
    fn age_micros(&self, now: Moment, at: Moment) -> u64 {
        let age = now.since(at);
        age.as_micros() + self.timings.drift(age).as_micros()
    }

    /// Converts an age in a response to a moment by the local clock. The result is no later than the true
    /// moment, because the age and the possible clock drift are subtracted from the time of the request.
    fn moment_of_age(&self, requested_at: Moment, age_micros: u64) -> Moment {
        let drift = self.timings.drift(Span::micros(age_micros)).as_micros();
        requested_at - Span::micros(age_micros.saturating_add(drift))
    }

    /// Handles a status response. Ignores it if no request with its nonce is outstanding.
    fn handle_status_response(&mut self, now: Moment, sender: Incarnation, response: Message) {
        let Message::StatusResponse {
            nonce,
            clock_micros,
            clock_offsets,
            index,
            confirms_index,
            quorum_confirmation,
            peer_confirmations,
            catch_up,
            leader_address,
        } = response
        else {
            return;
        };
        // Only a response to a known request can be used, because the time of the request bounds the ages in
        // the response.
        let Some(requested_at) = self.status_requests.remove(&nonce) else { return };
        self.apply_catch_up(now, catch_up);
        self.failure_detector.record_heartbeat(sender, now);
        let exchange = ClockExchange {
            peer: sender,
            requested_at,
            answered_at: now,
            peer_clock_micros: clock_micros,
            offsets: &clock_offsets,
        };
        self.clocks.record_exchange(&self.timings, &exchange);
        if self.is_clock_untrusted(now) {
            self.lease.expire();
        }
        if let Some(AgedConfirmation { index, age_micros }) = quorum_confirmation {
            let at = self.moment_of_age(requested_at, age_micros);
            self.lease.confirm_by_quorum(&self.timings, self.agreed.index, Confirmation { index, at });
        }
        if confirms_index {
            self.lease.confirm_by_peer(sender, Confirmation { index, at: requested_at });
            for PeerConfirmation { peer, age_micros } in peer_confirmations {
                let at = self.moment_of_age(requested_at, age_micros);
                self.lease.confirm_by_peer(peer, Confirmation { index, at });
            }
        }
        if leader_address.as_deref() != Some(&self.identity.address) {
            self.reported_leader = leader_address.or(self.reported_leader.take());
        }
        self.renew_lease(now);
    }

    /// Applies the log entries or the state that a peer sent.
    fn apply_catch_up(&mut self, now: Moment, catch_up: CatchUp) {
        match catch_up {
            CatchUp::None => {}
            CatchUp::Snapshot(bytes) => self.install_snapshot(now, &bytes),
            CatchUp::Entries { first, entries } => {
                for (position, bytes) in entries.iter().enumerate() {
                    if let Ok(entry) = postcard::from_bytes(bytes) {
                        self.apply_entry(now, first + position as u64, entry);
                    }
                }
            }
        }
    }

    /// Renews the lease by the confirmations of peers.
    pub(super) fn renew_lease(&mut self, now: Moment) {
        let is_long = self.lease.remaining(now) > self.timings.lease * PEER_RENEWAL_LEASE_PART;
        if is_long && self.agreed.members.members().len() > LARGE_FLEET_MEMBERS {
            return;
        }
        let own = Confirmation { index: self.agreed.index, at: now };
        let confirms_index = !self.agreed.has_undecided_change() && self.is_member();
        let members = self.agreed.members.members().keys();
        self.lease.renew(&self.timings, own, confirms_index, members, self.identity.incarnation);
    }
}

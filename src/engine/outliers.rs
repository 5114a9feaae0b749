//! Outcome windows and outlier ejection.

use super::*;

impl<H: Host> RoutingEngine<H> {
    /// The part of its objects that a slow parent keeps, a tenth at least to see it recover: less as fills
    /// took longer than the best one's, so not where all are slow. Could harm where the best can't do it all.
    pub(super) fn fitness(&self, member: &Member) -> f64 {
        if member.tier != Tier::Parent {
            return 1.0;
        }
        let usual = self.strain(&self.fill_loads[0], 40, 0.3)[1];
        let pressure = |m: &Member| self.strain(&m.loads, 12, usual)[1];
        let own = pressure(member);
        if own <= 0.45 {
            return 1.0;
        }
        let ready = self.tier(member.tier).filter(|m| m.is_ready());
        let best = ready.map(pressure).fold(own, f64::min);
        if own > 2.0 * best { (best / own).max(0.1) } else { 1.0 }
    }

    /// Left out, and not yet due for a trial request.
    pub(super) fn ill(&self, member: &Member) -> bool {
        member.out_until.is_some_and(|until| until > self.now || member.out > 0)
    }

    /// Leaves a member out for a while that grows with each time, unless the rest would drown.
    pub(super) fn leave_out(&mut self, no: EndpointId) {
        let now = self.now;
        let member = self.member(no);
        let all = self.size(member.tier, now + Span::millis(1));
        let ready = self.tier(member.tier).filter(|m| m.is_ready());
        let left_out = ready.filter(|m| m.out_until.is_some() || m.listed.cache == no);
        let out: f64 = left_out.map(|m| f64::from(m.listed.size)).sum();
        if out > all * 0.6 || member.out_until.is_some_and(|until| until > now) {
            return;
        }
        let member = self.member_mut(no);
        let pause = Span::millis(1000) * 1.5f64.powi(member.outages.min(5));
        member.outages += 1;
        member.out_until = Some(now + pause);
        member.signs.0.clear();
    }

    /// Takes in one sign of a member's health and judges it against its peers.
    pub(super) fn sign(&mut self, no: EndpointId, good: bool) {
        let member = self.member_mut(no);
        member.signs.add(good);
        let on_trial = member.out_until.is_some();
        let well = member.signs.0.iter().filter(|good| **good).count();
        let bad = member.signs.0.len() - well;
        let member = self.member(no);
        if member.tier == Tier::Origin {
            return;
        }
        let fit = |m: &&Member| m.is_ready() && m.out_until.is_none();
        let peers = self.tier(member.tier).filter(fit).filter(|m| m.listed.cache != no);
        let theirs: Vec<bool> = peers.flat_map(|m| m.signs.0.iter().copied()).collect();
        let peer_bad = theirs.iter().filter(|good| !**good).count() as f64 / theirs.len().max(1) as f64;
        let share = bad as f64 / member.signs.0.len() as f64;
        let failing = bad >= 3 && share > 0.3 + 1.5 * peer_bad;
        if failing || (on_trial && !good) {
            self.leave_out(no);
        } else if on_trial && well >= 3 {
            let member = self.member_mut(no);
            member.out_until = None;
            member.outages -= 1;
        }
    }

    /// Draws from the end of a attempt what it says of cache, source and request class.
    pub(super) fn learn(
        &mut self,
        cache: EndpointId,
        source: Option<EndpointId>,
        asked: &RequestMeta,
        end: Outcome,
    ) {
        let Outcome { status: verdict, detail: note } = end;
        let source = source.filter(|s| *s != cache);
        match verdict {
            AttemptStatus::Served => {
                let giver = source.filter(|_| {
                    matches!(note, OutcomeDetail::FilledFromSource | OutcomeDetail::FilledFromOrigin)
                });
                if giver.is_some_and(|giver| self.is_warm(giver)) {
                    self.fills.add((self.now, asked.class));
                }
                if self.is_warm(cache) && self.member(cache).tier == Tier::Cache {
                    self.served.add((self.now, asked.class));
                }
                giver.into_iter().chain([cache]).for_each(|no| self.sign(no, true));
            }
            AttemptStatus::Cancelled | AttemptStatus::Superseded | AttemptStatus::Miss => {}
            AttemptStatus::Overloaded if note != OutcomeDetail::SourceUnreachable => {}
            _ => {
                let by_source =
                    matches!(note, OutcomeDetail::SourceOverloaded | OutcomeDetail::SourceUnreachable);
                if !by_source && note != OutcomeDetail::OriginFailed {
                    self.sign(cache, false);
                }
                let unsure = note == OutcomeDetail::Unknown && verdict != AttemptStatus::Unreachable;
                if let Some(source) = source.filter(|_| by_source || unsure) {
                    self.sign(source, false);
                    // A parent that is not there at all may be started again before the list tells, and is
                    // taken for cold since: else all flood it once it answers, and it falls over. Guards
                    // what restarts or is lost together; harms where connects fail for another reason.
                    if verdict == AttemptStatus::Overloaded {
                        self.member_mut(source).listed.started = Some(self.now);
                    }
                }
            }
        }
    }
}

//! Attempts: the one place that sends, timeouts, hang detection, and the end of an attempt.

use super::*;

impl<H: Host> RoutingEngine<H> {
    /// The one place that every send passes; here the rules are kept.
    pub(super) fn send(
        &mut self,
        no: RequestSlot,
        cache: EndpointId,
        source: Option<EndpointId>,
        filling: Filling,
    ) {
        // Rule 1: nothing after the final answer, and time must be left for one.
        let Some(held) = self.held(no).filter(|held| !held.finished) else { return };
        let (class, left) = (held.asked.class, held.end.since(self.now));
        // Rule 2: what may have run goes again only where a repeat does no harm.
        let settings = self.class(class);
        let idempotent = settings.idempotency == Idempotency::Idempotent;
        let place = |cache: EndpointId| (self.member(cache).listed.location, self.member(cache).listed.cell);
        let harmless = match (settings.idempotency, held.first_ran()) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::WithKey, Some((since, first))) => {
                let same = match settings.retry_scope {
                    RetryScope::Location => place(first).0 == place(cache).0,
                    RetryScope::Cell => place(first) == place(cache),
                    RetryScope::Everywhere => true,
                    RetryScope::Nowhere => false,
                };
                same && self.now.since(since) + Span::millis(20) < settings.retry_window.unwrap_or_default()
            }
            _ => false,
        };
        let open = held.open().count();
        let second = open == 1 && self.settings.attempts.hedging && idempotent;
        // Rule 3: a cache that drains or is gone gets nothing, be it as cache or as source.
        let both_ready = [Some(cache), source].into_iter().flatten().all(|no| self.member(no).is_ready());
        // Rule 4: a cold cache or source is not pushed over.
        let work = self.mean_work(held.asked.class);
        let bears = |no: EndpointId| self.bears(self.member(no), work, held.lot);
        let borne = bears(cache) && source.is_none_or(bears);
        let more = held.attempts.len() < self.settings.attempts.max_attempts();
        if !(left >= Span::millis(10) && more && harmless && (open == 0 || second) && both_ready && borne) {
            return self.give_up(no);
        }
        // Rule 5: the oldest copy allowed is younger than the newest purge that this router knows of.
        let purge = [(true, held.asked.object), (false, u64::from(held.asked.group))];
        let purged = purge.iter().filter_map(|key| self.purges.get(key)).max();
        let since_purge = purged.map(|at| self.now.since(*at).max(Span::micros(1)));
        let retry = held.attempts.iter().any(Attempt::fills_misses);
        // A copy past its fresh time earns less: for when a attempt has failed or no more fills are let in.
        let fresh = self.class(class).max_age.unwrap_or_default();
        let scarce = [0, 1].into_iter().any(|far| self.fill_crowd(held, far) >= 1.0);
        let older = if retry || scarce {
            self.class(class).stale_while_failing.unwrap_or_default()
        } else {
            Span::ZERO
        };
        let cap = Some(fresh + older).filter(|_| fresh > Span::ZERO && (retry || scarce || purged.is_some()));
        let max_age = cap.into_iter().chain(since_purge).min();
        let keep = !self.class(class).runs_at_origin;
        let spare = filling == Filling::AsItComes && source.is_some_and(|s| self.is_warm(s));
        let refresh = keep && spare && fresh > Span::ZERO;
        let wait = self.patience(held, left);
        let check = self.hush(cache);
        let sent = (held.serial, held.attempts.len() as u16);
        let further =
            held.attempts.iter().any(|d| !matches!(d.end, Some(Outcome { status: AttemptStatus::Miss, .. })));
        let fills = keep && source.is_some() && matches!(filling, Filling::AsItComes | Filling::Surely);
        let (look, only_if_cached) = (filling == Filling::Not, filling == Filling::IfHeld);
        let stable = self.member(cache).listed.stable;
        if !self.host.charge_quota(no, QuotaCharge { cache: stable, class, look, fills, further }) {
            return self.give_up(no);
        }
        let directives = |source| FillDirectives {
            source,
            max_age,
            join_fill: keep,
            only_if_cached,
            refresh,
            retention_rank: u8::from(keep),
        };
        match source {
            Some(source) => self.host.send_with_fill(no, cache, wait, directives(source)),
            None => self.host.send_cache_only(no, cache, wait),
        }
        let now = self.now;
        self.draw(cache, class, Some(sent));
        source.filter(|s| *s != cache).into_iter().for_each(|s| self.draw(s, class, Some(sent)));
        let member = self.member_mut(cache);
        if member.out == 0 {
            member.heard = now;
        }
        member.out += 1;
        let load = f64::from(member.out);
        self.filling[filling as usize] += 1.0;
        let fills = [0, 1].map(|far| self.fills_in_hand(far));
        self.sends.add(retry);
        let (sent, cancelled, end) = (now, false, None);
        let sent = Attempt { cache, source, sent, load, filling, fills, cancelled, end };
        self.held_mut(no).into_iter().for_each(|held| held.attempts.push(sent));
        self.alarm(now + check, no);
    }

    /// How long one attempt may take: well beyond what its request class's answers took lately.
    pub(super) fn patience(&self, held: &Held, left: Span) -> Span {
        let usual = self.filled.quantile(0.95, |filled| filled.1).unwrap_or(left);
        let goal = Span::secs(self.goal(held.asked.class, self.work(&held.asked)));
        (usual * 3.0).max(self.class(held.asked.class).deadline * 0.75).max(goal * 1.5).min(left)
    }

    /// How long a cache with requests in hand may say nothing before it counts as hung.
    pub(super) fn hush(&self, cache: EndpointId) -> Span {
        let longest = self.member(cache).gaps.0.iter().max();
        (longest.copied().unwrap_or_default() * 2.0).max(Span::millis(400)).min(Span::millis(1500))
    }

    /// An alarm of a request rang: its time is up, a retry is due, or its cache may be hung.
    pub(super) fn due(&mut self, no: RequestSlot) {
        let Some(held) = self.held(no) else { return };
        if self.now >= held.end {
            return self.give_up(no);
        }
        if held.open().count() == 0 {
            return self.route(no);
        }
        let Some((nth, _)) = held.open().find(|(_, d)| !d.cancelled) else { return };
        let cache = held.attempts[nth].cache;
        let hush = self.hush(cache);
        let member = self.member(cache);
        let silent = self.now.since(member.heard);
        let over = self.now.since(held.attempts[nth].sent) >= hush;
        // A cache that takes requests and answers none: it is left before its requests' time-outs. Guards
        // against hangs, long pauses and lost answers; harms where a few huge objects are all it holds.
        let alternative = self.order(0, Tier::Cache).len() > 1;
        let repeatable = self.class(held.asked.class).idempotency == Idempotency::Idempotent;
        let hung = over && silent >= hush && member.out >= 3 && alternative && repeatable;
        if hung && self.settings.attempts.may_cancel() {
            self.leave_out(cache);
            self.held_mut(no).into_iter().for_each(|held| held.attempts[nth].cancelled = true);
            return self.host.cancel(no, nth as u16);
        }
        self.alarm(self.now + hush * 0.5, no);
    }

    /// A attempt ended; `last` says that the request is finished.
    pub fn attempt_ended(&mut self, no: RequestSlot, nth: u16, end: Outcome, took: Span, last: bool) {
        self.as_taken(no, |control| control.ended(no, nth, end, took, last));
    }

    pub(super) fn ended(&mut self, no: RequestSlot, nth: u16, end: Outcome, took: Span, last: bool) {
        let now = self.now;
        let Outcome { status: verdict, detail: note } = end;
        let Some(held) = self.held_mut(no) else { return };
        let (serial, asked) = (held.serial, held.asked);
        let open = held.attempts.get_mut(nth as usize).filter(|d| d.end.is_none());
        let Some(attempt) = open else { return };
        attempt.end = Some(end);
        let Attempt { cache, source, cancelled, load, filling, fills, .. } = *attempt;
        let member = self.member_mut(cache);
        member.out = member.out.saturating_sub(1);
        if verdict != AttemptStatus::Cancelled && verdict != AttemptStatus::TimedOut {
            member.gaps.add(now.since(member.heard));
            member.heard = now;
        }
        self.filling[filling as usize] -= 1.0;
        let work = self.work(&asked);
        let goal = self.goal(asked.class, work);
        // Where all is told, a late source is told of: a bare time-out may be just a lost answer.
        let told = self.settings.topology.fill_details_reported;
        let late = verdict == AttemptStatus::TimedOut && !cancelled && !told
            || note == OutcomeDetail::SourceUnreachable;
        let way = match note {
            OutcomeDetail::FilledFromSource => 1,
            OutcomeDetail::FilledFromOrigin | OutcomeDetail::OriginFailed => 2,
            _ if late => 1 + usize::from(told),
            _ => 0,
        };
        if verdict == AttemptStatus::Served && filling == Filling::AsItComes {
            self.filled.add((way, took));
        }
        if let Some(source) = source.filter(|s| *s != cache && (way == 1 || late)) {
            let source = self.member_mut(source);
            source.loads.add(Load { at: now, held: 1.0, work, goal, took });
            source.heard = if late { source.heard } else { now };
        }
        if way > 0 {
            self.fill_loads[way - 1].add(Load { at: now, held: fills[way - 1], work, goal, took });
        }
        // A hit drew nothing from its source's budget.
        let hit = matches!(note, OutcomeDetail::Hit | OutcomeDetail::JoinedFill | OutcomeDetail::StaleHit);
        if let Some(source) = source.filter(|s| hit && *s != cache) {
            let drawn = self.member_mut(source).drawn.iter_mut();
            drawn.filter(|drawn| drawn.2 == Some((serial, nth))).for_each(|drawn| drawn.2 = None);
        }
        if matches!(note, OutcomeDetail::Hit | OutcomeDetail::StaleHit) {
            let load = Load { at: now, held: load, work, goal, took };
            self.member_mut(cache).loads.add(load);
            self.hits.add(load);
            let calm = self.strain(&self.hits, 40, 0.3)[1] < 0.6;
            // What slows all alike is no sending time; could harm where all objects grow at once.
            if load.held <= 3.0 && calm && self.member(cache).tier == Tier::Cache {
                self.easy[asked.class as usize].add(took);
            }
        }
        // What a bad client asks is an error at every cache, and says nothing of them: errors count once
        // another attempt of the request is done. Could harm where none ever is, as then none is left out.
        let errors: Vec<Attempt> = self.held(no).into_iter().flat_map(Held::errors).copied().collect();
        for failed in errors.into_iter().filter(|_| verdict == AttemptStatus::Served) {
            self.learn(failed.cache, failed.source, &asked, ERROR);
        }
        if !cancelled && end != ERROR {
            self.learn(cache, source, &asked, end);
        }
        if last || self.held(no).is_none_or(|held| held.finished) {
            return self.request_abandoned(no);
        }
        if matches!(filling, Filling::Not | Filling::IfHeld) && verdict == AttemptStatus::Miss {
            return self.route(no);
        }
        self.retry(no, verdict);
    }
}

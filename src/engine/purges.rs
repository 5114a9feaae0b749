//! Purges (rule 5).

use super::*;

impl<H: Host> RoutingEngine<H> {
    /// An object, or else a whole group, was purged so long ago.
    pub fn purged(&mut self, object: Option<u64>, group: u32, ago: Span) {
        let key = object.map_or((false, u64::from(group)), |object| (true, object));
        let at = self.now - ago;
        self.purges.entry(key).and_modify(|newest| *newest = at.max(*newest)).or_insert(at);
        // Memory stays bounded: once no older copy can be left anywhere, a purge is forgotten.
        let (now, gone) = (self.now, self.settings.purges.copies_gone_after());
        if now.since(self.swept) > gone {
            self.purges.retain(|_, at| now.since(*at) <= gone);
            self.swept = now;
        }
    }
}

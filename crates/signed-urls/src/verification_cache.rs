//! Tokens that were checked before, and what checks may cost a client. Both tables are bounded: two
//! generations, of which the older is dropped whole once the younger is full.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hash, Hasher};
use std::net::IpAddr;
use std::sync::Arc;

use siphasher::sip128::{Hasher128, SipHasher24};

use crate::claims::{Asked, Claims, Now, Refusal};
use crate::keys::KeySet;
use crate::{Format, holds};

/// Keys of the maps are even bits already.
#[derive(Default)]
struct Even(u64);

impl Hasher for Even {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }
    fn write_u128(&mut self, value: u128) {
        self.0 ^= value as u64;
    }
}

/// A map of so many entries at most: those not used for a generation go.
struct Generations<V> {
    young: HashMap<u128, V, BuildHasherDefault<Even>>,
    old: HashMap<u128, V, BuildHasherDefault<Even>>,
    most: usize,
}

impl<V> Generations<V> {
    fn new(most: usize) -> Self {
        Self { young: HashMap::default(), old: HashMap::default(), most: most.max(2) }
    }

    fn get(&mut self, key: u128) -> Option<&mut V> {
        if !self.young.contains_key(&key) {
            let value = self.old.remove(&key)?;
            self.put(key, value);
        }
        self.young.get_mut(&key)
    }

    fn put(&mut self, key: u128, value: V) {
        if self.young.len() >= self.most / 2 && !self.young.contains_key(&key) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(key, value);
    }

    fn remove(&mut self, key: u128) {
        self.young.remove(&key);
        self.old.remove(&key);
    }

    fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }
}

/// Every size and rate that checks keep to.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Verdicts known at once.
    pub verdicts: usize,
    /// How long one is known at most, in milliseconds.
    pub known_ms: u64,
    /// Clients whose costs are known at once.
    pub clients: usize,
    /// Signatures that a client may have checked at once, and a second. One that fails counts as four.
    pub burst: f64,
    pub rate: f64,
    /// Clients that may use one token while its verdict is known: a link that is passed round is used from
    /// many.
    pub addresses: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { verdicts: 1 << 17, known_ms: 60_000, clients: 1 << 16, burst: 200.0, rate: 50.0, addresses: 8 }
    }
}

struct AttemptStatus {
    /// What the signature's check said: time, client and scope are judged anew each time.
    said: Result<Arc<Claims>, Refusal>,
    until: u64,
    /// Who used it since it is known, as keys of clients.
    clients: Vec<u128>,
}

struct Cost {
    left: f64,
    at: u64,
}

/// What came of a check.
#[derive(Clone, Debug)]
pub struct Checked {
    pub claims: Arc<Claims>,
    /// Until when, in Unix milliseconds, the request may go on as it is.
    pub until: u64,
}

/// Why nothing came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    Token(Refusal),
    /// This client had too much checked: to come back after so many milliseconds.
    Costs(u64),
}

/// Checks tokens, remembers what their signatures said, and holds each client to its share of checks.
pub struct VerificationCache {
    bounds: Bounds,
    seed: (u64, u64),
    known: Generations<AttemptStatus>,
    costs: Generations<Cost>,
    pub hits: u64,
    pub checks: u64,
}

/// A client's own prefix: an address of IPv4, a network of 64 bits of IPv6, as one client holds many of
/// those.
fn client_key(client: IpAddr) -> u128 {
    match client.to_canonical() {
        IpAddr::V4(address) => u128::from(address.to_bits()).wrapping_mul(0x9E37_79B9_7F4A_7C15),
        IpAddr::V6(address) => (address.to_bits() >> 64 | 1 << 127).wrapping_mul(0x9E37_79B9_7F4A_7C15),
    }
}

impl VerificationCache {
    /// `seed` is secret: who knows it could write tokens that share an entry.
    pub fn new(bounds: Bounds, seed: (u64, u64)) -> Self {
        let (known, costs) = (Generations::new(bounds.verdicts), Generations::new(bounds.clients));
        Self { bounds, seed, known, costs, hits: 0, checks: 0 }
    }

    /// Keys were read anew: nothing is known any more.
    pub fn forget(&mut self) {
        self.known = Generations::new(self.bounds.verdicts);
    }

    pub fn known(&self) -> usize {
        self.known.len()
    }

    /// Of the form as it is set up: two of one name may want other audiences or keys, and what one said of a
    /// token must not pass for the other's word.
    fn digest(&self, format: &dyn Format, token: &str, path: &str) -> u128 {
        let mut hasher = SipHasher24::new_with_keys(self.seed.0, self.seed.1);
        (format.name(), format.terms(), token, path).hash(&mut hasher);
        hasher.finish128().as_u128()
    }

    /// Whether the request may pass.
    pub fn check(
        &mut self,
        format: &dyn Format,
        keys: &KeySet,
        token: &str,
        asked: &Asked,
        now: Now,
    ) -> Result<Checked, Refused> {
        // Some forms sign the path without naming it: a verdict is for both.
        let digest = self.digest(format, token, &asked.target.path);
        let said = match self.known.get(digest).filter(|known| known.until > now.unix_ms) {
            Some(known) => {
                self.hits += 1;
                known.said.clone()
            }
            None => self.check_anew(format, keys, token, asked, now, digest)?,
        };
        let claims = said.map_err(Refused::Token)?;
        holds(&claims, keys, now).map_err(Refused::Token)?;
        match claims.judge(asked, now) {
            // Counted only once it would pass: who may not use it takes no place of those who may.
            Ok(_) if !self.is_one_of_few(digest, client_key(asked.client)) => {
                Err(Refused::Token(Refusal::Shared))
            }
            Ok(until) => Ok(Checked { claims, until }),
            Err(refusal) => {
                if matches!(refusal, Refusal::Lapsed(_)) {
                    self.known.remove(digest);
                }
                Err(Refused::Token(refusal))
            }
        }
    }

    fn is_one_of_few(&mut self, digest: u128, client: u128) -> bool {
        let most = self.bounds.addresses;
        let Some(known) = self.known.get(digest) else { return true };
        if known.clients.contains(&client) {
            return true;
        }
        let room = known.clients.len() < most;
        if room {
            known.clients.push(client);
        }
        room
    }

    fn check_anew(
        &mut self,
        format: &dyn Format,
        keys: &KeySet,
        token: &str,
        asked: &Asked,
        now: Now,
        digest: u128,
    ) -> Result<Result<Arc<Claims>, Refusal>, Refused> {
        let Bounds { burst, rate, known_ms, .. } = self.bounds;
        let client = client_key(asked.client);
        if self.costs.get(client).is_none() {
            self.costs.put(client, Cost { left: burst, at: now.unix_ms });
        }
        let Some(cost) = self.costs.get(client) else { return Err(Refused::Costs(1000)) };
        cost.left = (cost.left + now.unix_ms.saturating_sub(cost.at) as f64 * rate / 1000.0).min(burst);
        cost.at = now.unix_ms;
        if cost.left < 1.0 {
            return Err(Refused::Costs(((1.0 - cost.left) * 1000.0 / rate).ceil() as u64));
        }
        self.checks += 1;
        let said = format.check(token, keys, asked).map(Arc::new);
        cost.left -= if said.is_ok() { 1.0 } else { 4.0 };
        let mut until = now.unix_ms.saturating_add(known_ms);
        if let Ok(claims) = &said {
            let ends =
                claims.expires.map_or(u64::MAX, |at| at.saturating_mul(1000).saturating_add(now.skew_ms));
            until = until.min(ends);
        }
        self.known.put(digest, AttemptStatus { said: said.clone(), until, clients: Vec::new() });
        Ok(said)
    }
}

//! Caches verified tokens, and limits the number of verifications that a client may cause. Both tables are
//! bounded. Each has two generations; when the current generation is full, the previous one is dropped.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hash, Hasher};
use std::net::IpAddr;
use std::sync::Arc;

use siphasher::sip128::{Hasher128, SipHasher24};

use crate::claims::{Claims, TokenError, VerificationContext, VerificationTime};
use crate::keys::KeySet;
use crate::{TokenFormat, check_key};

/// Uses a key as its own hash, since the keys of the maps are hashes already.
#[derive(Default)]
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
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

/// A map with a bounded number of entries. It evicts entries that have not been used for a whole generation.
struct GenerationalMap<V> {
    current: HashMap<u128, V, BuildHasherDefault<IdentityHasher>>,
    previous: HashMap<u128, V, BuildHasherDefault<IdentityHasher>>,
    /// The maximum number of entries in both generations together.
    capacity: usize,
}

impl<V> GenerationalMap<V> {
    fn new(capacity: usize) -> Self {
        Self { current: HashMap::default(), previous: HashMap::default(), capacity: capacity.max(2) }
    }

    fn get(&mut self, key: u128) -> Option<&mut V> {
        if !self.current.contains_key(&key) {
            let value = self.previous.remove(&key)?;
            self.insert(key, value);
        }
        self.current.get_mut(&key)
    }

    fn insert(&mut self, key: u128, value: V) {
        if self.current.len() >= self.capacity / 2 && !self.current.contains_key(&key) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(key, value);
    }

    fn remove(&mut self, key: u128) {
        self.current.remove(&key);
        self.previous.remove(&key);
    }

    fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }
}

/// The number of tokens that a failed verification takes from the client's token bucket. A successful one
/// takes one.
const FAILED_VERIFICATION_COST: f64 = 4.0;

/// The limits of the cache, and of the verifications that a client may cause.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of cached tokens.
    pub entries: usize,
    /// The maximum time that a token stays cached, in milliseconds.
    pub entry_lifetime_ms: u64,
    /// The maximum number of clients whose verifications are counted.
    pub clients: usize,
    /// The number of verifications that a client may cause at once.
    pub burst: f64,
    /// The number of verifications that a client may cause per second.
    pub rate: f64,
    /// The number of clients that may use the same token while it is cached.
    pub clients_per_token: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            entries: 1 << 17,
            entry_lifetime_ms: 60_000,
            clients: 1 << 16,
            burst: 200.0,
            rate: 50.0,
            clients_per_token: 8,
        }
    }
}

struct Entry {
    /// The result of the signature check. Time, client and scope are checked on each use.
    verification: Result<Arc<Claims>, TokenError>,
    /// The time at which the entry expires, in Unix milliseconds.
    expires_ms: u64,
    /// The clients that have used the token since it was cached, by their keys.
    clients: Vec<u128>,
}

/// The token bucket that limits the verifications of one client.
struct ClientBudget {
    tokens: f64,
    /// The time of the last refill, in Unix milliseconds.
    refilled_ms: u64,
}

/// A verified token.
#[derive(Clone, Debug)]
pub struct Verified {
    /// The token's claims.
    pub claims: Arc<Claims>,
    /// The time at which the authorization of the request expires, in Unix milliseconds.
    pub expires_ms: u64,
}

/// The reason why a token was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerificationError {
    /// The token does not authorize the request.
    Token(TokenError),
    /// The client has caused too many verifications. Carries the time after which it may retry, in
    /// milliseconds.
    RateLimited(u64),
}

/// Verifies tokens, caches the results, and limits the verifications of each client.
pub struct VerificationCache {
    limits: Limits,
    seed: (u64, u64),
    entries: GenerationalMap<Entry>,
    budgets: GenerationalMap<ClientBudget>,
    /// The number of tokens that were found in the cache so far.
    pub hits: u64,
    /// The number of signatures that were checked so far.
    pub checks: u64,
}

/// Returns the key that identifies a client: a hash of its IPv4 address, or of its IPv6 network with 64 bits.
fn client_key(client: IpAddr) -> u128 {
    match client.to_canonical() {
        IpAddr::V4(address) => u128::from(address.to_bits()).wrapping_mul(0x9E37_79B9_7F4A_7C15),
        IpAddr::V6(address) => (address.to_bits() >> 64 | 1 << 127).wrapping_mul(0x9E37_79B9_7F4A_7C15),
    }
}

impl VerificationCache {
    /// Creates an empty cache. `seed` must be secret, as whoever knows it could craft tokens that share a
    /// cache entry.
    pub fn new(limits: Limits, seed: (u64, u64)) -> Self {
        let (entries, budgets) = (GenerationalMap::new(limits.entries), GenerationalMap::new(limits.clients));
        Self { limits, seed, entries, budgets, hits: 0, checks: 0 }
    }

    /// Drops all cached tokens, for example after the keys were reloaded.
    pub fn clear(&mut self) {
        self.entries = GenerationalMap::new(self.limits.entries);
    }

    /// Returns the number of cached tokens.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the key of a cache entry. It includes the format's configuration, as two formats with the same
    /// name may accept different keys or audiences.
    fn digest(&self, format: &dyn TokenFormat, token: &str, path: &str) -> u128 {
        let mut hasher = SipHasher24::new_with_keys(self.seed.0, self.seed.1);
        (format.name(), format.parameters(), token, path).hash(&mut hasher);
        hasher.finish128().as_u128()
    }

    /// Verifies a token for a request.
    pub fn verify(
        &mut self,
        format: &dyn TokenFormat,
        keys: &KeySet,
        token: &str,
        context: &VerificationContext,
        now: VerificationTime,
    ) -> Result<Verified, VerificationError> {
        // Some formats sign the path without containing it, so an entry is valid for one token and one path.
        let digest = self.digest(format, token, &context.target.path);
        let verification = match self.entries.get(digest).filter(|entry| entry.expires_ms > now.unix_ms) {
            Some(entry) => {
                self.hits += 1;
                entry.verification.clone()
            }
            None => self.verify_uncached(format, keys, token, context, now, digest)?,
        };
        let claims = verification.map_err(VerificationError::Token)?;
        check_key(&claims, keys, now).map_err(VerificationError::Token)?;
        match claims.authorize(context, now) {
            // A client is counted only if the token would be accepted for it, so that rejected clients do not
            // use up the limit.
            Ok(_) if !self.admit_client(digest, client_key(context.client)) => {
                Err(VerificationError::Token(TokenError::TooManyClients))
            }
            Ok(expires_ms) => Ok(Verified { claims, expires_ms }),
            Err(error) => {
                if matches!(error, TokenError::Expired(_)) {
                    self.entries.remove(digest);
                }
                Err(VerificationError::Token(error))
            }
        }
    }

    /// Returns whether a client may use the token, and records the client if it may.
    fn admit_client(&mut self, digest: u128, client: u128) -> bool {
        let capacity = self.limits.clients_per_token;
        let Some(entry) = self.entries.get(digest) else { return true };
        if entry.clients.contains(&client) {
            return true;
        }
        let has_capacity = entry.clients.len() < capacity;
        if has_capacity {
            entry.clients.push(client);
        }
        has_capacity
    }

    /// Verifies a token that is not cached, if the client's budget allows it, and caches the result.
    fn verify_uncached(
        &mut self,
        format: &dyn TokenFormat,
        keys: &KeySet,
        token: &str,
        context: &VerificationContext,
        now: VerificationTime,
        digest: u128,
    ) -> Result<Result<Arc<Claims>, TokenError>, VerificationError> {
        let Limits { burst, rate, entry_lifetime_ms, .. } = self.limits;
        let client = client_key(context.client);
        if self.budgets.get(client).is_none() {
            self.budgets.insert(client, ClientBudget { tokens: burst, refilled_ms: now.unix_ms });
        }
        let Some(budget) = self.budgets.get(client) else { return Err(VerificationError::RateLimited(1000)) };
        budget.tokens = (budget.tokens
            + now.unix_ms.saturating_sub(budget.refilled_ms) as f64 * rate / 1000.0)
            .min(burst);
        budget.refilled_ms = now.unix_ms;
        if budget.tokens < 1.0 {
            return Err(
                VerificationError::RateLimited(((1.0 - budget.tokens) * 1000.0 / rate).ceil() as u64),
            );
        }
        self.checks += 1;
        let verification = format.verify(token, keys, context).map(Arc::new);
        budget.tokens -= if verification.is_ok() { 1.0 } else { FAILED_VERIFICATION_COST };
        let mut expires_ms = now.unix_ms.saturating_add(entry_lifetime_ms);
        if let Ok(claims) = &verification {
            let ends =
                claims.expires.map_or(u64::MAX, |at| at.saturating_mul(1000).saturating_add(now.skew_ms));
            expires_ms = expires_ms.min(ends);
        }
        self.entries
            .insert(digest, Entry { verification: verification.clone(), expires_ms, clients: Vec::new() });
        Ok(verification)
    }
}

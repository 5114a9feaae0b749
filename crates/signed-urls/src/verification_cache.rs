//! Caches verified tokens, and limits how many verifications a client may cause. Both tables are bounded:
//! they have two generations, and the older one is dropped when the newer one is full.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hash, Hasher};
use std::net::IpAddr;
use std::sync::Arc;

use siphasher::sip128::{Hasher128, SipHasher24};

use crate::claims::{Claims, TokenError, VerificationContext, VerificationTime};
use crate::keys::KeySet;
use crate::{TokenFormat, check_key};

/// Passes hashes through: the keys of the maps are hashes already.
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

/// A map with a bounded number of entries, which drops those that were not used for a generation.
struct GenerationalMap<V> {
    current: HashMap<u128, V, BuildHasherDefault<IdentityHasher>>,
    previous: HashMap<u128, V, BuildHasherDefault<IdentityHasher>>,
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

/// Tokens that a failed verification takes from a client's budget; a successful one takes one.
const FAILED_VERIFICATION_COST: f64 = 4.0;

/// Limits of the cache and of the verifications that a client may cause.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Cached tokens, at most.
    pub entries: usize,
    /// How long a token stays cached, in milliseconds, at most.
    pub entry_lifetime_ms: u64,
    /// Clients whose verifications are counted, at most.
    pub clients: usize,
    /// Verifications that a client may cause at once.
    pub burst: f64,
    /// Verifications that a client may cause a second.
    pub rate: f64,
    /// Clients that may use one token while it is cached.
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
    /// The result of the signature check; time, client and scope are checked on each use.
    verification: Result<Arc<Claims>, TokenError>,
    expires_ms: u64,
    /// The clients that used it since, by their keys.
    clients: Vec<u128>,
}

/// A token bucket of verifications.
struct ClientBudget {
    tokens: f64,
    refilled_ms: u64,
}

/// A verified token.
#[derive(Clone, Debug)]
pub struct Verified {
    /// The token's claims.
    pub claims: Arc<Claims>,
    /// Until when the request is authorized, in Unix milliseconds.
    pub expires_ms: u64,
}

/// Why a token was not verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerificationError {
    /// The token does not authorize the request.
    Token(TokenError),
    /// The client caused too many verifications; may retry after so many milliseconds.
    RateLimited(u64),
}

/// Verifies tokens, caches the results, and limits the verifications of each client.
pub struct VerificationCache {
    limits: Limits,
    seed: (u64, u64),
    entries: GenerationalMap<Entry>,
    budgets: GenerationalMap<ClientBudget>,
    /// Tokens found in the cache so far.
    pub hits: u64,
    /// Signatures checked so far.
    pub checks: u64,
}

/// Identifies a client: by its IPv4 address, or its /64 network with IPv6.
fn client_key(client: IpAddr) -> u128 {
    match client.to_canonical() {
        IpAddr::V4(address) => u128::from(address.to_bits()).wrapping_mul(0x9E37_79B9_7F4A_7C15),
        IpAddr::V6(address) => (address.to_bits() >> 64 | 1 << 127).wrapping_mul(0x9E37_79B9_7F4A_7C15),
    }
}

impl VerificationCache {
    /// `seed` must be secret: it prevents tokens made to share an entry.
    pub fn new(limits: Limits, seed: (u64, u64)) -> Self {
        let (known, budgets) = (GenerationalMap::new(limits.entries), GenerationalMap::new(limits.clients));
        Self { limits, seed, entries: known, budgets, hits: 0, checks: 0 }
    }

    /// Drops all cached tokens, as after the keys were read again.
    pub fn clear(&mut self) {
        self.entries = GenerationalMap::new(self.limits.entries);
    }

    /// Cached tokens.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// The key of a cache entry. It covers the format's configuration, as two formats of one name may accept
    /// other keys or audiences.
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
        // Some formats sign the path without naming it, so an entry is for token and path.
        let digest = self.digest(format, token, &context.target.path);
        let verification = match self.entries.get(digest).filter(|known| known.expires_ms > now.unix_ms) {
            Some(known) => {
                self.hits += 1;
                known.verification.clone()
            }
            None => self.verify_uncached(format, keys, token, context, now, digest)?,
        };
        let claims = verification.map_err(VerificationError::Token)?;
        check_key(&claims, keys, now).map_err(VerificationError::Token)?;
        match claims.authorize(context, now) {
            // Counted only when the token would be accepted, so that others take no place.
            Ok(_) if !self.admit_client(digest, client_key(context.client)) => {
                Err(VerificationError::Token(TokenError::TooManyClients))
            }
            Ok(expires_ms) => Ok(Verified { claims, expires_ms }),
            Err(refusal) => {
                if matches!(refusal, TokenError::Expired(_)) {
                    self.entries.remove(digest);
                }
                Err(VerificationError::Token(refusal))
            }
        }
    }

    fn admit_client(&mut self, digest: u128, client: u128) -> bool {
        let capacity = self.limits.clients_per_token;
        let Some(known) = self.entries.get(digest) else { return true };
        if known.clients.contains(&client) {
            return true;
        }
        let has_capacity = known.clients.len() < capacity;
        if has_capacity {
            known.clients.push(client);
        }
        has_capacity
    }

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

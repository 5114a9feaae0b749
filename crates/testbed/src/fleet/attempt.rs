//! Parses an attempt from the request that an endpoint receives.

use std::time::{Duration, Instant};

use crate::stand_in::ReceivedRequest;

/// The properties of a received request that the response depends on.
pub(super) struct Attempt {
    /// When the request was received.
    pub(super) at: Instant,
    pub(super) path: String,
    /// The request class.
    pub(super) class: String,
    pub(super) object: String,
    pub(super) correlation_id: String,
    /// The maximum age of a copy that the attempt accepts, in milliseconds; 0 if it does not state one.
    pub(super) accepted_age_ms: u64,
    /// The endpoint to fill a miss from.
    pub(super) source: Option<String>,
    pub(super) idempotency_key: Option<String>,
    /// Index of the connection on which the request was received.
    pub(super) connection: usize,
    /// Mode flags, separated by `+`.
    mode: String,
}

impl Attempt {
    /// Parses a request that has just been received.
    pub(super) fn new(request: &ReceivedRequest) -> Self {
        let at = Instant::now();
        let header = |name: &str| request.headers.get(name).cloned();
        let path = request.request_line.split(' ').nth(1).unwrap_or_default().to_string();
        let mut parts = path.trim_start_matches("/v1/store/").split('/');
        let mut part = || parts.next().unwrap_or_default().to_string();
        let (class, object) = (part(), part());
        Self {
            at,
            path,
            class,
            object,
            correlation_id: header("x-ticket").unwrap_or_default(),
            accepted_age_ms: header("x-accept-age").and_then(|age| age.parse().ok()).unwrap_or_default(),
            source: header("x-source"),
            idempotency_key: header("x-nonce"),
            connection: request.connection,
            mode: header("x-mode").unwrap_or_default(),
        }
    }

    /// Whether the attempt may only be answered from a fresh copy.
    pub(super) fn is_cache_only(&self) -> bool {
        self.mode.split('+').any(|flag| flag == "h")
    }

    /// The maximum age of a copy that the attempt accepts; `None` if it does not state one.
    pub(super) fn accepted_age(&self) -> Option<Duration> {
        (self.accepted_age_ms > 0).then(|| Duration::from_millis(self.accepted_age_ms))
    }
}

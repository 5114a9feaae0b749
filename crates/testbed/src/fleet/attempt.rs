//! An attempt as an endpoint receives it.

use std::time::{Duration, Instant};

use crate::stand_in::ReceivedRequest;

/// What of a received request decides how it is answered.
pub(super) struct Attempt {
    /// When it came.
    pub(super) at: Instant,
    pub(super) path: String,
    /// Name of the request class.
    pub(super) class: String,
    pub(super) object: String,
    pub(super) correlation_id: String,
    /// The greatest age of a copy that it accepts, in milliseconds; 0 where it states none.
    pub(super) accepted_age_ms: u64,
    /// The endpoint that a miss is to be filled from.
    pub(super) source: Option<String>,
    pub(super) idempotency_key: Option<String>,
    /// Index of the connection that it came on.
    pub(super) connection: usize,
    mode: String,
}

impl Attempt {
    /// Reads a request that comes now.
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

    /// Whether it is answered from a fresh copy or not at all.
    pub(super) fn is_cache_only(&self) -> bool {
        self.mode.split('+').any(|word| word == "h")
    }

    /// The greatest age of a copy that it accepts, where it states one.
    pub(super) fn accepted_age(&self) -> Option<Duration> {
        (self.accepted_age_ms > 0).then(|| Duration::from_millis(self.accepted_age_ms))
    }
}

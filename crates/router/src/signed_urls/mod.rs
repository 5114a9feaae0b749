//! Signed URLs on the listeners for proxies: extracts the tokens of a request, verifies them, and renews the
//! authorization of playbacks.

mod cookies;
mod key_file;
mod verification;

use std::cell::RefCell;
use std::path::PathBuf;
use std::time::UNIX_EPOCH;

use anyhow::{Context, Result, bail};
use tindoor::host::Authorization;
use tindoor_extproc::request::{Headers, RequestClass};
use tindoor_signed_urls::TokenFormat;
use tindoor_signed_urls::claims::VerificationTime;
use tindoor_signed_urls::clock::ClockEstimator;
use tindoor_signed_urls::hmac_format::HmacFormat;
use tindoor_signed_urls::keys::KeySet;
use tindoor_signed_urls::playback::Playback;
use tindoor_signed_urls::uri_signing::UriSigningFormat;
use tindoor_signed_urls::url_prefix::UrlPrefixFormat;
use tindoor_signed_urls::verification_cache::{Limits, VerificationCache};

use crate::configuration::{SignedUrlSettings, TokenFormatSettings, TokenSource};
use crate::disabled_check::is_disabled;
use crate::log_throttle::LogThrottle;

pub use key_file::read_keys;

/// The largest offset of this machine's clock that is corrected, in milliseconds.
const MAX_CLOCK_OFFSET_MS: u64 = 15_000;
/// The largest configurable clock skew, in milliseconds.
const MAX_SKEW_MS: u64 = 60_000;
/// The smallest offset of this machine's clock that is logged, in milliseconds.
const MIN_LOGGED_OFFSET_MS: u64 = 1000;

/// Authorizes requests by their signed URLs.
pub struct SignedUrls {
    key_file: PathBuf,
    base: String,
    skew_ms: u64,
    /// Whether each request class requires a signature, by class number.
    class_needs_signature: Vec<bool>,
    formats: Vec<FormatAtSource>,
    client_header: String,
    /// The name of the cookie with the renewal token; `None` if playbacks are not renewed.
    playback_cookie: Option<String>,
    keys: RefCell<KeySet>,
    verification_cache: RefCell<VerificationCache>,
    clock: RefCell<ClockEstimator>,
    offset_log: LogThrottle,
}

/// A token format and the part of a request that contains its tokens.
struct FormatAtSource {
    format: Box<dyn TokenFormat>,
    source: TokenSource,
}

/// A request after the authorization check, whether it was granted or refused.
pub struct AuthorizedRequest {
    /// The normalized path without tokens, as it was checked. This is the path to forward.
    pub path: String,
    /// Whether the request may be served.
    pub authorization: Authorization,
    /// Why the request was refused, for the client and the log; `None` if it was granted.
    pub refusal_reason: Option<String>,
    /// The playback whose renewal is signed for the next part once this part is served; `None` if there is
    /// nothing to renew.
    pub playback: Option<Playback>,
}

impl FormatAtSource {
    fn new(format: TokenFormatSettings) -> Self {
        match format {
            TokenFormatSettings::Hmac { source, keys } => {
                Self { format: Box::new(HmacFormat { keys }), source }
            }
            TokenFormatSettings::UriSigning { source, audience } => {
                Self { format: Box::new(UriSigningFormat { audience }), source }
            }
            TokenFormatSettings::Prefix { source } => Self { format: Box::new(UrlPrefixFormat), source },
        }
    }
}

impl SignedUrls {
    /// Checks the settings and reads the key set.
    pub fn start(settings: SignedUrlSettings, classes: &[RequestClass], seed: u64) -> Result<Self> {
        check_settings(&settings, classes)?;
        let keys = read_keys(&settings.key_file).context("links.keys")?;
        check_format_keys(&settings.formats, &keys)?;
        let mut secret = [0; 8];
        getrandom::fill(&mut secret).context("failed to get random numbers from the system")?;
        let verification_cache =
            VerificationCache::new(Limits::default(), (seed, u64::from_ne_bytes(secret)));
        Ok(Self {
            class_needs_signature: classes
                .iter()
                .map(|class| settings.classes.contains(&class.name))
                .collect(),
            key_file: settings.key_file,
            base: settings.base,
            skew_ms: settings.skew_ms,
            formats: settings.formats.into_iter().map(FormatAtSource::new).collect(),
            client_header: settings.client_header,
            playback_cookie: settings.playback.map(|playback| playback.cookie),
            keys: RefCell::new(keys),
            clock: RefCell::new(ClockEstimator::new(MAX_CLOCK_OFFSET_MS)),
            offset_log: LogThrottle::default(),
            verification_cache: RefCell::new(verification_cache),
        })
    }

    /// Reads the key set again and clears the verification cache. If the file is invalid, the old keys remain
    /// in use.
    pub fn reload_keys(&self) -> Result<()> {
        if is_disabled("revoked") {
            tracing::info!("keys read again");
            return Ok(());
        }
        let keys = read_keys(&self.key_file)?;
        tracing::info!(keys = keys.iter().count(), "keys read again");
        *self.keys.borrow_mut() = keys;
        self.verification_cache.borrow_mut().clear();
        Ok(())
    }

    /// Records a sample of another participant's clock: its time, and the local time at which the sample
    /// arrived. Both are in Unix milliseconds.
    pub fn observe_clock(&self, participant: u64, their_unix_ms: u64, our_unix_ms: u64) {
        self.clock.borrow_mut().record(participant, their_unix_ms, our_unix_ms);
    }

    /// Records the `date` header (RFC 9110) of a response as a clock sample. The header is truncated to whole
    /// seconds, so that it is never ahead of the sender's clock.
    pub fn observe_date_header(&self, participant: u64, headers: &Headers, our_unix_ms: u64) {
        let date = headers.one("date").and_then(|date| httpdate::parse_http_date(date).ok());
        let since_epoch = date.and_then(|date| date.duration_since(UNIX_EPOCH).ok());
        if let Some(since_epoch) = since_epoch {
            self.observe_clock(participant, since_epoch.as_millis() as u64, our_unix_ms);
        }
    }

    /// Returns the time to verify tokens at: this machine's time, corrected by the median offset of the other
    /// clocks.
    fn now(&self, unix_ms: u64) -> VerificationTime {
        if is_disabled("clock") {
            return VerificationTime { unix_ms, skew_ms: self.skew_ms };
        }
        let clock = self.clock.borrow();
        if let Some(estimate) = clock.estimate()
            && estimate.offset_ms.unsigned_abs() > self.skew_ms.max(MIN_LOGGED_OFFSET_MS)
            && let Some(times) = self.offset_log.record()
        {
            tracing::warn!(
                ?estimate,
                times,
                "system clock is off by more than the allowed skew; verifying tokens at the corrected time"
            );
        }
        clock.now(unix_ms, self.skew_ms)
    }

    /// Returns the `Set-Cookie` value that authorizes the next part of a playback. `None` if playbacks are
    /// not renewed or no key can sign now.
    pub fn renewal_cookie(&self, playback: &Playback, unix_ms: u64) -> Option<String> {
        let now = self.now(unix_ms);
        let name = self.playback_cookie.as_ref()?;
        let token = playback.sign(&self.keys.borrow(), now)?;
        let (path, max_age) = (playback.path(), playback.remaining_seconds(now));
        Some(format!("{name}={token}; Path={path}; Max-Age={max_age}; Secure; HttpOnly; SameSite=Lax"))
    }

    /// Returns whether requests of this class require a signature. An unknown class does.
    pub fn needs_signature(&self, class: u16) -> bool {
        self.class_needs_signature.get(usize::from(class)).copied().unwrap_or(true)
    }
}

fn check_settings(settings: &SignedUrlSettings, classes: &[RequestClass]) -> Result<()> {
    if settings.skew_ms > MAX_SKEW_MS {
        bail!("links.skew_ms: expected at most {MAX_SKEW_MS}, found {}", settings.skew_ms);
    }
    let is_unknown = |name: &&String| !classes.iter().any(|class| class.name == **name);
    if let Some(unknown) = settings.classes.iter().find(is_unknown) {
        bail!("links.request_classes: unknown request class {unknown:?}");
    }
    Ok(())
}

fn check_format_keys(formats: &[TokenFormatSettings], keys: &KeySet) -> Result<()> {
    for format in formats {
        if let TokenFormatSettings::Hmac { keys: ids, .. } = format
            && let Some(unknown) = ids.iter().find(|id| keys.key(id).is_none())
        {
            bail!("links.forms: the key set has no key {unknown:?}");
        }
    }
    Ok(())
}

//! Signed URLs on the listeners for proxies: finds the tokens of a request, checks them, and renews
//! playbacks.

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

/// The largest offset of this machine's clock that is corrected.
const MAX_CLOCK_OFFSET_MS: u64 = 15_000;
/// The largest clock skew that may be configured.
const MAX_SKEW_MS: u64 = 60_000;
/// The smallest offset of this machine's clock that is logged.
const MIN_LOGGED_OFFSET_MS: u64 = 1000;

/// Checks signed URLs.
pub struct SignedUrls {
    key_file: PathBuf,
    base: String,
    skew_ms: u64,
    /// Whether a request class needs a signature, by its number.
    class_needs_signature: Vec<bool>,
    formats: Vec<FormatAtSource>,
    client_header: String,
    /// The cookie of playback renewals, where playbacks are renewed.
    playback_cookie: Option<String>,
    keys: RefCell<KeySet>,
    verification_cache: RefCell<VerificationCache>,
    clock: RefCell<ClockEstimator>,
    offset_log: LogThrottle,
}

/// A token format and where its tokens stand.
struct FormatAtSource {
    format: Box<dyn TokenFormat>,
    source: TokenSource,
}

/// The result of checking a request.
pub struct AuthorizedRequest {
    /// The path as it was checked, without tokens: the path to forward.
    pub path: String,
    /// Whether the request may be served.
    pub authorization: Authorization,
    /// Why it may not, for the client and for the log.
    pub refusal_reason: Option<String>,
    /// The playback to sign for the next part once this one is served.
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
    /// Checks the settings and reads the keys.
    pub fn start(settings: SignedUrlSettings, classes: &[RequestClass], seed: u64) -> Result<Self> {
        check_settings(&settings, classes)?;
        let keys = read_keys(&settings.key_file).context("links.keys")?;
        check_format_keys(&settings.formats, &keys)?;
        let mut secret = [0; 8];
        getrandom::fill(&mut secret).context("random numbers")?;
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

    /// Reads the keys again. Where the file can't be used, the old keys stay.
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

    /// Notes the time of another clock and when it arrived here, both in Unix milliseconds.
    pub fn observe_clock(&self, participant: u64, their_unix_ms: u64, our_unix_ms: u64) {
        self.clock.borrow_mut().record(participant, their_unix_ms, our_unix_ms);
    }

    /// Notes the time of a response's `date` (RFC 9110), which is cut to whole seconds and so never ahead.
    pub fn observe_date_header(&self, participant: u64, headers: &Headers, our_unix_ms: u64) {
        let date = headers.one("date").and_then(|date| httpdate::parse_http_date(date).ok());
        let since_epoch = date.and_then(|date| date.duration_since(UNIX_EPOCH).ok());
        if let Some(since_epoch) = since_epoch {
            self.observe_clock(participant, since_epoch.as_millis() as u64, our_unix_ms);
        }
    }

    /// The time to check tokens by: this machine's, corrected by the median of the other clocks.
    fn now(&self, unix_ms: u64) -> VerificationTime {
        if is_disabled("clock") {
            return VerificationTime { unix_ms, skew_ms: self.skew_ms };
        }
        let clock = self.clock.borrow();
        if let Some(estimate) = clock.estimate()
            && estimate.offset_ms.unsigned_abs() > self.skew_ms.max(MIN_LOGGED_OFFSET_MS)
            && let Some(times) = self.offset_log.record()
        {
            tracing::warn!(?estimate, times, "the system clock is off by more than the allowed skew");
        }
        clock.now(unix_ms, self.skew_ms)
    }

    /// The `Set-Cookie` value that authorizes the next part of a playback.
    pub fn renewal_cookie(&self, playback: &Playback, unix_ms: u64) -> Option<String> {
        let now = self.now(unix_ms);
        let name = self.playback_cookie.as_ref()?;
        let token = playback.sign(&self.keys.borrow(), now)?;
        let (path, max_age) = (playback.path(), playback.remaining_seconds(now));
        Some(format!("{name}={token}; Path={path}; Max-Age={max_age}; Secure; HttpOnly; SameSite=Lax"))
    }

    /// Whether requests of this class need a signature.
    pub fn needs_signature(&self, class: u16) -> bool {
        self.class_needs_signature.get(usize::from(class)).copied().unwrap_or(true)
    }
}

fn check_settings(settings: &SignedUrlSettings, classes: &[RequestClass]) -> Result<()> {
    if settings.skew_ms > MAX_SKEW_MS {
        bail!("links.skew_ms: {} is over {MAX_SKEW_MS}", settings.skew_ms);
    }
    let is_unknown = |name: &&String| !classes.iter().any(|class| class.name == **name);
    if let Some(unknown) = settings.classes.iter().find(is_unknown) {
        bail!("links.request_classes: {unknown:?} is not known");
    }
    Ok(())
}

fn check_format_keys(formats: &[TokenFormatSettings], keys: &KeySet) -> Result<()> {
    for format in formats {
        if let TokenFormatSettings::Hmac { keys: ids, .. } = format
            && let Some(unknown) = ids.iter().find(|id| keys.key(id).is_none())
        {
            bail!("links.forms: the key {unknown:?} is not in the set");
        }
    }
    Ok(())
}

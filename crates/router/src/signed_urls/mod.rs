//! Signed links on the fronts: where a request carries its token, the key file, and what the routing engine is told
//! of it.

use std::cell::RefCell;
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;

use anyhow::{Context, Result, bail};
use serde::Deserialize;
use tindoor::host::Authorization;
use tindoor::time::Span;
use tindoor_extproc::ask::{Headers, RequestClass};
use tindoor_signed_urls::Format;
use tindoor_signed_urls::claims::{Asked, Now, Refusal};
use tindoor_signed_urls::clock::Clock;
use tindoor_signed_urls::hmac_form::HmacForm;
use tindoor_signed_urls::keys::KeySet;
use tindoor_signed_urls::normal;
use tindoor_signed_urls::playback::{Bounds as PlaybackBounds, Playback};
use tindoor_signed_urls::prefix::PrefixSignature;
use tindoor_signed_urls::uri_signing::UriSigning;
use tindoor_signed_urls::verification_cache::{Bounds, Refused, VerificationCache};

use crate::configuration::limits::Seldom;

/// As the fronts file has it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Told {
    /// The key set's file; nobody but its owner may read it.
    pub keys: PathBuf,
    /// Scheme and host of the links, as their signers write them.
    pub base: String,
    /// How far the signers' clocks and ours may be apart.
    pub skew_ms: u64,
    /// Request classes that need a link; all others pass without.
    #[serde(rename = "request_classes", alias = "offerings")]
    pub classes: Vec<String>,
    pub forms: Vec<Form>,
    /// The header with the client's address.
    #[serde(default = "external")]
    pub client: String,
    /// Has a playback that began in time go on past its link's end.
    #[serde(default)]
    pub playback: Option<PlaybackTold>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlaybackTold {
    /// The cookie that carries the renewals.
    pub cookie: String,
}

fn external() -> String {
    "x-envoy-external-address".to_string()
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, tag = "form", rename_all = "kebab-case")]
pub enum Form {
    /// The HMAC form, checked by these keys.
    Hmac { from: Source, keys: Vec<String> },
    /// RFC 9246, for this audience where a token names one.
    UriSigning { from: Source, audience: Option<String> },
    /// The Ed25519 prefix signature.
    Prefix { from: Source },
}

/// Where a token stands.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase")]
pub enum Source {
    Query(String),
    Cookie(String),
    Header(String),
}

/// What playbacks are held to.
const PLAYBACK: PlaybackBounds = PlaybackBounds { holds: 60, longest: 7200, after_end: 900, chain: 10_000 };
/// The furthest that our clock is believed to be off, in milliseconds.
const LONGEST_OFFSET: u64 = 15_000;
/// The longest skew that may be allowed: beyond it a link hardly lapses.
const LONGEST_SKEW: u64 = 60_000;

pub struct Links {
    file: PathBuf,
    base: String,
    skew_ms: u64,
    /// Which request classes need a link, by their numbers.
    needed: Vec<bool>,
    forms: Vec<(Box<dyn Format>, Source)>,
    client: String,
    /// The cookie of renewals, where there are any.
    playback: Option<String>,
    keys: RefCell<KeySet>,
    verdicts: RefCell<VerificationCache>,
    clock: RefCell<Clock>,
    /// How often our clock was found to be off by more than the skew.
    off: Seldom,
}

/// What came of a request's link.
pub struct Judged {
    /// The path as it was checked, without the token: this goes on.
    pub path: String,
    pub authorization: Authorization,
    /// Why it does not pass, for its client and for the log.
    pub why: Option<String>,
    /// What is to be signed for the next part, once this one is served.
    pub playback: Option<Playback>,
}

/// A key file that others can read is no secret: nothing of it is used.
pub fn read_keys(path: &Path) -> Result<KeySet> {
    use std::os::unix::fs::PermissionsExt;
    let mode = std::fs::metadata(path).with_context(|| format!("{}", path.display()))?.permissions().mode();
    if mode & 0o077 != 0 {
        bail!("{}: others can read it (mode {:o}); allow its owner alone", path.display(), mode & 0o777);
    }
    let text = std::fs::read(path).with_context(|| format!("{}", path.display()))?;
    KeySet::read(&text).with_context(|| format!("{}", path.display()))
}

impl Links {
    pub fn start(told: Told, classes: &[RequestClass], seed: u64) -> Result<Self> {
        if told.skew_ms > LONGEST_SKEW {
            bail!("links.skew_ms: {} is over {LONGEST_SKEW}", told.skew_ms);
        }
        if let Some(unknown) = told.classes.iter().find(|name| !classes.iter().any(|o| o.name == **name)) {
            bail!("links.offerings: {unknown:?} is not known");
        }
        let keys = read_keys(&told.keys).context("links.keys")?;
        for form in &told.forms {
            if let Form::Hmac { keys: ids, .. } = form
                && let Some(unknown) = ids.iter().find(|id| keys.key(id).is_none())
            {
                bail!("links.forms: the key {unknown:?} is not in the set");
            }
        }
        let form = |form| -> (Box<dyn Format>, Source) {
            match form {
                Form::Hmac { from, keys } => (Box::new(HmacForm { keys }), from),
                Form::UriSigning { from, audience } => (Box::new(UriSigning { audience }), from),
                Form::Prefix { from } => (Box::new(PrefixSignature), from),
            }
        };
        let mut secret = [0; 8];
        getrandom::fill(&mut secret).context("random numbers")?;
        Ok(Self {
            needed: classes.iter().map(|class| told.classes.contains(&class.name)).collect(),
            file: told.keys,
            base: told.base,
            skew_ms: told.skew_ms,
            forms: told.forms.into_iter().map(form).collect(),
            client: told.client,
            playback: told.playback.map(|told| told.cookie),
            keys: RefCell::new(keys),
            clock: RefCell::new(Clock::new(LONGEST_OFFSET)),
            off: Seldom::default(),
            verdicts: RefCell::new(VerificationCache::new(
                Bounds::default(),
                (seed, u64::from_ne_bytes(secret)),
            )),
        })
    }

    /// Reads the keys again, whole or not at all.
    pub fn reload(&self) -> Result<()> {
        if without("revoked") {
            tracing::info!("keys read again");
            return Ok(());
        }
        let keys = read_keys(&self.file)?;
        tracing::info!(keys = keys.iter().count(), "keys read again");
        *self.keys.borrow_mut() = keys;
        self.verdicts.borrow_mut().forget();
        Ok(())
    }

    /// Judges a request by its headers, before anybody is asked; a fault where its path has no normal form.
    pub fn judge(&self, path: &str, headers: &Headers, unix_ms: u64) -> Result<Judged, normal::Fault> {
        let mut target = normal::target(path)?;
        let mut tokens = Vec::new();
        // Each token is taken out, so that the path that goes on is the one that was checked, whoever signed
        // it.
        for (format, source) in &self.forms {
            let token = match source {
                Source::Query(key) => target.take(key),
                Source::Cookie(name) => cookie(headers, name),
                Source::Header(name) => headers.one(name).map(str::to_string),
            };
            tokens.extend(token.map(|token| (format, token)));
        }
        let path = target.text();
        let client = headers.one(&self.client).and_then(|text| text.parse().ok());
        // Without an address it fits no token that is for one, and shares one budget with all such.
        let client = client.unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
        let (keys, mut verdicts) = (self.keys.borrow(), self.verdicts.borrow_mut());
        let now = self.now(unix_ms);
        if without("links") {
            return Ok(Judged { path, authorization: Authorization::Granted, why: None, playback: None });
        }
        // The renewal of an earlier part, if there is one and it holds.
        let renewal = self.playback.as_ref().and_then(|name| cookie(headers, name));
        let asked = Asked { base: &self.base, target: &target, client };
        let held = renewal.and_then(|token| Playback::check(&token, &keys, &asked, now).ok());
        let mut worst = (Authorization::Denied, Refusal::Missing.to_string());
        for (format, token) in tokens {
            match verdicts.check(&**format, &keys, &token, &asked, now) {
                Ok(checked) => {
                    // Each part that its link lets pass may begin anew: what ends is bound to the link either
                    // way.
                    let begin = || Playback::begin(&checked.claims, &asked, now, &PLAYBACK);
                    let playback = self.playback.as_ref().and_then(|_| begin());
                    return Ok(Judged { path, authorization: Authorization::Granted, why: None, playback });
                }
                Err(Refused::Costs(wait)) => {
                    worst = (
                        Authorization::NotYetValid(Span::millis(wait)),
                        "too many tokens to check".to_string(),
                    );
                }
                Err(Refused::Token(refusal)) => {
                    let authorization = match refusal {
                        Refusal::Early(wait) => Authorization::NotYetValid(Span::millis(wait)),
                        Refusal::Lapsed(_) => Authorization::Expired,
                        _ => Authorization::Denied,
                    };
                    worst = (authorization, refusal.to_string());
                }
            }
        }
        // It began in time: it goes on, whatever its link says by now. One that was bent, or is for another,
        // does not get better by a renewal.
        let goes_on = worst.0 == Authorization::Expired || worst.1 == Refusal::Missing.to_string();
        if let Some(held) = held.filter(|_| goes_on) {
            return Ok(Judged {
                path,
                authorization: Authorization::Granted,
                why: None,
                playback: held.next(now, &PLAYBACK),
            });
        }
        Ok(Judged { path, authorization: worst.0, why: Some(worst.1), playback: None })
    }

    /// A party said a time; ours when its word came. Both in Unix milliseconds.
    pub fn heard(&self, participant: u64, theirs: u64, ours: u64) {
        self.clock.borrow_mut().said(participant, theirs, ours);
    }

    /// The same by an answer's `date` (RFC 9110), which is cut to whole seconds: no party is so put ahead of
    /// its time.
    pub fn heard_date(&self, participant: u64, headers: &Headers, ours: u64) {
        let date = headers.one("date").and_then(|date| httpdate::parse_http_date(date).ok());
        let unix = date.and_then(|date| date.duration_since(UNIX_EPOCH).ok());
        if let Some(unix) = unix {
            self.heard(participant, unix.as_millis() as u64, ours);
        }
    }

    /// The time to judge by: ours, moved by what the middle of the others say; the skew stays what was
    /// stated.
    fn now(&self, unix_ms: u64) -> Now {
        if without("clock") {
            return Now { unix_ms, skew_ms: self.skew_ms };
        }
        let clock = self.clock.borrow();
        if let Some(estimate) = clock.estimate()
            && estimate.offset_ms.unsigned_abs() > self.skew_ms.max(1000)
            && let Some(times) = self.off.told()
        {
            tracing::warn!(?estimate, times, "our clock is off by more than links may be");
        }
        clock.now(unix_ms, self.skew_ms)
    }

    /// The cookie that has the next part pass, as `Set-Cookie` writes it.
    pub fn renewal(&self, playback: &Playback, unix_ms: u64) -> Option<String> {
        let now = self.now(unix_ms);
        let (name, token) = (self.playback.as_ref()?, playback.sign(&self.keys.borrow(), now)?);
        let (path, holds) = (playback.path(), playback.holds(now));
        Some(format!("{name}={token}; Path={path}; Max-Age={holds}; Secure; HttpOnly; SameSite=Lax"))
    }

    /// Whether an request class needs a link at all.
    pub fn needs(&self, class: u16) -> bool {
        self.needed.get(usize::from(class)).copied().unwrap_or(true)
    }
}

/// Whether an experiment has taken this guard out, in a build for tests only.
fn without(guard: &str) -> bool {
    cfg!(debug_assertions) && std::env::var("TINDOOR_WITHOUT").is_ok_and(|without| without == guard)
}

fn cookie(headers: &Headers, name: &str) -> Option<String> {
    let cookies = headers.0.iter().filter(|header| header.0 == "cookie");
    let pairs =
        cookies.filter_map(|header| std::str::from_utf8(header.1).ok()).flat_map(|text| text.split(';'));
    let mut values = pairs.filter_map(|pair| pair.trim().split_once('=')).filter(|pair| pair.0 == name);
    // Given twice, nobody knows which one is meant.
    let value = values.next()?;
    values.next().is_none().then(|| value.1.to_string())
}

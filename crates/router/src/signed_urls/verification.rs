//! The check of one request.

use std::net::{IpAddr, Ipv4Addr};

use tindoor::host::Authorization;
use tindoor::time::Span;
use tindoor_extproc::request::Headers;
use tindoor_signed_urls::TokenFormat;
use tindoor_signed_urls::claims::{TokenError, VerificationContext, VerificationTime};
use tindoor_signed_urls::normalize;
use tindoor_signed_urls::playback::{Playback, PlaybackLimits};
use tindoor_signed_urls::verification_cache::VerificationError;

use super::cookies::cookie;
use super::{AuthorizedRequest, SignedUrls};
use crate::configuration::TokenSource;
use crate::disabled_check::is_disabled;

/// A token of a request and its format.
struct Token<'a> {
    format: &'a dyn TokenFormat,
    text: String,
}

/// Why the last token was refused, or that there is none.
struct RequestRefusal(VerificationError);

impl RequestRefusal {
    const MISSING_TOKEN: Self = Self(VerificationError::Token(TokenError::Missing));

    fn authorization(&self) -> Authorization {
        match &self.0 {
            VerificationError::RateLimited(wait_ms)
            | VerificationError::Token(TokenError::NotYetValid(wait_ms)) => {
                Authorization::NotYetValid(Span::millis(*wait_ms))
            }
            VerificationError::Token(TokenError::Expired(_)) => Authorization::Expired,
            VerificationError::Token(_) => Authorization::Denied,
        }
    }

    fn reason(&self) -> String {
        match &self.0 {
            VerificationError::RateLimited(_) => "too many tokens to check".to_string(),
            VerificationError::Token(error) => error.to_string(),
        }
    }

    /// Whether a playback that began in time goes on all the same. A renewal does not make up for a token
    /// that was tampered with or is for another request.
    fn allows_renewal(&self) -> bool {
        matches!(&self.0, VerificationError::Token(TokenError::Missing | TokenError::Expired(_)))
    }
}

impl AuthorizedRequest {
    fn granted(path: String, playback: Option<Playback>) -> Self {
        Self { path, authorization: Authorization::Granted, refusal_reason: None, playback }
    }
}

impl SignedUrls {
    /// Checks a request by its headers.
    ///
    /// # Errors
    ///
    /// The path has no normal form.
    pub fn authorize(
        &self,
        path: &str,
        headers: &Headers,
        unix_ms: u64,
    ) -> Result<AuthorizedRequest, normalize::NormalizeError> {
        let mut target = normalize::normalize(path)?;
        // Each token is taken out, so that the forwarded path is the one that was checked.
        let tokens = self.take_tokens(&mut target, headers);
        let path = target.to_text();
        let client = headers.one(&self.client_header).and_then(|text| text.parse().ok());
        // Without an address it fits no token that is for one, and shares one budget with all such requests.
        let client = client.unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
        let now = self.now(unix_ms);
        if is_disabled("links") {
            return Ok(AuthorizedRequest::granted(path, None));
        }
        let request = VerificationContext { base_url: &self.base, target: &target, client };
        let refusal = match self.check_tokens(tokens, &request, now) {
            Ok(playback) => return Ok(AuthorizedRequest::granted(path, playback)),
            Err(refusal) => refusal,
        };
        if refusal.allows_renewal()
            && let Some(playback) = self.playback_under_way(headers, &request, now)
        {
            return Ok(AuthorizedRequest::granted(path, playback.renew(now, &PlaybackLimits::DEFAULT)));
        }
        let (authorization, refusal_reason) = (refusal.authorization(), Some(refusal.reason()));
        Ok(AuthorizedRequest { path, authorization, refusal_reason, playback: None })
    }

    fn take_tokens(&self, target: &mut normalize::Target, headers: &Headers) -> Vec<Token<'_>> {
        let mut tokens = Vec::new();
        for entry in &self.formats {
            let text = match &entry.source {
                TokenSource::Query(key) => target.remove_query_value(key),
                TokenSource::Cookie(name) => cookie(headers, name),
                TokenSource::Header(name) => headers.one(name).map(str::to_string),
            };
            tokens.extend(text.map(|text| Token { format: &*entry.format, text }));
        }
        tokens
    }

    /// The playback that the request's renewal cookie belongs to, where the cookie holds.
    fn playback_under_way(
        &self,
        headers: &Headers,
        request: &VerificationContext,
        now: VerificationTime,
    ) -> Option<Playback> {
        let renewal = cookie(headers, self.playback_cookie.as_ref()?)?;
        Playback::verify(&renewal, &self.keys.borrow(), request, now).ok()
    }

    /// Checks the tokens in their order until one grants the request; gives the playback that it may begin.
    fn check_tokens(
        &self,
        tokens: Vec<Token>,
        request: &VerificationContext,
        now: VerificationTime,
    ) -> Result<Option<Playback>, RequestRefusal> {
        let keys = self.keys.borrow();
        let mut verification_cache = self.verification_cache.borrow_mut();
        let mut refusal = RequestRefusal::MISSING_TOKEN;
        for Token { format, text } in tokens {
            match verification_cache.verify(format, &keys, &text, request, now) {
                // Each part that a token grants may begin a playback: its end is bound to the token.
                Ok(checked) if self.playback_cookie.is_some() => {
                    return Ok(Playback::start(&checked.claims, request, now, &PlaybackLimits::DEFAULT));
                }
                Ok(_) => return Ok(None),
                Err(error) => refusal = RequestRefusal(error),
            }
        }
        Err(refusal)
    }
}

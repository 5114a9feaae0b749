//! Checks the authorization of a request.

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

/// Why the last token of a request was refused, or that the request has no token.
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

    /// Returns whether a valid renewal may authorize the request in spite of the refusal. A renewal does not
    /// compensate for a token that was tampered with or that is for another request.
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
    /// Checks whether the tokens in a request's path and headers authorize it.
    ///
    /// # Errors
    ///
    /// Fails if the path cannot be normalized.
    pub fn authorize(
        &self,
        path: &str,
        headers: &Headers,
        unix_ms: u64,
    ) -> Result<AuthorizedRequest, normalize::NormalizeError> {
        let mut target = normalize::normalize(path)?;
        // The tokens are removed from the path, so that the path that is forwarded is the one that was
        // checked.
        let tokens = self.take_tokens(&mut target, headers);
        let path = target.to_text();
        let client = headers.one(&self.client_header).and_then(|text| text.parse().ok());
        // A request without a client address matches no token that is bound to an address, and all such
        // requests share one verification budget.
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
            && let Some(playback) = self.verified_playback(headers, &request, now)
        {
            return Ok(AuthorizedRequest::granted(path, playback.renew(now, &PlaybackLimits::DEFAULT)));
        }
        let (authorization, refusal_reason) = (refusal.authorization(), Some(refusal.reason()));
        Ok(AuthorizedRequest { path, authorization, refusal_reason, playback: None })
    }

    /// Extracts the token of each configured format, and removes query tokens from `target`.
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

    /// Returns the playback of the request's renewal cookie; `None` if there is no such cookie or it is
    /// invalid.
    fn verified_playback(
        &self,
        headers: &Headers,
        request: &VerificationContext,
        now: VerificationTime,
    ) -> Option<Playback> {
        let renewal = cookie(headers, self.playback_cookie.as_ref()?)?;
        Playback::verify(&renewal, &self.keys.borrow(), request, now).ok()
    }

    /// Verifies the tokens in order until one authorizes the request. Returns the playback that this token
    /// may start, if any.
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
                // Each part that a token authorizes may start a playback, because the end of the playback is
                // bound to the token.
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

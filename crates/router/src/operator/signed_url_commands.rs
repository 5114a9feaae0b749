//! Runs the subcommands for signed URLs.

use std::net::IpAddr;

use anyhow::{Context, Result, bail};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use tindoor_signed_urls::claims::{VerificationContext, VerificationTime};
use tindoor_signed_urls::hmac_format::{HmacFields, HmacFormat};
use tindoor_signed_urls::keys::Key;
use tindoor_signed_urls::uri_signing::{UriSigningClaims, UriSigningFormat};
use tindoor_signed_urls::url_prefix::UrlPrefixFormat;
use tindoor_signed_urls::{TokenFormat, check_key, normalize};

use super::command_line::{SignedUrlCommand, SignedUrlOptions, TokenForm};
use super::unix_time::unix_seconds;
use crate::signed_urls::read_keys;

/// The client's address if none is given.
const ANY_CLIENT: &str = "0.0.0.0";

const MILLIS_PER_SECOND: u64 = 1000;

/// Runs a `tindoor signed-url` subcommand.
pub fn run(command: SignedUrlCommand) -> Result<()> {
    match command {
        SignedUrlCommand::Sign { options, seconds, id } => sign(options, seconds, id),
        SignedUrlCommand::Check { options, token } => check(&options, &token),
        SignedUrlCommand::Explain { token } => explain(&token),
    }
}

/// Splits a URL into two parts: scheme with host, and path with query.
fn split_url(url: &str) -> Result<(&str, &str)> {
    let host = url.find("://").context("the URL has no scheme: expected https://HOST/PATH")? + 3;
    let slash = url[host..].find('/').context("the URL has no path: expected https://HOST/PATH")?;
    Ok(url.split_at(host + slash))
}

fn sign(options: SignedUrlOptions, seconds: u64, id: Option<String>) -> Result<()> {
    let key_set = read_keys(&options.file)?;
    let key = match &options.key {
        Some(id) => key_set.key(id).with_context(|| format!("the key set has no key {id:?}"))?,
        None => key_set.signing_key(unix_seconds()).context("no key of the key set can sign now")?,
    };
    let expires = unix_seconds().saturating_add(seconds);
    let token = match options.form {
        TokenForm::Hmac => sign_hmac(key, options, id, expires)?,
        TokenForm::UriSigning => sign_uri_signing(key, options, id, expires)?,
        TokenForm::Prefix if options.client.is_some() || id.is_some() => {
            bail!("the prefix form supports neither a client address nor a token id")
        }
        TokenForm::Prefix => UrlPrefixFormat.sign(key, &options.url, expires),
    };
    println!(
        "{}",
        token.context(
            "the key cannot sign, its algorithm does not fit the form, or the form cannot represent a field"
        )?
    );
    Ok(())
}

fn sign_hmac(
    key: &Key,
    options: SignedUrlOptions,
    id: Option<String>,
    expires: u64,
) -> Result<Option<String>> {
    let (_, path) = split_url(&options.url)?;
    let is_pattern = path.contains(['*', '?']);
    let patterns = if is_pattern { vec![path.to_string()] } else { Vec::new() };
    let path = if is_pattern { String::new() } else { normalize::normalize(path)?.path };
    let fields = HmacFields { not_before: None, expires, patterns, client: options.client, id, data: None };
    Ok(HmacFormat { keys: vec![] }.sign(key, &fields, &path))
}

fn sign_uri_signing(
    key: &Key,
    options: SignedUrlOptions,
    id: Option<String>,
    expires: u64,
) -> Result<Option<String>> {
    let (base, path) = split_url(&options.url)?;
    let url = format!("{base}{}", normalize::normalize(path)?.to_text());
    let claims = UriSigningClaims {
        cdniuc: UriSigningFormat::hash_container(&url),
        exp: Some(expires),
        jti: id,
        cdniip: options.client,
        ..UriSigningClaims::default()
    };
    Ok(UriSigningFormat::default().sign(key, &claims))
}

/// Prints until when a token authorizes a request. Fails if it does not.
fn check(options: &SignedUrlOptions, token: &str) -> Result<()> {
    let key_set = read_keys(&options.file)?;
    let (base, path) = split_url(&options.url)?;
    let target = normalize::normalize(path)?;
    let client = options.client.as_deref().unwrap_or(ANY_CLIENT);
    let client: IpAddr =
        client.parse().with_context(|| format!("expected an IP address, found {client:?}"))?;
    let request = VerificationContext { base_url: base, target: &target, client };
    let key_ids = match &options.key {
        Some(id) => vec![id.clone()],
        None => key_set.iter().map(|key| key.id.clone()).collect(),
    };
    let (hmac, uri_signing) = (HmacFormat { keys: key_ids }, UriSigningFormat::default());
    let format: &dyn TokenFormat = match options.form {
        TokenForm::Hmac => &hmac,
        TokenForm::UriSigning => &uri_signing,
        TokenForm::Prefix => &UrlPrefixFormat,
    };
    let now = VerificationTime { unix_ms: unix_seconds() * MILLIS_PER_SECOND, skew_ms: 0 };
    let claims = format.verify(token, &key_set, &request)?;
    check_key(&claims, &key_set, now)?;
    match claims.authorize(&request, now)? {
        u64::MAX => println!("valid without expiry, by the key {}", claims.key),
        until => println!("valid until {} (Unix time), by the key {}", until / MILLIS_PER_SECOND, claims.key),
    }
    Ok(())
}

/// Prints the readable parts of a token without verifying its signature.
fn explain(token: &str) -> Result<()> {
    let parts: Vec<String> = match token {
        token if token.contains("~hmac=") => token.split('~').map(str::to_string).collect(),
        token if token.contains("&Signature=") => token.split('&').map(str::to_string).collect(),
        token => token.split('.').take(2).filter_map(decode_part).collect(),
    };
    if parts.is_empty() {
        bail!("unknown token form: expected an HMAC, URI signing or prefix token");
    }
    for part in parts {
        println!("{part}");
    }
    println!("signature not checked; use `tindoor signed-url check` to verify the token");
    Ok(())
}

fn decode_part(part: &str) -> Option<String> {
    URL_SAFE_NO_PAD.decode(part).ok().and_then(|bytes| String::from_utf8(bytes).ok())
}

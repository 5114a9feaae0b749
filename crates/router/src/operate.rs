//! What operators do with keys and links on the command line.

use std::io::Write;
use std::net::IpAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result, bail};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use tindoor_signed_urls::claims::{VerificationContext, VerificationTime};
use tindoor_signed_urls::hmac_format::{HmacFields, HmacFormat};
use tindoor_signed_urls::uri_signing::{UriSigningClaims, UriSigningFormat};
use tindoor_signed_urls::url_prefix::UrlPrefixFormat;
use tindoor_signed_urls::{TokenFormat, check_key, key_set_editor, keys, normalize};

use crate::command::{Algorithm, Form, Keys, Link, NewKey, Of};
use crate::signed_urls::read_keys;

fn unix() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// Replaces a file whole, for its owner alone: a router that reads it meanwhile has the old one or the new
/// one.
fn replace(path: &Path, text: &str) -> Result<()> {
    let new = path.with_extension("new");
    let mut options = std::fs::OpenOptions::new();
    let mut file = options.write(true).create_new(true).mode(0o600).open(&new).with_context(|| {
        format!("{}: left by a change that was broken off, or one that is under way", new.display())
    })?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    std::fs::rename(&new, path).with_context(|| format!("{}", path.display()))
}

fn new_key(key: &NewKey) -> Result<serde_json::Value> {
    let algorithm = match key.algorithm {
        Algorithm::Hs256 => keys::Algorithm::Hs256,
        Algorithm::Eddsa => keys::Algorithm::EdDsa,
    };
    let until = key.days.map_or(u64::MAX, |days| unix().saturating_add(days.saturating_mul(86_400)));
    key_set_editor::new_key(&key.id, algorithm, unix(), until).context("no random numbers")
}

pub fn keys(deed: Keys) -> Result<()> {
    match deed {
        Keys::New(key) => {
            let old = match std::fs::read(&key.file) {
                Ok(text) => Some(text),
                Err(error) if error.kind() == std::io::ErrorKind::NotFound => None,
                Err(error) => return Err(error).with_context(|| format!("{}", key.file.display())),
            };
            replace(&key.file, &key_set_editor::add_key(old.as_deref(), new_key(&key)?)?)
        }
        Keys::Rotate { key, overlap } => {
            let old = std::fs::read(&key.file).with_context(|| format!("{}", key.file.display()))?;
            replace(&key.file, &key_set_editor::rotate(&old, new_key(&key)?, unix(), overlap)?)
        }
        Keys::List { file } => {
            let set = read_keys(&file)?;
            for key in set.iter() {
                let deed = if key.can_sign { "signs" } else { "checks" };
                let now = if key.is_valid_at(unix()) { "holds" } else { "does not hold now" };
                let until =
                    if key.valid_until == u64::MAX { "-".to_string() } else { key.valid_until.to_string() };
                println!("{}\t{}\t{deed}\t{}\t{until}\t{now}", key.id, key.algorithm.name(), key.valid_from);
            }
            Ok(())
        }
    }
}

/// Scheme and host, and what follows.
fn parts(url: &str) -> Result<(&str, &str)> {
    let after = url.find("://").context("the URL has no scheme")? + 3;
    let slash = url[after..].find('/').context("the URL has no path")?;
    Ok(url.split_at(after + slash))
}

pub fn link(deed: Link) -> Result<()> {
    match deed {
        Link::Sign { of, seconds, id } => {
            let set = read_keys(&of.file)?;
            let key = match &of.key {
                Some(id) => set.key(id).with_context(|| format!("no key {id:?}"))?,
                None => set.signing_key(unix()).context("no key of the set signs now")?,
            };
            let expires = unix().saturating_add(seconds);
            let token = match of.form {
                Form::Hmac => {
                    let (_, path) = parts(&of.url)?;
                    let patterned = path.contains(['*', '?']);
                    let patterns = if patterned { vec![path.to_string()] } else { Vec::new() };
                    let path = if patterned { String::new() } else { normalize::normalize(path)?.path };
                    let (client, not_before, data) = (of.client, None, None);
                    HmacFormat { keys: vec![] }.sign(
                        key,
                        &HmacFields { not_before, expires, patterns, client, id, data },
                        &path,
                    )
                }
                Form::UriSigning => {
                    let (base, path) = parts(&of.url)?;
                    let whole = format!("{base}{}", normalize::normalize(path)?.to_text());
                    let signed = UriSigningClaims {
                        cdniuc: UriSigningFormat::hash_container(&whole),
                        exp: Some(expires),
                        jti: id,
                        cdniip: of.client,
                        ..UriSigningClaims::default()
                    };
                    UriSigningFormat::default().sign(key, &signed)
                }
                Form::Prefix if of.client.is_some() || id.is_some() => {
                    bail!("the prefix form carries neither a client nor an id")
                }
                Form::Prefix => UrlPrefixFormat.sign(key, &of.url, expires),
            };
            println!(
                "{}",
                token.context("the key does not sign, not by this form, or a field does not fit it")?
            );
            Ok(())
        }
        Link::Check { of, token } => check(&of, &token),
        Link::Explain { token } => explain(&token),
    }
}

fn check(of: &Of, token: &str) -> Result<()> {
    let set = read_keys(&of.file)?;
    let (base, path) = parts(&of.url)?;
    let target = normalize::normalize(path)?;
    let client = of.client.as_deref().unwrap_or("0.0.0.0");
    let client: IpAddr = client.parse().with_context(|| format!("{client}: no address"))?;
    let asked = VerificationContext { base_url: base, target: &target, client };
    let ids = match &of.key {
        Some(id) => vec![id.clone()],
        None => set.iter().map(|key| key.id.clone()).collect(),
    };
    let (hmac, uri) = (HmacFormat { keys: ids }, UriSigningFormat::default());
    let format: &dyn TokenFormat = match of.form {
        Form::Hmac => &hmac,
        Form::UriSigning => &uri,
        Form::Prefix => &UrlPrefixFormat,
    };
    let now = VerificationTime { unix_ms: unix() * 1000, skew_ms: 0 };
    let claims = format.verify(token, &set, &asked)?;
    check_key(&claims, &set, now)?;
    let until = claims.authorize(&asked, now)?;
    match until {
        u64::MAX => println!("passes, without an end, by the key {}", claims.key),
        until => println!("passes until {}, by the key {}", until / 1000, claims.key),
    }
    Ok(())
}

/// The parts of a token in the clear; nothing says here that they are true.
fn explain(token: &str) -> Result<()> {
    let decoded =
        |part: &str| URL_SAFE_NO_PAD.decode(part).ok().and_then(|bytes| String::from_utf8(bytes).ok());
    let said: Vec<String> = match token {
        token if token.contains("~hmac=") => token.split('~').map(str::to_string).collect(),
        token if token.contains("&Signature=") => token.split('&').map(str::to_string).collect(),
        token => token.split('.').take(2).filter_map(decoded).collect(),
    };
    if said.is_empty() {
        bail!("no form that is known");
    }
    said.iter().for_each(|line| println!("{line}"));
    println!("not checked: `tindoor link check` says whether it passes");
    Ok(())
}

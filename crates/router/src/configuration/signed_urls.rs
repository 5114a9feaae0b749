//! Settings of signed URLs in the fronts file.

use std::path::PathBuf;

use serde::Deserialize;

/// How signed URLs are checked.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedUrlSettings {
    /// The key set's file, which nobody but its owner may read.
    #[serde(rename = "keys")]
    pub key_file: PathBuf,
    /// Scheme and host of the URLs, as their signers write them.
    pub base: String,
    /// How far the signers' clocks and this one may be apart, in milliseconds.
    pub skew_ms: u64,
    /// The names of request classes that need a signature; all others pass without.
    #[serde(rename = "request_classes", alias = "offerings")]
    pub classes: Vec<String>,
    /// The formats of tokens, in the order in which they are tried.
    #[serde(rename = "forms")]
    pub formats: Vec<TokenFormatSettings>,
    /// The header with the client's address.
    #[serde(rename = "client", default = "default_client_header")]
    pub client_header: String,
    /// Lets a playback that began in time go on past the end of its token.
    #[serde(default)]
    pub playback: Option<PlaybackSettings>,
}

/// How playbacks are renewed.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlaybackSettings {
    /// The cookie that carries the renewals.
    pub cookie: String,
}

fn default_client_header() -> String {
    "x-envoy-external-address".to_string()
}

/// A format of tokens and where they stand.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, tag = "form", rename_all = "kebab-case")]
pub enum TokenFormatSettings {
    /// The HMAC format, checked by the keys with these ids.
    Hmac {
        /// Where the token stands.
        #[serde(rename = "from")]
        source: TokenSource,
        /// The ids of the keys.
        keys: Vec<String>,
    },
    /// RFC 9246, for this audience where a token names one.
    UriSigning {
        /// Where the token stands.
        #[serde(rename = "from")]
        source: TokenSource,
        /// The audience that this router belongs to.
        audience: Option<String>,
    },
    /// The Ed25519 prefix signature.
    Prefix {
        /// Where the token stands.
        #[serde(rename = "from")]
        source: TokenSource,
    },
}

/// Where a token stands in a request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase")]
pub enum TokenSource {
    /// In this query parameter.
    Query(String),
    /// In this cookie.
    Cookie(String),
    /// In this header.
    Header(String),
}

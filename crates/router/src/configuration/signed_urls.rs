//! The signed URL section of the fronts file.

use std::path::PathBuf;

use serde::Deserialize;

/// Settings for checking signed URLs.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedUrlSettings {
    /// The path of the key set. Only its owner may have access to the file.
    #[serde(rename = "keys")]
    pub key_file: PathBuf,
    /// The scheme and host of the URLs, as the signers write them.
    pub base: String,
    /// The maximum difference between this router's clock and the signers' clocks, in milliseconds.
    pub skew_ms: u64,
    /// The names of the request classes that need a signature; all others are served without a signature.
    #[serde(rename = "request_classes", alias = "offerings")]
    pub classes: Vec<String>,
    /// The token formats, in the order in which they are tried.
    #[serde(rename = "forms")]
    pub formats: Vec<TokenFormatSettings>,
    /// The name of the header that contains the client's address.
    #[serde(rename = "client", default = "default_client_header")]
    pub client_header: String,
    /// If set, a playback that started while its token was valid may continue after the token expires.
    #[serde(default)]
    pub playback: Option<PlaybackSettings>,
}

/// Settings for renewing the authorization of a playback.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlaybackSettings {
    /// The name of the cookie that contains the renewal token.
    pub cookie: String,
}

fn default_client_header() -> String {
    "x-envoy-external-address".to_string()
}

/// A token format and the part of a request that contains the token.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, tag = "form", rename_all = "kebab-case")]
pub enum TokenFormatSettings {
    /// The HMAC format, verified with the listed keys.
    Hmac {
        /// The part of the request that contains the token.
        #[serde(rename = "from")]
        source: TokenSource,
        /// The ids of the keys that may verify a token.
        keys: Vec<String>,
    },
    /// URI signing tokens (RFC 9246). If a token names an audience, it must be the configured one.
    UriSigning {
        /// The part of the request that contains the token.
        #[serde(rename = "from")]
        source: TokenSource,
        /// The audience that this router belongs to.
        audience: Option<String>,
    },
    /// The Ed25519 prefix signature.
    Prefix {
        /// The part of the request that contains the token.
        #[serde(rename = "from")]
        source: TokenSource,
    },
}

/// The part of a request that contains a token.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase")]
pub enum TokenSource {
    /// The query parameter with this name.
    Query(String),
    /// The cookie with this name.
    Cookie(String),
    /// The header with this name.
    Header(String),
}

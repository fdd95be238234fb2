//! Authentication of callers and operators by API keys.

use crate::catalog;
use crate::settings;
use axum::http;
use axum::http::header;
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

/// Returns the SHA-256 hash of a key in hexadecimal.
pub fn hash_key(key: &str) -> String {
    let digest = sha2::Sha256::digest(key.as_bytes());
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

/// Returns the key in the `Authorization: Bearer` header.
pub fn bearer(headers: &http::HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ").map(str::trim)
}

/// Returns the workspace that the caller's key belongs to.
///
/// The lookup uses the hash, so its timing does not reveal the key.
pub fn workspace<'a>(
    catalog: &'a catalog::Catalog,
    headers: &http::HeaderMap,
) -> Option<&'a catalog::documents::Workspace> {
    let hash = hash_key(bearer(headers)?);
    catalog.workspace_by_key(&hash)
}

/// Returns the operator that the key in the headers belongs to.
pub fn operator<'a>(
    operators: &'a [settings::Operator],
    headers: &http::HeaderMap,
) -> Option<&'a settings::Operator> {
    let hash = hash_key(bearer(headers)?);
    // All operators are compared, so that the timing does not reveal which one matched.
    let mut found = None;
    for operator in operators {
        let known = operator.key.to_ascii_lowercase();
        if bool::from(known.as_bytes().ct_eq(hash.as_bytes())) {
            found = Some(operator);
        }
    }
    found
}

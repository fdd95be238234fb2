//! Authentication of callers and operators by keys.

use crate::catalog;
use crate::settings;
use axum::http;
use axum::http::header;
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

/// SHA-256 of a key, in hexadecimal.
pub fn hash_key(key: &str) -> String {
    let digest = sha2::Sha256::digest(key.as_bytes());
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

/// The key in an `Authorization: Bearer` header.
pub fn bearer(headers: &http::HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ").map(str::trim)
}

/// The workspace whose key the caller presented.
///
/// The look-up is by the hash, so its timing depends on the hash and not on the key itself.
pub fn workspace<'a>(
    catalog: &'a catalog::Catalog,
    headers: &http::HeaderMap,
) -> Option<&'a catalog::documents::Workspace> {
    let hash = hash_key(bearer(headers)?);
    catalog.workspace_by_key(&hash)
}

/// The operator whose key the caller presented.
pub fn operator<'a>(
    operators: &'a [settings::Operator],
    headers: &http::HeaderMap,
) -> Option<&'a settings::Operator> {
    let hash = hash_key(bearer(headers)?);
    // Every entry is compared, so that the time does not tell which one matched.
    let mut found = None;
    for operator in operators {
        let known = operator.key.to_ascii_lowercase();
        if bool::from(known.as_bytes().ct_eq(hash.as_bytes())) {
            found = Some(operator);
        }
    }
    found
}

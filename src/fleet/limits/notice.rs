//! Reads from an answer which limit its endpoint states. Free of I/O.

use crate::fleet::limits;
use crate::fleet::protocol;
use crate::fleet::upstream;
use hyper::header::HeaderValue;

/// What the head of an answer says about the limit of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The endpoint states no limit.
    Absent,
    /// The endpoint takes so many requests a second from all hosts.
    Limit(limits::Rate),
    /// Nothing that can be used, for this reason.
    Unusable(&'static str),
}

/// Reads the limit from the head of an answer to the request `id`.
pub fn read(names: &protocol::Headers, head: &hyper::http::response::Parts, id: &str) -> Notice {
    match upstream::own_header(names, head, id, &names.limit) {
        Ok(None) => Notice::Absent,
        Ok(Some(value)) => match parse(value) {
            Some(rate) => Notice::Limit(rate),
            None => Notice::Unusable("the limit is not a decimal number"),
        },
        Err(problem) => Notice::Unusable(problem),
    }
}

/// Parses a decimal number of requests a second. Signs, exponents and names of numbers are none.
fn parse(value: &HeaderValue) -> Option<limits::Rate> {
    let text = value.to_str().ok()?.trim();
    let is_plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let has_digit = text.bytes().any(|b| b.is_ascii_digit());
    let number: f64 = text.parse().ok()?;
    (is_plain && has_digit).then(|| limits::Rate::from_per_second(number))
}

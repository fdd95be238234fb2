//! Parts of the placement of requests that learn from responses.

pub mod pace;

//! Error of an operation that involves another process: names the step and the peer.

use derive_more::Display;
use std::sync::Arc;

/// Failed step, the peer that it involved and the cause.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{step} with {peer}: {cause}")]
pub struct Error {
    /// Step that failed, for example `dial` or `read frame`.
    pub step: &'static str,
    /// Name or address of the other side; a path for files.
    pub peer: Arc<str>,
    /// Reason of the failure.
    pub cause: Cause,
}

/// Reason of a failed step.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// The peer did not answer in time.
    #[display("no answer within {_0} ms")]
    Timeout(u64),
    /// The connection was closed or lost.
    #[display("connection lost: {_0}")]
    Lost(Arc<str>),
    /// The peer sent something that does not follow the protocol.
    #[display("protocol violation: {_0}")]
    Protocol(Arc<str>),
    /// The peer refused the operation.
    #[display("refused: {_0}")]
    Refused(Arc<str>),
    /// Local I/O failed.
    #[display("{_0}")]
    Io(Arc<str>),
    /// The input is not valid.
    #[display("{_0}")]
    Invalid(Arc<str>),
}

impl std::error::Error for Error {}

impl Error {
    /// Builds an error from its parts.
    pub fn new(step: &'static str, peer: impl Into<Arc<str>>, cause: Cause) -> Error {
        Error { step, peer: peer.into(), cause }
    }

    /// Builds an error for a lost connection.
    pub fn lost(step: &'static str, peer: impl Into<Arc<str>>, cause: impl ToString) -> Error {
        Error::new(step, peer, Cause::Lost(cause.to_string().into()))
    }

    /// Builds an error for failed local I/O.
    pub fn io(step: &'static str, peer: impl Into<Arc<str>>, cause: impl ToString) -> Error {
        Error::new(step, peer, Cause::Io(cause.to_string().into()))
    }

    /// Builds an error for invalid input.
    pub fn invalid(step: &'static str, peer: impl Into<Arc<str>>, cause: impl ToString) -> Error {
        Error::new(step, peer, Cause::Invalid(cause.to_string().into()))
    }

    /// Builds an error for a violation of the protocol.
    pub fn protocol(step: &'static str, peer: impl Into<Arc<str>>, cause: impl ToString) -> Error {
        Error::new(step, peer, Cause::Protocol(cause.to_string().into()))
    }
}

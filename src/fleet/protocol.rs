//! Interface to the protocol that callers, endpoints and operators of a deployment speak.
//!
//! An implementation translates names and formats into the types of this crate and decides
//! nothing.

use crate::fleet::directory;
use crate::fleet::ledger;
use crate::fleet::routes;
use derive_more::Display;
use hyper::header::HeaderName;
use std::sync::Arc;

/// Names of the headers that this crate reads or sets.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Id of a request.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline: HeaderName,
    /// Id of the endpoint that the request is meant for.
    pub expected_endpoint: HeaderName,
    /// Set by an endpoint that has not run a request.
    pub declined: HeaderName,
    /// Number of the last event that the receiver of a stream has.
    pub last_event: HeaderName,
    /// Longest time in milliseconds that a read may wait for results.
    pub wait: HeaderName,
}

/// Call of an operator, an endpoint or the client of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether the host takes requests.
    Ready,
    /// An endpoint states how it is.
    Register(Arc<str>),
    /// An endpoint leaves.
    Deregister(Arc<str>),
    /// Put a configuration in force.
    PutConfig,
    /// Read the configuration in force.
    GetConfig,
    /// Empty a store host.
    Retire(Arc<str>),
    /// Progress of emptying a store host.
    RetireStatus(Arc<str>),
    /// Read results of a job from a position.
    Results {
        /// Id of the job.
        job: Arc<str>,
        /// First position.
        after: u64,
    },
    /// Read the body of an item.
    ItemBody {
        /// Id of the job.
        job: Arc<str>,
        /// Id of the item.
        item: Arc<str>,
    },
    /// End a job.
    EndJob(Arc<str>),
    /// A call whose parameters cannot be read.
    Malformed(Invalid),
}

/// Input that does not follow the protocol.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{_0}")]
pub struct Invalid(pub Arc<str>);

impl Invalid {
    /// Describes a problem.
    pub fn new(problem: impl ToString) -> Invalid {
        Invalid(problem.to_string().into())
    }
}

/// Translation between the protocol of a deployment and the types of this crate.
pub trait Protocol: Send + Sync {
    /// Names of headers.
    fn headers(&self) -> &Headers;

    /// Recognises a call; `None` for requests that are forwarded.
    fn parse_call(&self, method: &hyper::Method, uri: &hyper::Uri) -> Option<Call>;

    /// Reads and validates a configuration.
    ///
    /// # Errors
    /// The first problem; an invalid configuration must not be used.
    fn parse_config(&self, body: &[u8]) -> Result<routes::Config, routes::Problem>;

    /// Reads the registration of an endpoint.
    ///
    /// # Errors
    /// `Invalid` for text that does not describe an endpoint completely.
    fn parse_registration(&self, id: &str, body: &[u8]) -> Result<directory::Endpoint, Invalid>;

    /// Reads the start time from the deregistration of an endpoint, if it is stated.
    fn parse_deregistration(&self, body: &[u8]) -> Option<u64>;

    /// Reads the items of a submitted job.
    ///
    /// # Errors
    /// `Invalid` for text that is not a list of items.
    fn parse_submission(&self, body: &[u8]) -> Result<Vec<ledger::Item>, Invalid>;

    /// Answer to a registration.
    fn registration_reply(&self) -> Vec<u8>;

    /// Answer to a read of results.
    fn encode_page(&self, page: &ledger::Page) -> Vec<u8>;

    /// Answer to a question for the progress of emptying a store host.
    fn encode_retire_status(&self, complete: bool) -> Vec<u8>;
}

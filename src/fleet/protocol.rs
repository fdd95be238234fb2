//! Interface to the protocol that callers, endpoints and operators of a deployment use.
//!
//! An implementation only translates names and formats into the types of this crate; it makes no
//! decisions.

use crate::fleet::directory;
use crate::fleet::ledger;
use crate::fleet::prompt;
use crate::fleet::routes;
use derive_more::Display;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use std::sync::Arc;

/// Names of the headers that this crate reads or sets.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Id of a request.
    pub request_id: HeaderName,
    /// Milliseconds that the sender waits for the answer.
    pub deadline: HeaderName,
    /// Id of the endpoint that the request is addressed to.
    pub expected_endpoint: HeaderName,
    /// Set by an endpoint in the answer to a request that it did not run.
    pub declined: HeaderName,
    /// Set by an endpoint in every answer while it is leaving, with the value `leaving_value`.
    pub leaving: HeaderName,
    /// Value of `leaving`; any other one says nothing.
    pub leaving_value: HeaderValue,
    /// Set by an endpoint in every answer while it limits the requests that it takes: a decimal number
    /// of requests a second, from all hosts together.
    pub limit: HeaderName,
    /// Number of the last event that the receiver of a stream has.
    pub last_event: HeaderName,
    /// Id of the request that began the stream which the caller takes up again.
    pub resumed_request: HeaderName,
    /// Milliseconds that a read of results may wait for new ones.
    pub wait: HeaderName,
    /// Parts of the prompt of a request.
    pub prompt: HeaderName,
    /// Names the caller of a request: the key of its workspace, if the configuration has workspaces.
    pub caller: HeaderName,
    /// Name of the workspace of a request, set for endpoints.
    pub workspace: HeaderName,
}

/// API call of an operator, an endpoint or the client of a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Check whether the host accepts requests.
    Ready,
    /// Register an endpoint or renew its registration.
    Register(Arc<str>),
    /// Deregister an endpoint.
    Deregister(Arc<str>),
    /// Activate a configuration.
    PutConfig,
    /// Read the active configuration.
    GetConfig,
    /// Move the replica off a store host, so that the host can be removed.
    Retire(Arc<str>),
    /// Check whether the replica was moved off a store host.
    RetireStatus(Arc<str>),
    /// Read results of a job from a position on.
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
    /// Call whose parameters cannot be parsed.
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

    /// Parses an API call; `None` for requests that are to be forwarded.
    fn parse_call(&self, method: &hyper::Method, uri: &hyper::Uri) -> Option<Call>;

    /// Parses and validates a configuration.
    ///
    /// # Errors
    /// The first problem found; an invalid configuration must not be used.
    fn parse_config(&self, body: &[u8]) -> Result<routes::Config, routes::Problem>;

    /// Parses the registration of the endpoint `id`.
    ///
    /// # Errors
    /// `Invalid` if the body is not a complete registration.
    fn parse_registration(&self, id: &str, body: &[u8]) -> Result<directory::Endpoint, Invalid>;

    /// Parses the start time of the endpoint in its deregistration, if stated.
    fn parse_deregistration(&self, body: &[u8]) -> Option<u64>;

    /// Parses the items of a submitted job.
    ///
    /// # Errors
    /// `Invalid` if the body is not a list of items.
    fn parse_submission(&self, body: &[u8]) -> Result<Vec<ledger::Item>, Invalid>;

    /// Parses the header that lists the parts of a prompt.
    ///
    /// # Errors
    /// `Invalid` if the text is not a list of parts.
    fn parse_prompt(&self, list: &str) -> Result<prompt::Prompt, Invalid>;

    /// Body of the answer to a registration.
    fn registration_reply(&self) -> Vec<u8>;

    /// Encodes a page of results.
    fn encode_page(&self, page: &ledger::Page) -> Vec<u8>;

    /// Encodes whether the replica was moved off a store host.
    fn encode_retire_status(&self, complete: bool) -> Vec<u8>;
}

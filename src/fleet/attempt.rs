//! Decides after each attempt of a request whether to try another endpoint. Free of I/O.
//!
//! A request is reported as "not run" only if none of its attempts can have run. Attempts that
//! certainly did not run do not count towards the limit of the route. They end a request that has
//! not begun after a few, but not a stream of which the caller has events: only endpoints of its
//! build can continue it, and they may be full for as long as their requests run.

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was not sent.
    NotSent,
    /// The endpoint answered that it did not run the request.
    Declined,
    /// The request was sent, but no usable answer arrived; it may have run.
    Lost,
    /// The endpoint ran the request and answered with an error.
    Failed,
}

impl Outcome {
    /// Whether the request has certainly not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Outcome::NotSent | Outcome::Declined)
    }
}

/// Decision about a request after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try another endpoint.
    Again,
    /// Tell the caller that the request did not run.
    Refuse,
    /// Tell the caller that the outcome is unknown, or pass on the endpoint's error.
    Fail,
}

/// Number of attempts that did not run after which a request is refused. Each costs a round trip,
/// and when one endpoint declines, the others are usually as full.
const MAX_DECLINED_ATTEMPTS: u32 = 4;

/// Attempts of one request so far, and how many are allowed.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    /// Whether the request may run more than once.
    retryable: bool,
    max_runs: u32,
    /// Attempts that ran or may have run.
    possible_runs: u32,
    declined: u32,
    /// Whether the caller has a part of the answer.
    begun: bool,
    /// Whether another endpoint can go on after what the caller has.
    resumable: bool,
}

impl Attempts {
    /// Creates the state before the first attempt of a request that may run on `max_runs` endpoints.
    pub fn new(retryable: bool, max_runs: u32) -> Attempts {
        Attempts {
            retryable,
            max_runs: max_runs.max(1),
            possible_runs: 0,
            declined: 0,
            begun: false,
            resumable: true,
        }
    }

    /// Records that the caller has a part of the answer. Attempts that do not run no longer end the
    /// request; the time of the caller does.
    pub fn begin(&mut self) {
        self.begun = true;
    }

    /// Records whether another endpoint can go on after what the caller has.
    pub fn set_resumable(&mut self, resumable: bool) {
        self.resumable = resumable;
    }

    /// Whether another endpoint can go on after what the caller has, if the number of attempts
    /// permits it.
    pub fn is_resumable(&self) -> bool {
        self.resumable
    }

    /// Whether another attempt is allowed if the current one ran or may have run.
    pub fn may_retry(&self) -> bool {
        self.retryable && self.resumable && self.possible_runs + 1 < self.max_runs
    }

    /// Whether any attempt ran or may have run.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs > 0
    }

    /// Records the outcome of an attempt and decides how to go on.
    pub fn record(&mut self, outcome: Outcome) -> Next {
        match outcome {
            Outcome::NotSent | Outcome::Declined => {
                self.declined += 1;
                let again = self.begun || self.declined < MAX_DECLINED_ATTEMPTS;
                match (again, self.possible_runs) {
                    (true, _) => Next::Again,
                    (false, 0) => Next::Refuse,
                    (false, _) => Next::Fail,
                }
            }
            Outcome::Lost | Outcome::Failed => {
                self.possible_runs += 1;
                let again = self.retryable && self.resumable && self.possible_runs < self.max_runs;
                if again { Next::Again } else { Next::Fail }
            }
        }
    }
}

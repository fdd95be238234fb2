//! Sends a request to agents: choice of the agent, retry, withdrawal and resumption.

use crate::completion;
use crate::entry;
use crate::entry::begun;
use crate::errors;
use crate::event;
use crate::events;
use crate::link;
use crate::router;
use crate::wire;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time;

/// Timeout of a withdrawal on one connection.
pub const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of connections on which a withdrawal is tried before the agent is considered lost.
pub const WITHDRAW_TRIES: u32 = 2;
/// Additional wait after a deadline, so that an agent's own refusal or error can still arrive.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);
/// Largest number of attempts for one request.
const MAX_ATTEMPTS: usize = 4;
/// Number of parts of a streamed answer that are buffered for a slow caller.
const STREAM_BUFFER: usize = 64;
/// Retry hint in milliseconds after an agent was lost or an answer broke off.
const LOST_RETRY_MS: u64 = 1_000;

/// Authenticated request of a caller in the form that is sent to agents.
#[derive(Clone, Debug)]
pub struct Call {
    /// Workspace of the caller.
    pub workspace: Arc<str>,
    /// Model or service that the request is for.
    pub target: wire::Target,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query string at the endpoint.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Request body.
    pub body: Bytes,
    /// Whether the caller asked for a streamed answer.
    pub stream: bool,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Deadline for the start of the answer.
    pub deadline: time::Instant,
    /// Hash of the start of the prompt, used for prefix affinity; 0 for none.
    pub prefix_hash: u64,
}

/// Final refusal or failure of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub reason: wire::Reason,
    /// Whether the request may have run.
    pub run: wire::Run,
    /// Time after which the caller may retry.
    pub retry: Duration,
}

impl Refusal {
    /// Creates the refusal of a request that has not run.
    pub fn not_run(reason: wire::Reason, retry: Duration) -> Refusal {
        Refusal { reason, run: wire::Run::No, retry }
    }
}

/// Answer to a request.
pub enum Answer {
    /// Complete answer.
    Buffered {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: Arc<str>,
        /// Body.
        body: Bytes,
    },
    /// Streamed answer. Each part has one or more complete events.
    Stream {
        /// Content type.
        content_type: Arc<str>,
        /// Parts of the body. If the answer breaks off, the last item is the error.
        parts: mpsc::Receiver<Result<Bytes, Refusal>>,
    },
}

/// Why one attempt did not succeed.
enum Failure {
    /// The attempt was refused or withdrawn and has not run.
    NotRun { reason: wire::Reason, retry: Duration },
    /// The attempt may have run.
    Unknown { reason: wire::Reason },
}

/// Runs a request: makes attempts until an agent answers or no further attempt is permitted.
pub async fn run(entry: &entry::Entry, call: Call) -> Result<Answer, Refusal> {
    let mut attempts = Attempts::new(entry, call);
    let (agent, answer) = attempts.begin_answer(None).await?;
    if answer.is_event_stream() {
        let (sender, parts) = mpsc::channel(STREAM_BUFFER);
        let content_type = answer.content_type.clone();
        let running = entry.running.enter();
        tokio::spawn(async move {
            forward(attempts, agent, answer, sender).await;
            drop(running);
        });
        return Ok(Answer::Stream { content_type, parts });
    }
    read_answer(attempts, agent, answer).await
}

/// Reads a non-streaming answer. Nothing is returned before its end is verified, so the request can
/// be retried if the answer breaks off.
async fn read_answer(
    mut attempts: Attempts,
    mut agent: Arc<str>,
    mut answer: begun::AnswerReader,
) -> Result<Answer, Refusal> {
    loop {
        let (status, content_type) = (answer.status, answer.content_type.clone());
        match answer.read_all().await {
            Ok(body) => {
                attempts.record_success(&agent);
                answer.confirm_received();
                return Ok(Answer::Buffered { status, content_type, body });
            }
            Err(reason) => {
                attempts.record_failure(&agent, &Failure::Unknown { reason });
                (agent, answer) = attempts.begin_answer(None).await?;
            }
        }
    }
}

/// Forwards a streamed answer and resumes it in a new attempt if it breaks off.
async fn forward(
    mut attempts: Attempts,
    mut agent: Arc<str>,
    mut answer: begun::AnswerReader,
    sender: mpsc::Sender<Result<Bytes, Refusal>>,
) {
    let mut progress = completion::Progress::default();
    loop {
        let reason = match answer.forward(&attempts.entry, &agent, &sender, &mut progress).await {
            begun::ForwardOutcome::Complete => {
                attempts.record_success(&agent);
                answer.confirm_received();
                return;
            }
            // Dropping the stream cancels the attempt at the agent.
            begun::ForwardOutcome::CallerGone => {
                attempts.entry.observe(&agent, router::Observation::Abandoned);
                return;
            }
            begun::ForwardOutcome::Broken(reason) => reason,
        };
        attempts.record_failure(&agent, &Failure::Unknown { reason });
        if !progress.is_resumable() {
            let retry = Duration::from_millis(LOST_RETRY_MS);
            let refusal = Refusal { reason, run: attempts.run, retry };
            let _ = sender.send(Err(refusal)).await;
            return;
        }
        match attempts.begin_answer(Some(&progress)).await {
            Ok(next) => {
                event!(attempts.entry.log, events::STREAM_RESUMED; "from" => &*agent, "to" => &*next.0);
                (agent, answer) = next;
            }
            Err(refusal) => {
                let _ = sender.send(Err(refusal)).await;
                return;
            }
        }
    }
}

/// Attempt with an id, an agent and an open stream that has not been sent yet.
pub struct Prepared {
    /// Id of the attempt.
    pub id: u64,
    /// Agent that will receive the attempt.
    pub agent: Arc<str>,
    /// Number of the connection that will carry the attempt.
    pub connection: u64,
    agent_link: entry::AgentLink,
    stream: link::Stream,
}

/// Attempts of one request: the agents tried so far and the last failure.
pub struct Attempts {
    entry: entry::Entry,
    call: Call,
    tried: Vec<Arc<str>>,
    /// Whether any attempt may have run.
    run: wire::Run,
    last_failure: Option<Failure>,
}

impl Attempts {
    /// Creates the state of a request without attempts.
    pub fn new(entry: &entry::Entry, call: Call) -> Attempts {
        let entry = entry.clone();
        Attempts { entry, call, tried: Vec::new(), run: wire::Run::No, last_failure: None }
    }

    /// Makes attempts until the head of an answer arrives. `resume` is what the caller already has
    /// of a streamed answer.
    async fn begin_answer(
        &mut self,
        resume: Option<&completion::Progress>,
    ) -> Result<(Arc<str>, begun::AnswerReader), Refusal> {
        loop {
            self.permit_attempt()?;
            let agent = self.pick()?;
            self.tried.push(agent.clone());
            match self.try_agent(&agent, resume).await {
                Ok(answer) if answer.status >= 500 && self.call.idempotent => {
                    let reason = wire::Reason::EndpointFailed;
                    self.record_failure(&agent, &Failure::Unknown { reason });
                }
                Ok(answer) => return Ok((agent, answer)),
                Err(failure) => self.record_failure(&agent, &failure),
            }
        }
    }

    /// Chooses an agent and connects to it without sending the request.
    pub async fn prepare(&mut self) -> Result<Prepared, Refusal> {
        loop {
            self.permit_attempt()?;
            let agent = self.pick()?;
            self.tried.push(agent.clone());
            match self.connect(&agent).await {
                Ok(prepared) => return Ok(prepared),
                Err(failure) => self.record_failure(&agent, &failure),
            }
        }
    }

    /// Sends a prepared attempt and reads its whole answer. Does not retry.
    pub async fn send(&mut self, prepared: Prepared) -> Result<Answer, Refusal> {
        let agent = prepared.agent.clone();
        let failure = match self.dispatch(prepared, None).await {
            Ok(mut answer) => {
                let (status, content_type) = (answer.status, answer.content_type.clone());
                match answer.read_all().await {
                    Ok(body) => {
                        self.record_success(&agent);
                        answer.confirm_received();
                        return Ok(Answer::Buffered { status, content_type, body });
                    }
                    Err(reason) => Failure::Unknown { reason },
                }
            }
            Err(failure) => failure,
        };
        self.record_failure(&agent, &failure);
        let (reason, retry) = match failure {
            Failure::NotRun { reason, retry } => (reason, retry),
            Failure::Unknown { reason } => (reason, Duration::from_millis(LOST_RETRY_MS)),
        };
        Err(Refusal { reason, run: self.run, retry })
    }

    /// Checks whether another attempt is permitted. A retry takes one from the retry budget.
    fn permit_attempt(&self) -> Result<(), Refusal> {
        let Some(last) = &self.last_failure else { return Ok(()) };
        let (reason, retry) = match last {
            Failure::NotRun { reason, retry } => (*reason, *retry),
            Failure::Unknown { reason } => (*reason, Duration::from_millis(LOST_RETRY_MS)),
        };
        let refusal = |reason| Refusal { reason, run: self.run, retry };
        if self.run == wire::Run::Unknown && !self.call.idempotent {
            return Err(refusal(reason));
        }
        if self.tried.len() >= MAX_ATTEMPTS || time::Instant::now() >= self.call.deadline {
            return Err(refusal(reason));
        }
        if !self.entry.try_take_retry() {
            self.entry.metrics.count_retry("budget_spent");
            return Err(refusal(wire::Reason::RetryBudget));
        }
        self.entry.metrics.count_retry(reason.label());
        event!(self.entry.log, events::REQUEST_RETRIED; "reason" => %reason);
        Ok(())
    }

    fn pick(&self) -> Result<Arc<str>, Refusal> {
        let query = router::Query {
            model: entry::routed_name(&self.call.target),
            prefix: self.call.prefix_hash,
            tried: self.tried.clone(),
            deadline: self.call.deadline.saturating_duration_since(time::Instant::now()),
        };
        match self.entry.pick(&query) {
            Ok(agent) => Ok(agent),
            // If all agents were tried, the last failure is more specific than "no endpoint".
            Err(refused) => {
                let (reason, retry) = match &self.last_failure {
                    Some(Failure::NotRun { reason, retry }) => (*reason, *retry),
                    Some(Failure::Unknown { reason }) => (*reason, refused.retry),
                    None => (refused.reason, refused.retry),
                };
                Err(Refusal { reason, run: self.run, retry })
            }
        }
    }

    fn record_failure(&mut self, agent: &str, failure: &Failure) {
        let event = match failure {
            // The agent was not reached. This counts as a failure, because a refusal would only
            // mark the agent as busy and delay the next request.
            Failure::NotRun { reason: wire::Reason::AgentLost, .. } => router::Observation::Failed,
            Failure::NotRun { reason, retry } => {
                router::Observation::Refused { reason: *reason, retry: *retry }
            }
            Failure::Unknown { .. } => router::Observation::Failed,
        };
        self.entry.observe(agent, event);
        self.last_failure = Some(match failure {
            Failure::NotRun { reason, retry } => Failure::NotRun { reason: *reason, retry: *retry },
            Failure::Unknown { reason } => {
                self.run = wire::Run::Unknown;
                Failure::Unknown { reason: *reason }
            }
        });
    }

    fn record_success(&self, agent: &str) {
        self.entry.observe(agent, router::Observation::Finished);
    }

    /// Sends the request to one agent and waits for the head of its answer.
    async fn try_agent(
        &mut self,
        agent: &str,
        resume: Option<&completion::Progress>,
    ) -> Result<begun::AnswerReader, Failure> {
        let prepared = self.connect(agent).await?;
        self.dispatch(prepared, resume).await
    }

    async fn connect(&self, agent: &str) -> Result<Prepared, Failure> {
        let lost = || Failure::NotRun {
            reason: wire::Reason::AgentLost,
            retry: Duration::from_millis(LOST_RETRY_MS),
        };
        self.entry.observe(agent, router::Observation::Started);
        let agent_link = self.entry.agent_link(agent).ok_or_else(lost)?;
        let opened = agent_link.open(&self.entry.incarnation).await;
        let (stream, connection) = opened.map_err(|_| lost())?;
        Ok(Prepared { id: rand::random(), agent: agent.into(), connection, agent_link, stream })
    }

    async fn dispatch(
        &mut self,
        prepared: Prepared,
        resume: Option<&completion::Progress>,
    ) -> Result<begun::AnswerReader, Failure> {
        let Prepared { id, agent, connection, agent_link, mut stream } = prepared;
        let body = match resume {
            Some(progress) => progress.resume_request(&self.call.body).map_err(|_| {
                Failure::NotRun { reason: wire::Reason::Invalid, retry: Duration::ZERO }
            })?,
            None => self.call.body.clone(),
        };
        let left = self.call.deadline.saturating_duration_since(time::Instant::now());
        let attempt = wire::Attempt {
            id,
            entry: self.entry.incarnation.clone(),
            connection,
            revision: self.entry.follower.read(|c| c.revision()),
            workspace: self.call.workspace.clone(),
            deadline: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            target: self.call.target.clone(),
            method: self.call.method.clone(),
            path: self.call.path.clone(),
            content: self.call.content_type.clone(),
            body,
            stream: self.call.stream,
        };
        let head = self.exchange(&agent, &mut stream, attempt, left).await;
        match head {
            Ok((status, content)) => {
                let (stall, resumed) = (self.entry.stall_timeout, resume.is_some());
                Ok(begun::AnswerReader::new(stream, agent_link, status, content, stall, resumed))
            }
            Err(ExchangeError::Refused(failure)) => Err(failure),
            // The agent may have admitted the attempt, so withdraw it to learn whether it ran.
            Err(ExchangeError::Unconfirmed(reason)) => {
                drop(stream);
                Err(self.withdraw(&agent, &agent_link, connection, id, reason).await)
            }
            Err(ExchangeError::Broken(reason)) => Err(Failure::Unknown { reason }),
        }
    }

    async fn exchange(
        &self,
        agent: &str,
        stream: &mut link::Stream,
        attempt: wire::Attempt,
        left: Duration,
    ) -> Result<(u16, Arc<str>), ExchangeError> {
        let request = wire::Request::Attempt(attempt);
        stream
            .send(&request)
            .await
            .map_err(|_| ExchangeError::Unconfirmed(wire::Reason::AgentLost))?;
        match time::timeout(left + DEADLINE_MARGIN, stream.recv::<wire::Reply>()).await {
            Ok(Ok(Some(wire::Reply::Admitted { queued, running }))) => {
                self.entry.observe(agent, router::Observation::Load { queued, running });
            }
            Ok(Ok(Some(wire::Reply::Refused { reason, retry }))) => {
                let retry = Duration::from_millis(retry);
                return Err(ExchangeError::Refused(Failure::NotRun { reason, retry }));
            }
            Ok(Ok(_)) | Ok(Err(_)) => {
                return Err(ExchangeError::Unconfirmed(wire::Reason::AgentLost));
            }
            Err(_) => return Err(ExchangeError::Unconfirmed(wire::Reason::Deadline)),
        }
        // A streamed answer starts with its first token, so a stall is detected early. Other
        // answers start when they are complete.
        let limit = if self.call.stream {
            self.entry.stall_timeout
        } else {
            left.max(self.entry.stall_timeout)
        };
        let limit = limit + DEADLINE_MARGIN;
        match time::timeout(limit, stream.recv::<wire::Reply>()).await {
            Ok(Ok(Some(wire::Reply::Head { status, content }))) => Ok((status, content)),
            Ok(Ok(Some(wire::Reply::Broken { reason }))) => Err(ExchangeError::Broken(reason)),
            Ok(_) => Err(ExchangeError::Broken(wire::Reason::AgentLost)),
            Err(_) => Err(ExchangeError::Broken(wire::Reason::Stalled)),
        }
    }

    /// Asks the agent on a new connection to withdraw an attempt, and returns the failure of that
    /// attempt. `sent` is the connection that carried it.
    async fn withdraw(
        &self,
        agent: &str,
        agent_link: &entry::AgentLink,
        sent: u64,
        id: u64,
        reason: wire::Reason,
    ) -> Failure {
        // The old connection may be dead although both ends consider it open.
        agent_link.dialer.reset(sent);
        for _ in 0..WITHDRAW_TRIES {
            let asked = self.request_withdrawal(agent_link, sent, id);
            let asked = time::timeout(WITHDRAW_TIMEOUT, asked).await;
            match asked {
                Ok(Ok(wire::Withdrawal::NeverRan)) => {
                    let retry = Duration::from_millis(LOST_RETRY_MS);
                    return Failure::NotRun { reason, retry };
                }
                Ok(Ok(wire::Withdrawal::Running | wire::Withdrawal::Finished)) => {
                    return Failure::Unknown { reason };
                }
                Ok(Err(_)) | Err(_) => {
                    self.entry.metrics.count_fault("withdraw");
                    agent_link.dialer.reset(agent_link.dialer.generation());
                }
            }
        }
        event!(self.entry.log, events::LINK_LOST; "agent" => agent, "step" => "withdraw");
        Failure::Unknown { reason: wire::Reason::AgentLost }
    }

    async fn request_withdrawal(
        &self,
        agent_link: &entry::AgentLink,
        sent: u64,
        id: u64,
    ) -> Result<wire::Withdrawal, errors::Error> {
        let (mut stream, connection) = agent_link.dialer.open_with_generation().await?;
        let entry = self.entry.incarnation.clone();
        stream.send(&wire::Request::Withdraw { attempt: id, entry, connection, sent }).await?;
        match stream.recv::<wire::Reply>().await? {
            Some(wire::Reply::Withdrawal(withdrawal)) => Ok(withdrawal),
            _ => Err(errors::Error::protocol("withdraw", "agent", "unexpected reply")),
        }
    }
}

/// Why an attempt ended before the head of its answer.
enum ExchangeError {
    /// The agent refused the attempt.
    Refused(Failure),
    /// No admission or refusal arrived, so the attempt may have been admitted.
    Unconfirmed(wire::Reason),
    /// The attempt was admitted and then failed.
    Broken(wire::Reason),
}

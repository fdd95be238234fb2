//! Keeps requests with a quarantined cause from endpoints, but for its trials.

use crate::event;
use crate::events;
use crate::fleet::attempt;
use crate::fleet::forward;
use crate::fleet::node;
use crate::fleet::quarantine;
use crate::fleet::serve;
use std::time::Duration;

/// Builds the response that tells a caller that its request has not run because it or a part
/// of its prompt is quarantined.
fn refuse_held(node: &node::Node, hold: quarantine::Hold) -> serve::Response {
    node.metrics.count_refusal("quarantined", "no");
    let quarantine::Hold { cause, crashes, wait } = hold;
    let cause = match cause {
        quarantine::Cause::Part(part) => format!("part {part:x} of the prompt"),
        quarantine::Cause::Request(_) => "the request".to_string(),
    };
    let reason = format!("{cause} is quarantined, since {crashes} endpoints crashed with it");
    forward::not_run(&reason, wait.max(forward::MIN_RETRY_AFTER))
}

impl forward::Forwarder {
    /// Whether a part of the prompt is quarantined and the request is not the trial of it.
    pub(super) fn is_held(&mut self) -> bool {
        self.trial.expire(self.node.now());
        let parts = self.trial.checked(&self.prompt.causes);
        !self.node.view.quarantine(|q| q.is_free(&parts))
    }

    /// Decides whether the request may be sent to an endpoint, judged by its prompt.
    ///
    /// # Errors
    /// The response to a request that may not.
    pub(super) async fn admit(&mut self) -> Result<(), serve::Response> {
        // The endpoint of the trial may be asked whether its answer has ended.
        if self.trial.is_sent() && self.only.is_none() {
            return Err(self.give_up("the trial of a quarantined cause has ended"));
        }
        self.trial.expire(self.node.now());
        let hold = loop {
            let (now, parts) = (self.node.now(), self.trial.checked(&self.prompt.causes));
            let (hold, number) = match self.node.view.quarantine(|q| q.check(now, &parts)) {
                quarantine::Check::Free => return Ok(()),
                quarantine::Check::Held(hold) => break hold,
                quarantine::Check::TrialDue { hold, number } => (hold, number),
            };
            let id = self.request.id.clone();
            if self.attempts.may_have_run() {
                break hold;
            }
            let trial = self.node.ask_for_trial(hold, number, &id);
            let trial = self.request.deadline.run(self.progress(), Duration::MAX, trial).await;
            if trial != Ok(true) {
                break hold;
            }
            self.trial.grant(self.node.now(), hold.cause);
            self.attempts = attempt::Attempts::new(false, 1);
        };
        self.node.metrics.count_part("held");
        event!(self.node.log, events::REQUEST_HELD; "request" => &*self.request.id,
            "cause" => %hold.cause, "crashes" => hold.crashes,
            "wait_ms" => hold.wait.as_millis() as u64, "ran" => self.attempts.may_have_run());
        Err(match self.attempts.may_have_run() {
            true => self.give_up("the request or a part of its prompt is quarantined"),
            false => refuse_held(&self.node, hold),
        })
    }
}

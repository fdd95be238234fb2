//! Deadlines of requests, which a stop of the process may bring forward while they run.

use crate::fleet::admission;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time;

/// Receiver of the stage of the process.
pub type StageReceiver = watch::Receiver<admission::Stage>;

/// The deadline has passed, or the request must be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Passed;

/// Deadline of a request.
#[derive(Clone, Debug)]
pub struct Deadline {
    terms: admission::Terms,
    stage: StageReceiver,
}

impl Deadline {
    /// Creates the deadline of a request with the given terms.
    pub fn new(terms: admission::Terms, stage: StageReceiver) -> Deadline {
        Deadline { terms, stage }
    }

    /// When a request that may run has to end.
    pub fn at(&self) -> time::Instant {
        let deadline = self.terms.deadline(*self.stage.borrow(), admission::Progress::MayRun);
        deadline.unwrap_or(self.terms.limit)
    }

    /// Time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.at().saturating_duration_since(time::Instant::now())
    }

    /// Whether the request must be refused, since the process ends before its time is over.
    pub fn is_too_late(&self, progress: admission::Progress) -> bool {
        self.terms.deadline(*self.stage.borrow(), progress).is_none()
    }

    /// Whether the process ends before the time of the request is over.
    pub fn is_cut(&self) -> bool {
        self.at() < self.terms.limit
    }

    /// Runs a future until the deadline, at most for `limit`.
    ///
    /// # Errors
    /// If it does not end by then, or the request must be refused meanwhile.
    pub async fn run<T>(
        &self,
        progress: admission::Progress,
        limit: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, Passed> {
        let mut future = std::pin::pin!(future);
        let mut stage = self.stage.clone();
        let limit = time::Instant::now().checked_add(limit);
        loop {
            let deadline =
                self.terms.deadline(*stage.borrow_and_update(), progress).ok_or(Passed)?;
            let turn = async {
                // The stage comes first, as a future that is always busy uses up the turns of its task.
                tokio::select! {
                    biased;
                    Ok(()) = stage.changed() => None,
                    value = &mut future => Some(value),
                }
            };
            match time::timeout_at(limit.map_or(deadline, |l| l.min(deadline)), turn).await {
                Ok(Some(value)) => return Ok(value),
                Ok(None) => {}
                Err(_) => return Err(Passed),
            }
        }
    }
}

/// Waits until every request has to be answered because the process stops.
pub async fn wait_for_end(mut stage: StageReceiver) {
    let stopping = stage.wait_for(|s| s.end().is_some()).await.map(|s| s.end());
    match stopping {
        Ok(Some(end)) => time::sleep_until(end).await,
        // The process ends without a stop.
        _ => std::future::pending().await,
    }
}

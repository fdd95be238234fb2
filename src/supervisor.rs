//! Supervisor tree: restarts failed tasks and stops tasks in the order of their dependencies.

use crate::errors;
use crate::event;
use crate::events;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

/// Most restarts of one task within [`FAILURE_WINDOW`]. The next failure ends the supervisor.
const MAX_RESTARTS: usize = 5;
/// Period over which failures are counted.
const FAILURE_WINDOW: Duration = Duration::from_secs(30);
/// Delay before a restart, so that a task that fails at once does not spin.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Signal that asks tasks to stop. Clones observe the same signal.
#[derive(Clone)]
pub struct Stop {
    receiver: watch::Receiver<bool>,
}

impl Stop {
    /// Creates a signal and the sender that triggers it.
    pub fn channel() -> (watch::Sender<bool>, Stop) {
        let (sender, receiver) = watch::channel(false);
        (sender, Stop { receiver })
    }

    /// Whether a stop was requested.
    pub fn is_requested(&self) -> bool {
        *self.receiver.borrow()
    }

    /// Waits until a stop is requested.
    pub async fn wait(&mut self) {
        // An error means that the sender was dropped, which counts as a stop.
        let _ = self.receiver.wait_for(|stop| *stop).await;
    }
}

/// Node of the supervisor tree: owns tasks and child supervisors.
pub struct Supervisor {
    name: Arc<str>,
    log: slog::Logger,
    stop: watch::Sender<bool>,
    tasks: task::JoinSet<Result<(), errors::Error>>,
}

impl Supervisor {
    /// Creates a supervisor without tasks.
    pub fn new(name: &str, log: &slog::Logger) -> Supervisor {
        let log = log.new(slog::o!("part" => name.to_string()));
        let (stop, _) = watch::channel(false);
        Supervisor { name: name.into(), log, stop, tasks: task::JoinSet::new() }
    }

    /// Logger of this node, for its tasks.
    pub fn log(&self) -> &slog::Logger {
        &self.log
    }

    /// Signal on which the tasks of this node stop.
    pub fn stop_signal(&self) -> Stop {
        Stop { receiver: self.stop.subscribe() }
    }

    /// Sender that requests a stop from outside, for example on SIGTERM.
    pub fn stop_sender(&self) -> watch::Sender<bool> {
        self.stop.clone()
    }

    /// Starts a task that is restarted when it fails.
    ///
    /// `start` is called for each run. A run that returns `Ok` is not restarted.
    pub fn spawn<F, R>(&mut self, name: &'static str, start: F)
    where
        F: Fn(Stop) -> R + Send + 'static,
        R: Future<Output = Result<(), errors::Error>> + Send + 'static,
    {
        let (log, stop) = (self.log.clone(), self.stop_signal());
        self.tasks.spawn(run_with_restarts(name, log, stop, start));
    }

    /// Starts a task that must not be restarted, since a failure leaves its state unknown.
    ///
    /// Its failure stops the whole tree.
    pub fn spawn_once(
        &mut self,
        run: impl Future<Output = Result<(), errors::Error>> + Send + 'static,
    ) {
        self.tasks.spawn(run);
    }

    /// Adds child supervisors, each of which depends on those before it.
    ///
    /// On a stop they end one after the other, the last one first. The failure of a child counts as
    /// a failure of this node.
    pub fn add_chain(&mut self, children: Vec<Supervisor>) {
        let mut stop = self.stop_signal();
        for child in children.into_iter().rev() {
            let (ended, next) = Stop::channel();
            self.add_child(child, stop, ended);
            stop = next;
        }
    }

    /// Adds a child that stops on `stop` and triggers `ended` once it has ended.
    fn add_child(&mut self, child: Supervisor, mut stop: Stop, ended: watch::Sender<bool>) {
        self.tasks.spawn(async move {
            let stop_sender = child.stop_sender();
            let forward = tokio::spawn(async move {
                stop.wait().await;
                stop_sender.send_replace(true);
            });
            let result = Box::pin(child.run()).await;
            forward.abort();
            ended.send_replace(true);
            result
        });
    }

    /// Runs until every task has ended. The first failure stops the others and is returned.
    pub async fn run(mut self) -> Result<(), errors::Error> {
        let mut result = Ok(());
        while let Some(joined) = self.tasks.join_next().await {
            let ended = joined.unwrap_or_else(|e| Err(errors::Error::io("join", &*self.name, e)));
            if let Err(error) = ended {
                self.stop.send_replace(true);
                result = result.and(Err(error));
            }
        }
        result
    }
}

async fn run_with_restarts<F, R>(
    name: &'static str,
    log: slog::Logger,
    stop: Stop,
    start: F,
) -> Result<(), errors::Error>
where
    F: Fn(Stop) -> R,
    R: Future<Output = Result<(), errors::Error>> + Send + 'static,
{
    let mut failures: Vec<time::Instant> = Vec::new();
    loop {
        // A separate task turns a panic into an error of this run.
        let run = task::spawn(start(stop.clone()));
        let abort = AbortOnDrop(run.abort_handle());
        let error = match run.await {
            Ok(Ok(())) => return Ok(()),
            Ok(Err(error)) => error,
            Err(panic) => errors::Error::io("run", name, panic),
        };
        drop(abort);
        failures.retain(|at| at.elapsed() < FAILURE_WINDOW);
        failures.push(time::Instant::now());
        if stop.is_requested() {
            return Err(error);
        }
        if failures.len() > MAX_RESTARTS {
            event!(log, events::RESTARTS_EXHAUSTED; "task" => name, "error" => %error);
            return Err(error);
        }
        event!(log, events::TASK_RESTARTED; "task" => name, "error" => %error);
        time::sleep(RESTART_DELAY).await;
    }
}

struct AbortOnDrop(task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

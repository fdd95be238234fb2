//! Writes the state of a group to its data folder.

use crate::errors;
use crate::event;
use crate::events;
use crate::replica;
use crate::state::group::Call;
use crate::state::group::Group;
use crate::state::group::SERVICE_TICK;
use crate::state::service;
use crate::storage;
use crate::wire;
use std::time::Duration;
use std::time::Instant;

/// Entries applied since the last snapshot after which one is taken if space is short.
const EARLY_SNAPSHOT_ENTRIES: u64 = 1_000;

/// Delay before a snapshot that could not be saved is taken again.
const SNAPSHOT_RETRY_DELAY: Duration = Duration::from_secs(2);

/// What a batch of outputs has made durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stored {
    /// The batch had no entries.
    Nothing,
    /// All entries.
    Entries,
    /// Nothing, since the disk is full. The entries are written later.
    Full,
}

impl Group {
    /// Writes and syncs the outputs that must be durable.
    pub(super) fn persist(&mut self, outputs: &[replica::Output]) -> Result<Stored, errors::Error> {
        let mut written = false;
        for output in outputs {
            match output {
                replica::Output::Persist { hard_state, entries } => {
                    let appended = self.parts.folder.append(hard_state.as_ref(), entries);
                    appended.map_err(|e| self.log_failure(&e))?;
                    written = true;
                }
                replica::Output::SaveSnapshot(snapshot) => {
                    self.begin_snapshot(snapshot.clone())?;
                }
                replica::Output::InstallSnapshot(snapshot) => {
                    self.retry_while_full(|folder| folder.install_snapshot(snapshot))?;
                }
                _ => {}
            }
        }
        match written {
            true => self.sync_entries(),
            false => Ok(Stored::Nothing),
        }
    }

    /// Makes the appended entries durable.
    pub(super) fn sync_entries(&mut self) -> Result<Stored, errors::Error> {
        let begun = Instant::now();
        match self.parts.folder.sync() {
            Ok(()) => {}
            Err(error) if error.is_full() => return Ok(Stored::Full),
            Err(error) => return Err(self.log_failure(&error)),
        }
        let elapsed = begun.elapsed();
        self.turns.record_sync(elapsed);
        self.parts.metrics.record_latency("group_sync", elapsed);
        let usage = self.parts.folder.usage();
        self.parts.metrics.record_level("log_bytes", usage.used);
        self.parts.metrics.record_level("log_free_bytes", usage.free_for_new_work());
        Ok(Stored::Entries)
    }

    /// Starts to save a snapshot of the own state machine on a thread of its own. While a leader
    /// writes tens of megabytes, its heartbeats and commits must go on.
    fn begin_snapshot(&mut self, snapshot: replica::Snapshot) -> Result<(), errors::Error> {
        let writer = self.parts.folder.begin_snapshot(snapshot);
        let writer = writer.map_err(|e| self.log_failure(&e))?;
        let thread = std::thread::Builder::new().name(format!("snapshot-{}", self.parts.group));
        let failed = |e: std::io::Error| errors::Error::io("save snapshot", "thread", e);
        self.saving = Some(thread.spawn(|| writer.write()).map_err(failed)?);
        Ok(())
    }

    /// Replaces the log by the saved snapshot once it is written. If the disk is full, keeps the
    /// log instead.
    pub(super) fn finish_snapshot(&mut self) -> Result<(), errors::Error> {
        let Some(saving) = self.saving.take_if(|s| s.is_finished()) else { return Ok(()) };
        let Ok(written) = saving.join() else {
            return Err(errors::Error::io("save snapshot", "thread", "the thread panicked"));
        };
        match written.and_then(|written| self.parts.folder.finish_snapshot(written)) {
            Err(storage::Error::Full { .. }) => {
                event!(self.parts.log, events::DISK_FULL; "group" => self.parts.group,
                    "step" => "store snapshot");
                self.next_snapshot = Some(self.now() + SNAPSHOT_RETRY_DELAY);
                Ok(())
            }
            Ok(()) => Ok(()),
            Err(error) => Err(self.log_failure(&error)),
        }
    }

    /// Logs a storage error that ends the thread, and converts it.
    pub(super) fn log_failure(&self, error: &storage::Error) -> errors::Error {
        event!(self.parts.log, events::STORAGE_FAILED; "error" => %error);
        errors::Error::io("write data folder", &*self.parts.host, error)
    }

    /// Installs a snapshot of the leader, and repeats this while the disk is full: the replica has
    /// dropped its log and can do nothing before. Any other error ends the thread.
    pub(super) fn retry_while_full(
        &mut self,
        mut run: impl FnMut(&mut storage::Folder) -> Result<(), storage::Error>,
    ) -> Result<(), errors::Error> {
        let mut logged = false;
        loop {
            match run(&mut self.parts.folder) {
                Ok(()) => return Ok(()),
                Err(storage::Error::Full { .. }) => {
                    if !logged {
                        event!(self.parts.log, events::DISK_FULL; "group" => self.parts.group,
                            "step" => "install snapshot");
                    }
                    logged = true;
                    self.refuse_queued_calls();
                    std::thread::sleep(SERVICE_TICK);
                }
                Err(error) => return Err(self.log_failure(&error)),
            }
        }
    }

    /// Refuses queued requests while the disk is full. Drops all other calls.
    pub(super) fn refuse_queued_calls(&mut self) {
        while let Ok(call) = self.calls.try_recv() {
            match call {
                Call::Propose { done, .. }
                | Call::Query { done, .. }
                | Call::Confirm { done }
                | Call::Serve { done, .. } => service::refuse(done, wire::Reason::DiskFull),
                _ => {}
            }
        }
    }

    pub(super) fn restore_snapshot(
        &mut self,
        snapshot: &replica::Snapshot,
    ) -> Result<(), errors::Error> {
        self.parts
            .service
            .state_machine()
            .restore(&snapshot.data)
            .map_err(|e| errors::Error::protocol("restore snapshot", "leader", e))?;
        event!(self.parts.log, events::SNAPSHOT_INSTALLED; "index" => snapshot.index);
        self.applied = snapshot.index;
        self.snapshot_index = snapshot.index;
        self.recent_commands.clear();
        // Ends every watch. The watchers resume from their own positions.
        self.watchers.clear();
        let now = self.now();
        self.parts.service.entries_applied(now);
        Ok(())
    }

    pub(super) fn snapshot_if_due(&mut self) -> Result<(), errors::Error> {
        if self.saving.is_some() {
            return Ok(());
        }
        let now = self.now();
        if self.next_snapshot.take_if(|at| now >= *at).is_some()
            && let Some(snapshot) = self.replica.snapshot().cloned()
        {
            return self.begin_snapshot(snapshot);
        }
        let new_entries = self.applied - self.snapshot_index;
        // A snapshot frees old segments before the disk is full. Few entries may be many bytes.
        let due = new_entries >= self.parts.snapshot_entries
            || new_entries > 0 && self.parts.folder.usage().is_snapshot_due()
            || new_entries >= EARLY_SNAPSHOT_ENTRIES && !self.parts.folder.has_free_space();
        if !due {
            return Ok(());
        }
        let data = self.parts.service.state_machine().snapshot().into();
        self.snapshot_index = self.applied;
        event!(self.parts.log, events::SNAPSHOT_TAKEN; "group" => self.parts.group,
            "index" => self.applied, "log_bytes" => self.parts.folder.usage().used);
        self.step(replica::Input::Snapshot { index: self.applied, data });
        self.flush()
    }
}

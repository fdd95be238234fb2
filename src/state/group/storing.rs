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
use std::time::Instant;

/// Entries applied since the last snapshot after which one is taken if space is short.
const EARLY_SNAPSHOT_ENTRIES: u64 = 1_000;

impl Group {
    /// Writes and syncs the outputs that must be durable. Returns whether entries were synced.
    pub(super) fn persist(&mut self, outputs: &[replica::Output]) -> Result<bool, errors::Error> {
        let mut written = false;
        for output in outputs {
            match output {
                replica::Output::Persist { hard_state, entries } => {
                    self.retry_while_full(|folder| folder.append(hard_state.as_ref(), entries))?;
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
        if written {
            let begun = Instant::now();
            self.retry_while_full(|folder| folder.sync())?;
            let elapsed = begun.elapsed();
            self.turns.record_sync(elapsed);
            self.parts.metrics.record_latency("group_sync", elapsed);
        }
        Ok(written)
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
                event!(self.parts.log, events::DISK_FULL; "step" => "store snapshot");
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

    /// Runs a storage operation and repeats it while the disk is full, since the replica's state
    /// and the folder must not diverge. Any other error ends the thread.
    pub(super) fn retry_while_full(
        &mut self,
        mut run: impl FnMut(&mut storage::Folder) -> Result<(), storage::Error>,
    ) -> Result<(), errors::Error> {
        loop {
            match run(&mut self.parts.folder) {
                Ok(()) => {
                    self.disk_full = false;
                    return Ok(());
                }
                Err(storage::Error::Full { .. }) => {
                    if !self.disk_full {
                        event!(self.parts.log, events::DISK_FULL);
                    }
                    self.disk_full = true;
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
        let due = self.applied >= self.snapshot_index + self.parts.snapshot_entries;
        // A snapshot frees old segments before the disk is full.
        let early = self.applied >= self.snapshot_index + EARLY_SNAPSHOT_ENTRIES
            && !self.parts.folder.has_free_space();
        if !due && !early || self.saving.is_some() {
            return Ok(());
        }
        let data = self.parts.service.state_machine().snapshot().into();
        self.snapshot_index = self.applied;
        event!(self.parts.log, events::SNAPSHOT_TAKEN; "group" => self.parts.group,
            "index" => self.applied);
        self.step(replica::Input::Snapshot { index: self.applied, data });
        self.flush()
    }
}

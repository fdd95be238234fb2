//! Watchers that follow the log of group 0.

use crate::state::group::Group;
use crate::wire;
use bytes::Bytes;
use tokio::sync::mpsc as channel;

/// Committed commands that are kept for watchers that resume.
const MAX_RECENT_COMMANDS: usize = 4_096;
/// Updates that may wait for a slow watcher before its watch ends.
pub const WATCH_BUFFER: usize = 1_024;

impl Group {
    pub(super) fn watch(&mut self, after: u64, sender: channel::Sender<wire::Reply>) {
        let oldest = self.recent_commands.front().map_or(self.applied + 1, |(index, _)| *index);
        let mut backlog = Vec::new();
        if after > self.applied {
            // This replica is behind the watcher. It goes on from `after` once it has caught up,
            // which another replica may have done already.
            return;
        }
        if after + 1 < oldest {
            let data = self.parts.service.state_machine().snapshot().into();
            backlog.push(wire::Reply::Snapshot { index: self.applied, data });
        } else {
            let missed = self.recent_commands.iter().filter(|(index, _)| *index > after);
            backlog.extend(missed.map(|(index, command)| update(*index, command)));
        }
        if backlog.into_iter().all(|frame| sender.try_send(frame).is_ok()) {
            self.watchers.push(sender);
        }
    }

    /// Sends an applied entry to the watchers and keeps it for those that resume.
    pub(super) fn publish_applied(&mut self, index: u64, command: Bytes) {
        if self.parts.group != 0 {
            return;
        }
        self.watchers.retain(|w| w.try_send(update(index, &command)).is_ok());
        self.recent_commands.push_back((index, command));
        if self.recent_commands.len() > MAX_RECENT_COMMANDS {
            self.recent_commands.pop_front();
        }
    }
}

fn update(index: u64, command: &Bytes) -> wire::Reply {
    wire::Reply::Update { index, command: command.clone() }
}

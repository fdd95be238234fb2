//! Sends the applied commands of group 0 to watchers.

use crate::state::group::Group;
use crate::wire;
use bytes::Bytes;
use tokio::sync::mpsc as channel;

/// Limit of the applied commands kept for watchers that resume. A watcher that is further behind
/// gets a snapshot.
const MAX_RECENT_COMMANDS: usize = 4_096;
/// Limit of the updates queued for a slow watcher. Beyond it, the watch ends.
pub const WATCH_BUFFER: usize = 1_024;

impl Group {
    pub(super) fn watch(&mut self, after: u64, sender: channel::Sender<wire::Reply>) {
        let oldest = self.recent_commands.front().map_or(self.applied + 1, |(index, _)| *index);
        let mut backlog = Vec::new();
        if after > self.applied {
            // This replica is behind the watcher. The watch ends, and the watcher resumes from
            // `after` at a replica that has caught up, which another one may have done already.
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

    /// Sends an applied command to the watchers and keeps it for those that resume.
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

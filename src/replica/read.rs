//! Linearizable reads, which a quorum confirms without relying on clocks.
//!
//! A read is confirmed by a round of heartbeats that starts after the read arrived: answers from a
//! quorum prove that no newer leader had committed anything before the round. Reads that arrive
//! during a round wait for the next one, so one round serves many reads.

use crate::replica::Output;
use crate::replica::Refusal;
use crate::replica::Replica;
use crate::replica::State;
use crate::replica::replicate;
use std::time::Duration;

/// Reads that wait for confirmation at a leader.
#[derive(Default)]
pub(super) struct ReadQueue {
    /// Number of the last round that was started.
    round: u64,
    running: Option<ConfirmationRound>,
    waiting: Vec<ReadRequest>,
}

struct ReadRequest {
    token: u64,
    arrived: Duration,
}

struct ConfirmationRound {
    /// Commit index when the round started.
    read_index: u64,
    reads: Vec<ReadRequest>,
    /// Ids of the members that answered, sorted.
    answered: Vec<u64>,
}

impl ReadQueue {
    pub(super) fn round(&self) -> u64 {
        self.round
    }

    fn into_requests(self) -> impl Iterator<Item = ReadRequest> {
        let running = self.running.into_iter().flat_map(|r| r.reads);
        running.chain(self.waiting)
    }
}

impl Replica {
    pub(super) fn read(&mut self, token: u64) {
        let arrived = self.now;
        let State::Leader(leader) = &mut self.state else {
            return self.refuse(token, Refusal::NotLeader { leader: self.leader });
        };
        leader.reads.waiting.push(ReadRequest { token, arrived });
        self.start_round();
    }

    /// Starts a round for the waiting reads unless one is running.
    pub(super) fn start_round(&mut self) {
        let State::Leader(leader) = &mut self.state else { return };
        // Before its first own entry is committed, a leader does not know what is committed.
        let ready = leader.first_index <= self.commit_index;
        let reads = &mut leader.reads;
        if !ready || reads.running.is_some() || reads.waiting.is_empty() {
            return;
        }
        reads.round += 1;
        let waiting = std::mem::take(&mut reads.waiting);
        reads.running = Some(ConfirmationRound {
            read_index: self.commit_index,
            reads: waiting,
            answered: vec![self.config.id],
        });
        self.send_heartbeats();
        self.try_finish_round();
    }

    pub(super) fn handle_heartbeat_reply(&mut self, from: u64, round: u64, matched: u64) {
        self.record_contact(from);
        if let Some(progress) = self.progress(from) {
            progress.record_heartbeat_reply(matched);
        }
        // An acknowledgement that was lost is made up for without sending the entries again.
        self.record_matched(from, matched);
        self.try_commit();
        if let State::Leader(leader) = &mut self.state
            && leader.reads.round == round
            && let Some(running) = &mut leader.reads.running
            && let Err(at) = running.answered.binary_search(&from)
        {
            running.answered.insert(at, from);
            self.try_finish_round();
        }
        self.replicate_to(from);
    }

    fn try_finish_round(&mut self) {
        let State::Leader(leader) = &mut self.state else { return };
        let Some(running) = &leader.reads.running else { return };
        let membership = self.log.membership();
        let answered = membership.voters().filter(|id| running.answered.contains(id)).count();
        if answered < membership.quorum() {
            return;
        }
        if let Some(ConfirmationRound { read_index, reads, .. }) = leader.reads.running.take() {
            let readable =
                reads.into_iter().map(|r| Output::Readable { token: r.token, index: read_index });
            self.outbox.reads.extend(readable);
        }
        self.start_round();
    }

    /// Refuses reads that no quorum confirmed within an election timeout.
    pub(super) fn expire_reads(&mut self) {
        let (now, limit) = (self.now, self.config.election_timeout);
        let State::Leader(leader) = &mut self.state else { return };
        let mut late = Vec::new();
        let mut keep = |read: &mut ReadRequest| {
            let fresh = now < read.arrived + limit;
            if !fresh {
                late.push(read.token);
            }
            fresh
        };
        leader.reads.waiting.retain_mut(&mut keep);
        if let Some(running) = &mut leader.reads.running {
            running.reads.retain_mut(&mut keep);
        }
        for token in late {
            self.refuse(token, Refusal::Unconfirmed);
        }
    }

    /// Refuses every read of a leader that stepped down.
    pub(super) fn refuse_reads(&mut self, leader: replicate::Leader) {
        for read in leader.reads.into_requests() {
            self.refuse(read.token, Refusal::LostLeadership);
        }
    }
}

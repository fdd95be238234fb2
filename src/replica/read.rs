//! Reads that a quorum confirms, without reliance on clocks.
//!
//! A read needs a confirmation round that starts after it arrived: answers of a quorum prove that
//! no newer leader had committed anything before the round. Reads that arrive during a round wait
//! for the next one, so one round serves many reads.

use crate::replica::Output;
use crate::replica::Refusal;
use crate::replica::Replica;
use crate::replica::State;
use crate::replica::replicate;
use std::time::Duration;

/// Reads at a leader.
#[derive(Default)]
pub(super) struct Reads {
    /// Number of the last round that was started.
    round: u64,
    running: Option<Round>,
    waiting: Vec<Waiting>,
}

struct Waiting {
    token: u64,
    arrived: Duration,
}

struct Round {
    /// Commit index at the start.
    index: u64,
    reads: Vec<Waiting>,
    /// Members that answered, sorted.
    answered: Vec<u64>,
}

impl Reads {
    pub(super) fn round(&self) -> u64 {
        self.round
    }

    fn take(self) -> impl Iterator<Item = Waiting> {
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
        leader.reads.waiting.push(Waiting { token, arrived });
        self.start_round();
    }

    /// Starts a round for the waiting reads unless one is running.
    pub(super) fn start_round(&mut self) {
        let State::Leader(leader) = &mut self.state else { return };
        // Before its first own entry is committed, a leader does not know what is committed.
        let ready = leader.first <= self.commit;
        let reads = &mut leader.reads;
        if !ready || reads.running.is_some() || reads.waiting.is_empty() {
            return;
        }
        reads.round += 1;
        let waiting = std::mem::take(&mut reads.waiting);
        reads.running =
            Some(Round { index: self.commit, reads: waiting, answered: vec![self.config.id] });
        self.send_beats();
        self.check_round();
    }

    pub(super) fn beat_reply(&mut self, from: u64, round: u64) {
        self.hear(from);
        if let State::Leader(leader) = &mut self.state
            && leader.reads.round == round
            && let Some(running) = &mut leader.reads.running
            && let Err(at) = running.answered.binary_search(&from)
        {
            running.answered.insert(at, from);
            self.check_round();
        }
        self.replicate_to(from);
    }

    fn check_round(&mut self) {
        let State::Leader(leader) = &mut self.state else { return };
        let Some(running) = &leader.reads.running else { return };
        let members = self.log.members();
        let answered = members.voters().filter(|id| running.answered.contains(id)).count();
        if answered < members.quorum() {
            return;
        }
        if let Some(Round { index, reads, .. }) = leader.reads.running.take() {
            let readable = reads.into_iter().map(|r| Output::Readable { token: r.token, index });
            self.outbox.reads.extend(readable);
        }
        self.start_round();
    }

    /// Refuses reads that no quorum confirmed within an election timeout.
    pub(super) fn expire_reads(&mut self) {
        let (now, limit) = (self.now, self.config.election);
        let State::Leader(leader) = &mut self.state else { return };
        let mut late = Vec::new();
        let mut keep = |read: &mut Waiting| {
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
        for read in leader.reads.take() {
            self.refuse(read.token, Refusal::LostLeadership);
        }
    }
}

//! Recent changes and operations, and the replies to earlier commands by id.

use crate::catalog;
use crate::catalog::command::Author;
use crate::catalog::command::Reply;
use crate::catalog::documents::Document;
use crate::catalog::documents::Name;
use crate::catalog::orders::Order;
use crate::catalog::pool::StringPool;
use crate::sorted::SortedMap;
use serde::Deserialize;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;

/// Number of configuration changes that are kept with their content.
pub const MAX_CHANGE_RECORDS: usize = 1_000;

/// Number of drains, resumes and orders that are kept.
pub const MAX_OPERATION_RECORDS: usize = 1_000;

/// Author and effect of a change or operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Author of the command; its revision is the log index of the record.
    pub by: Author,
    /// Effect of the command.
    pub action: Action,
}

/// Effect of a change or operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Documents were changed.
    Changed(Vec<Changed>),
    /// An endpoint was drained.
    Drained {
        /// Name of the endpoint.
        endpoint: Arc<str>,
    },
    /// The drain of an endpoint was ended.
    Resumed {
        /// Name of the endpoint.
        endpoint: Arc<str>,
    },
    /// An order was given to an endpoint.
    Ordered {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// The order.
        order: Order,
    },
}

/// Change of one document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changed {
    /// Name of the document.
    pub name: Name,
    /// Revision of the replaced or withdrawn document; `None` if the document is new.
    pub before: Option<u64>,
    /// New document; `None` if it was withdrawn.
    pub document: Option<Arc<Document>>,
}

/// Most recent changes and operations, oldest first.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct History {
    changes: VecDeque<Record>,
    operations: VecDeque<Record>,
}

impl History {
    /// Records a change that was applied.
    pub fn record_change(&mut self, by: &Author, changed: Vec<Changed>) {
        let action = Action::Changed(changed);
        push_bounded(&mut self.changes, Record { by: by.clone(), action }, MAX_CHANGE_RECORDS);
    }

    /// Interns repeated strings after a restore.
    pub fn rebuild(&mut self, pool: &mut StringPool) {
        for record in self.changes.iter_mut().chain(&mut self.operations) {
            pool.intern(&mut record.by.operator);
            let Action::Changed(changed) = &mut record.action else { continue };
            for change in changed {
                let Some(document) = change.document.as_mut().and_then(Arc::get_mut) else {
                    continue;
                };
                document.intern_strings(pool);
                change.name = document.name();
            }
        }
    }

    /// Records an operation that was accepted.
    pub fn record_operation(&mut self, by: &Author, action: Action) {
        push_bounded(
            &mut self.operations,
            Record { by: by.clone(), action },
            MAX_OPERATION_RECORDS,
        );
    }

    /// One page of the changes before a revision, newest first.
    pub fn changes(&self, before: Option<u64>, limit: u32) -> Vec<Record> {
        page(&self.changes, before, limit)
    }

    /// One page of the operations before a log index, newest first.
    pub fn operations(&self, before: Option<u64>, limit: u32) -> Vec<Record> {
        page(&self.operations, before, limit)
    }

    /// Change or operation at a log index, if it is still kept.
    pub fn record(&self, revision: u64) -> Option<&Record> {
        find_record(&self.changes, revision).or_else(|| find_record(&self.operations, revision))
    }

    /// Document that the change at a revision stored under a name, if the change is still kept.
    pub fn document(&self, revision: u64, name: &Name) -> Option<&Arc<Document>> {
        let Action::Changed(changed) = &find_record(&self.changes, revision)?.action else {
            return None;
        };
        changed.iter().find(|c| c.name == *name)?.document.as_ref()
    }

    /// Author of the first change after revision `expected`, or of the oldest change that is kept
    /// if the first one no longer is. `None` if `current` is not later than `expected`.
    pub fn first_change_after(&self, expected: u64, current: u64) -> Option<Author> {
        if expected >= current {
            return None;
        }
        let at = self.changes.partition_point(|r| r.by.revision <= expected);
        self.changes.get(at).map(|r| r.by.clone())
    }

    /// Author of the last withdrawal of a document, if it is still kept.
    pub fn last_withdrawal(&self, name: &Name) -> Option<Author> {
        let withdraws = |record: &&Record| match &record.action {
            Action::Changed(changed) => {
                changed.iter().any(|c| c.name == *name && c.document.is_none())
            }
            _ => false,
        };
        self.changes.iter().rev().find(withdraws).map(|r| r.by.clone())
    }
}

/// Appends a record and removes the oldest one if there are already `limit`.
fn push_bounded(records: &mut VecDeque<Record>, record: Record, limit: usize) {
    if records.len() == limit {
        records.pop_front();
    }
    records.push_back(record);
}

fn find_record(records: &VecDeque<Record>, revision: u64) -> Option<&Record> {
    let at = records.binary_search_by_key(&revision, |r| r.by.revision).ok()?;
    records.get(at)
}

/// One page of the records before a log index, newest first.
fn page(records: &VecDeque<Record>, before: Option<u64>, limit: u32) -> Vec<Record> {
    let end = match before {
        Some(before) => records.partition_point(|r| r.by.revision < before),
        None => records.len(),
    };
    catalog::page(records.range(..end).rev().cloned(), limit)
}

/// Command whose id was used, with its reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedReply {
    /// Id, operator and log index of the command.
    pub by: Author,
    /// xxh3 hash of the encoded command, to tell a resend from another command with the same id.
    pub digest: u64,
    /// Reply; `None` stands for an acceptance that undoes nothing, to save memory.
    reply: Option<Box<Reply>>,
}

impl RecordedReply {
    /// Reply that the command received.
    pub fn reply(&self) -> Reply {
        match &self.reply {
            Some(reply) => (**reply).clone(),
            None => Reply::Accepted { revision: self.by.revision, undoes: None },
        }
    }
}

/// Replies to the most recent commands of one class, by command id. A resent command gets its
/// first reply again.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplyTable {
    limit: usize,
    /// Replies in order of log index, oldest first.
    replies: VecDeque<RecordedReply>,
    /// Log index of each command id.
    #[serde(skip)]
    ids: SortedMap<Arc<str>, u64>,
}

impl ReplyTable {
    /// Returns an empty table for `limit` commands.
    pub fn new(limit: usize) -> ReplyTable {
        ReplyTable { limit, replies: VecDeque::new(), ids: SortedMap::new() }
    }

    /// Returns the recorded reply to the command with this id.
    pub fn get(&self, id: &str) -> Option<&RecordedReply> {
        self.get_by_index(*self.ids.get(id)?)
    }

    /// Returns the recorded reply to the command at this log index.
    pub fn get_by_index(&self, index: u64) -> Option<&RecordedReply> {
        let at = self.replies.binary_search_by_key(&index, |r| r.by.revision).ok()?;
        self.replies.get(at)
    }

    /// Records the reply to a command whose id is new. Removes the oldest entry if the table is
    /// full.
    pub fn record(&mut self, by: &Author, digest: u64, reply: &Reply) {
        if self.replies.len() == self.limit
            && let Some(oldest) = self.replies.pop_front()
        {
            self.ids.remove(&oldest.by.id);
        }
        let accepted = Reply::Accepted { revision: by.revision, undoes: None };
        let reply = (*reply != accepted).then(|| Box::new(reply.clone()));
        self.ids.insert(by.id.clone(), by.revision);
        self.replies.push_back(RecordedReply { by: by.clone(), digest, reply });
    }

    /// Rebuilds the index of ids, which snapshots do not contain, and interns repeated strings.
    pub fn rebuild(&mut self, pool: &mut StringPool) {
        for recorded in &mut self.replies {
            pool.intern(&mut recorded.by.operator);
        }
        let mut ids: Vec<(Arc<str>, u64)> =
            self.replies.iter().map(|r| (r.by.id.clone(), r.by.revision)).collect();
        ids.sort_unstable();
        self.ids = ids.into_iter().collect();
    }
}

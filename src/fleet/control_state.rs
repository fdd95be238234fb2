//! Configuration document and placement of the job group as a replicated state machine, free of
//! I/O.
//!
//! The document is kept as the operator sent it, so that it is read back byte for byte.

use crate::fleet::ledger;
use crate::replica;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Configuration document under the operator's version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version; 0 before the first document.
    pub version: u64,
    /// Text of the operator.
    pub text: Bytes,
}

/// Command of the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Put a valid document in force, unless the version in force is as high.
    Put(Document),
    /// Place the job group on hosts, unless it is placed already.
    Place(Vec<Arc<str>>),
}

/// Configuration and placement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// Document in force.
    pub document: Document,
    /// Link addresses of the first members of the job group; empty before it is placed.
    pub stores: Vec<Arc<str>>,
}

impl ControlState {
    /// Carries out a command.
    pub fn run(&mut self, command: Command) {
        match command {
            Command::Put(document) => {
                if document.version > self.document.version {
                    self.document = document;
                }
            }
            Command::Place(stores) => {
                if self.stores.is_empty() {
                    self.stores = stores;
                }
            }
        }
    }
}

impl replica::StateMachine for ControlState {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        let reply = match postcard::from_bytes(command) {
            Ok(command) => {
                self.run(command);
                ledger::Reply::Done
            }
            Err(_) => ledger::Reply::Invalid,
        };
        ledger::encode(&reply)
    }

    fn snapshot(&self) -> Vec<u8> {
        ledger::encode(self)
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), replica::RestoreError> {
        *self = postcard::from_bytes(data)
            .map_err(|e| replica::RestoreError { cause: e.to_string().into() })?;
        Ok(())
    }
}

//! Replicated state machine of the configuration document and the placement of the job group; free
//! of I/O.
//!
//! The document is stored as the operator sent it, so that reads return it byte for byte.

use crate::fleet::ledger;
use crate::replica;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Configuration document with the version that the operator gave it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version; 0 before the first document.
    pub version: u64,
    /// The document as the operator sent it.
    pub text: Bytes,
}

/// Command of the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a validated document in force if its version is higher than the one in force.
    Put(Document),
    /// Places the job group on the hosts with these link addresses, unless it is placed already.
    Place(Vec<Arc<str>>),
}

/// State of the control group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// Configuration document in force.
    pub document: Document,
    /// Link addresses of the first members of the job group; empty before it is placed.
    pub stores: Vec<Arc<str>>,
}

impl ControlState {
    /// Executes a command.
    pub fn execute(&mut self, command: Command) {
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
                self.execute(command);
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

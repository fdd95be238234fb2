//! State machines of the groups behind the interface of the replica.

use crate::catalog;
use crate::jobs;
use crate::replica;

impl replica::Machine for catalog::Catalog {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        catalog::Catalog::apply(self, index, command)
    }

    fn snapshot(&self) -> Vec<u8> {
        catalog::Catalog::snapshot(self)
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), replica::RestoreError> {
        catalog::Catalog::restore(self, data)
            .map_err(|e| replica::RestoreError { cause: e.to_string().into() })
    }
}

impl replica::Machine for jobs::Table {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        jobs::Table::apply(self, index, command)
    }

    fn snapshot(&self) -> Vec<u8> {
        jobs::Table::snapshot(self)
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), replica::RestoreError> {
        jobs::Table::restore(self, data)
            .map_err(|e| replica::RestoreError { cause: e.to_string().into() })
    }
}

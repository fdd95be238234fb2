//! Job groups: the replicated state of jobs, items, results and claims, and the granting of items
//! to agents.
//!
//! [`Table`] is the replicated state and is the same on every replica of a group.
//! [`leases::Leases`] exists only in the memory of the group's leader and decides which agent runs
//! which item.

mod change;
pub mod claims;
pub mod fairness;
pub mod id;
pub mod items;
pub mod leases;
pub mod message;
mod pages;
pub mod retention;
mod state;
pub mod table;

pub use id::Id;
pub use message::Answer;
pub use message::Command;
pub use message::Query;
pub use message::Refusal;
pub use message::Reply;
pub use message::StampedCommand;
pub use table::Table;

/// Encodes a command, query or stored value.
pub fn encode<T: serde::Serialize + ?Sized>(value: &T) -> Vec<u8> {
    // Types of this module have no value that postcard cannot encode.
    postcard::to_stdvec(value).expect("postcard encodes every value of this module")
}

/// Decodes a value that [`encode`] encoded. Fails if `data` is not an encoded `T`.
pub fn decode<T: serde::de::DeserializeOwned>(data: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(data)
}

/// Number of the group, in `1..=groups`, that owns the job or claim of `key` in `workspace`.
///
/// `groups` of 0 is treated as 1.
pub fn group_of(workspace: &str, key: &str, groups: u16) -> u16 {
    Id::of(workspace, key).group(groups)
}

/// Number of the group that owns the job named `job`, or `None` if `job` is not a job name.
///
/// The name contains the hash that [`group_of`] uses, so both agree.
pub fn group_of_job(job: &str, groups: u16) -> Option<u16> {
    Id::parse(job).map(|id| id.group(groups))
}

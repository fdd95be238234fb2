//! State machine of the job groups: jobs, items, results and claims; granting of items.
//!
//! [`Table`] is the replicated state, identical on every replica of a group. [`leases::Leases`]
//! lives only in the memory of the group's leader and decides which agent runs which item.

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
    postcard::to_stdvec(value).expect("value encodes")
}

/// Decodes what [`encode`] made.
pub fn decode<T: serde::de::DeserializeOwned>(data: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(data)
}

/// Group that owns the jobs and claims of `key` in `workspace`, in `1..=groups`.
///
/// `groups` of 0 is treated as 1.
pub fn group_of(workspace: &str, key: &str, groups: u16) -> u16 {
    Id::of(workspace, key).group(groups)
}

/// Group that owns the job named `job`, or `None` if `job` is not the name of a job.
///
/// The name contains the hash that [`group_of`] uses, so both agree.
pub fn group_of_job(job: &str, groups: u16) -> Option<u16> {
    Id::parse(job).map(|id| id.group(groups))
}

//! Messages about credit, and the bounds within which it is granted. Free of I/O.

use crate::fleet::limits;
use crate::fleet::settings;
use crate::fleet::workspaces;
use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;
use xxhash_rust::xxh3;

/// Silence after which an entry counts as out of contact and uses its fixed share.
pub const LEASE: Duration = Duration::from_millis(1_000);
/// Time for which credit may be used, from the moment at which the entry asked for it.
pub const LIFETIME: Duration = Duration::from_millis(1_000);

/// Short form of the name of a workspace in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key([u8; 8]);

impl Key {
    /// Key of the workspace with the given name.
    pub fn new(workspace: &str) -> Key {
        Key(xxh3::xxh3_64(workspace.as_bytes()).to_le_bytes())
    }
}

/// Sizes that follow from a quota and the promises about quotas.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bound {
    /// Requests a second; greater than 0.
    pub rate: f64,
    /// Size of the bucket, in requests.
    pub bucket: f64,
    /// Most credit that is granted and not used, in requests.
    pub unused: f64,
}

impl Bound {
    /// Splits the tolerance of a quota: one half may be granted and not used, the other half makes
    /// the bucket larger than the burst. In a window, at most the bucket, the unused credit and what
    /// the rate brings are sent, which is the bound.
    ///
    /// For [`LIFETIME`] after a change of owner, credit of the former one may be unused besides that of
    /// the new one, which has granted no more than the rate has brought since. If that is more than the
    /// bucket, only a quarter may be unused, so that both together stay within one half.
    pub fn new(quota: &workspaces::Quota, terms: &settings::Workspaces) -> Bound {
        let tolerance = terms.over * (quota.rate * terms.window + quota.burst) + terms.slack;
        // Without any tolerance no request could be granted.
        let unused = (tolerance / 2.0).max(1.0);
        let bucket = (quota.burst + tolerance - unused).max(1.0);
        let is_steep = quota.rate * LIFETIME.as_secs_f64() > bucket;
        let unused = if is_steep { (unused / 2.0).max(1.0) } else { unused };
        Bound { rate: quota.rate, bucket, unused }
    }
}

/// Most requests of a workspace that may be sent in one window.
pub fn window_limit(quota: &workspaces::Quota, terms: &settings::Workspaces) -> f64 {
    (quota.rate * terms.window + quota.burst) * (1.0 + terms.over) + terms.slack
}

/// What an entry reports of one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportLine {
    /// The workspace.
    pub key: Key,
    /// Requests that wait for credit.
    pub wanted: u32,
    /// Credit asked for in advance.
    pub ahead: u32,
    /// Credit that the entry holds and has not used.
    pub held: u32,
    /// Credit that the entry gives back with this report.
    pub returned: u32,
}

/// Report of an entry to the owner. Each is answered at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Start of the sending process in milliseconds of Unix time.
    pub start_time: u64,
    /// Time of the report at the entry in microseconds, which also numbers it.
    pub stamp: u64,
    /// Leadership that the entry has heard last; `None` for none.
    pub term: Option<limits::Term>,
    /// Stamp of the last message of that leadership.
    pub heard: u64,
    /// Whether the entry leaves its share to that leadership for [`LEASE`] after that message.
    pub bound: bool,
    /// Workspaces of which something is new.
    pub lines: Vec<ReportLine>,
}

/// Why no more credit was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Every waiting request was granted credit.
    Met,
    /// The quota is used up.
    UsedUp {
        /// Milliseconds until credit is available.
        wait_ms: u32,
        /// Entries that ask for it.
        sharing: u32,
    },
    /// No credit is left, since the bucket of a new owner began empty. The quota may not be used up.
    Filling {
        /// Milliseconds until credit is available.
        wait_ms: u32,
    },
    /// Entries hold as much credit as may be unused at a time.
    Unused,
    /// The owner knows no quota of the workspace.
    Unknown,
}

/// Answer of the owner about one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantLine {
    /// The workspace.
    pub key: Key,
    /// Credit that is granted.
    pub count: u32,
    /// Why it is not more.
    pub verdict: Verdict,
}

/// Answer of the owner to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// Leadership of the owner.
    pub term: limits::Term,
    /// Start time in the report.
    pub start_time: u64,
    /// Time of the answer at the owner in microseconds, which also numbers the answers to an entry.
    pub stamp: u64,
    /// Stamp of the report. The lifetime of the credit begins with it.
    pub seen: u64,
    /// Whether the owner held the lease of the entry when the report arrived. No other owner can have
    /// it then, also if a former process of the entry has lent it.
    pub held: bool,
    /// Workspaces that asked for credit.
    pub lines: Vec<GrantLine>,
}

/// Time in microseconds.
pub(super) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

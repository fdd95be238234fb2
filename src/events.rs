//! Numbered log events. `docs/events.md` is their catalogue and is generated from this file.
//!
//! Numbers are stable: an event that is no longer logged leaves its number unused. Ranges:
//! 1xx process and supervisor, 2xx links, 3xx replicas and storage, 4xx configuration,
//! 5xx jobs, 6xx agents and endpoints, 7xx entries.

use slog::Level;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// Kind of log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Stable number, logged under the key `event`.
    pub number: u16,
    /// Severity.
    pub level: Level,
    /// Message of the log line.
    pub text: &'static str,
}

macro_rules! catalogue {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $level:ident, $text:literal;)+) => {
        $($(#[doc = $doc])+ pub const $name: Event =
            Event { number: $number, level: Level::$level, text: $text };)+

        /// Every event with the explanation of its catalogue entry, in order of number.
        pub const ALL: &[(Event, &str)] = &[$(($name, concat!($($doc),+)),)+];
    };
}

catalogue! {
    /// The process has started with the named roles.
    PROCESS_STARTED = 100, Info, "process started";
    /// A stop was requested; running requests are finished first.
    PROCESS_STOPPING = 101, Info, "graceful stop started";
    /// The process has finished its requests and ends.
    PROCESS_STOPPED = 102, Info, "process stopped";
    /// A supervised task ended with an error and is restarted.
    TASK_RESTARTED = 103, Warning, "task failed and is restarted";
    /// A supervised task failed too often; the process ends.
    RESTARTS_EXHAUSTED = 104, Critical, "task failed too often";
    /// A listener accepts connections.
    LISTENING = 105, Info, "listening";
    /// The settings file was read again.
    SETTINGS_RELOADED = 106, Info, "settings reloaded";
    /// A connection could not be accepted, for example for lack of descriptors.
    ACCEPT_FAILED = 107, Warning, "accept failed";
    /// The settings file could not be read again; the settings in force are kept.
    SETTINGS_RELOAD_FAILED = 108, Error, "settings not reloaded";
    /// Connections between hosts are neither encrypted nor authenticated.
    LINKS_UNENCRYPTED = 109, Warning, "links between hosts are not encrypted";
    /// An event had more lines in one second than the limit; the lines beyond it were left out.
    LINES_SUPPRESSED = 110, Warning, "log lines left out";
    /// The process ends because one of its tasks failed and is not restarted.
    PROCESS_FAILED = 111, Critical, "process failed";
    /// A connection to a peer was established.
    LINK_UP = 200, Info, "connection established";
    /// A connection was closed or timed out; the next request dials again from a new socket.
    LINK_LOST = 201, Warning, "connection lost";
    /// A peer could not be reached.
    DIAL_FAILED = 202, Warning, "dial failed";
    /// A peer was rejected, for example because of its certificate.
    PEER_REJECTED = 203, Warning, "peer rejected";
    /// A peer sent a frame that does not follow the protocol.
    BAD_FRAME = 204, Warning, "frame rejected";
    /// A connection to another host was established.
    PEER_UP = 205, Info, "host reached";
    /// The connection to another host was lost, or it could not be established.
    PEER_LOST = 206, Warning, "host lost";
    /// A replica changed its role or learned of a new leader.
    ROLE_CHANGED = 300, Info, "replica role changed";
    /// A replica group was formed from hosts without data.
    GROUP_FORMED = 301, Info, "replica group formed";
    /// A change of the members of a replica group was proposed or committed.
    MEMBERS_CHANGED = 302, Info, "replica group members changed";
    /// A snapshot was taken and the log was truncated.
    SNAPSHOT_TAKEN = 303, Info, "snapshot taken";
    /// A snapshot from the leader was installed.
    SNAPSHOT_INSTALLED = 304, Info, "snapshot installed";
    /// The data folder was opened; the log was replayed.
    FOLDER_OPENED = 305, Info, "data folder opened";
    /// The disk is full; new work is refused, accepted work is kept.
    DISK_FULL = 306, Error, "disk is full";
    /// A write or sync failed; the process ends because the state of the file is unknown.
    STORAGE_FAILED = 307, Critical, "storage failed";
    /// A lost replica was replaced; the group has its full redundancy again.
    REPAIR_COMPLETE = 308, Info, "repair complete";
    /// The replica was removed from its group; it starts again with an empty data folder.
    REPLICA_RETIRED = 309, Warning, "replica retired";
    /// A replica group has fewer voters than the permitted losses require, so it survives fewer
    /// losses. Other hosts become voters as soon as they answer.
    TOO_FEW_VOTERS = 310, Warning, "replica group has too few voters";
    /// What the leader of a replica group did since the last such line: turns of its thread, time in
    /// them, calls, syncs, uncommitted bytes, and for each follower the entries that it lacks, the time
    /// from message to answer and the messages sent again.
    REPLICATION_REPORT = 311, Info, "replication report";
    /// The disk has space again; entries that waited are written, and new work is accepted again.
    DISK_FREED = 312, Info, "disk has space again";
    /// A configuration change was committed.
    CHANGE_ACCEPTED = 400, Info, "configuration change accepted";
    /// A configuration change was refused; nothing was changed.
    CHANGE_REFUSED = 401, Info, "configuration change refused";
    /// The configuration could not be confirmed within the freshness limit; new work is refused.
    CONFIG_STALE = 402, Warning, "configuration freshness not confirmed";
    /// The configuration is confirmed to be current again.
    CONFIG_FRESH = 403, Info, "configuration freshness confirmed";
    /// The watch of the configuration was interrupted and is resumed.
    WATCH_LOST = 404, Warning, "configuration watch interrupted";
    /// A configuration came into force at this host.
    CONFIG_IN_FORCE = 405, Info, "configuration in force";
    /// A configuration was refused as invalid; nothing was changed.
    CONFIG_INVALID = 406, Info, "configuration invalid";
    /// The job group was placed on store hosts.
    JOBS_PLACED = 407, Info, "job group placed";
    /// An operator asked to move the replica of a store host to another host.
    HOST_LEAVING = 408, Info, "store host is to be emptied";
    /// A configuration document from a control host could not be parsed.
    CONFIG_UNREADABLE = 409, Error, "configuration not readable";
    /// A request, or all requests with a part in their prompts, are no longer sent, since endpoints
    /// crash when they answer them; or such a cause had a further crash or a trial.
    CAUSE_QUARANTINED = 410, Warning, "cause of crashes quarantined";
    /// A request, or requests with a part in their prompts, are sent again.
    CAUSE_RELEASED = 411, Info, "cause of crashes released";
    /// One request with a quarantined cause is sent, to find out whether endpoints still crash.
    TRIAL_GRANTED = 412, Info, "trial of a quarantined cause granted";
    /// A host reports causes that are suspected or quarantined and that an endpoint has answered.
    CAUSES_ANSWERED = 413, Info, "suspected causes of crashes answered";
    /// A report of crashes or answered causes was not committed; it is repeated.
    CRASHES_UNREPORTED = 414, Warning, "report of crashes not confirmed";
    /// A configuration could not be encoded for another host, or one that a control host sent could
    /// not be decoded; the host asks for it whole.
    CONFIG_UNDECODABLE = 415, Warning, "configuration not decodable";
    /// The first endpoint of a build registers. The build is committed before it gets requests.
    BUILD_ADDED = 416, Info, "build added";
    /// Builds are removed, since they have had no endpoint for long.
    BUILDS_REMOVED = 417, Info, "unused builds removed";
    /// A job was accepted.
    JOB_ACCEPTED = 500, Info, "job accepted";
    /// A job was cancelled.
    JOB_CANCELLED = 501, Info, "job cancelled";
    /// Every item of a job has a result.
    JOB_FINISHED = 502, Info, "job finished";
    /// The lease of items expired because their agent did not renew it.
    LEASE_LOST = 503, Warning, "item lease expired";
    /// An item ended with an error result.
    ITEM_FAILED = 504, Info, "item failed";
    /// An item was sent to an endpoint.
    ITEM_STARTED = 505, Debug, "item started";
    /// The run of an item ended before its output was complete, or without a stated end, which another
    /// run has to confirm. With `starts_over`, it is the second one without an event, and the next run
    /// starts from the beginning. With `successor`, that item takes over its slot.
    ITEM_INTERRUPTED = 506, Info, "item interrupted";
    /// The output of an item is complete.
    ITEM_DONE = 507, Debug, "item done";
    /// An item was given up.
    ITEM_ABANDONED = 508, Info, "item given up";
    /// The client of a job ended it.
    JOB_ENDED = 509, Info, "job ended by its client";
    /// A change of the ledger was not committed, or it is unknown whether it was.
    LEDGER_UNCHANGED = 510, Info, "change of the ledger not confirmed";
    /// An item starts over, since no endpoint of the build that began its output takes it, or its last
    /// event has no id after which a run could go on.
    ITEM_STARTED_OVER = 511, Info, "item starts over";
    /// An item waits, since a part of its prompt is quarantined.
    ITEM_HELD = 512, Info, "item held for a quarantined part";
    /// The items of a job wait, since the job was accepted under a configuration that is newer than the
    /// one here.
    JOB_AWAITS_CONFIG = 513, Warning, "job waits for the configuration that it was accepted under";
    /// A store host begins a run of an item that the leader of the job group has ordered.
    RUN_ACCEPTED = 515, Debug, "run accepted";
    /// A store host has stopped runs of items, as the leader of the job group did not renew its lease.
    RUN_LEASE_ENDED = 516, Info, "lease for runs ended";
    /// A store host that carries out runs of items is silent; the runs are interrupted.
    RUN_HOST_SILENT = 517, Info, "host with runs is silent";
    /// An endpoint announced itself.
    ENDPOINT_JOINED = 600, Info, "endpoint joined";
    /// An endpoint stopped announcing itself or withdrew.
    ENDPOINT_LEFT = 601, Info, "endpoint left";
    /// An agent registered with the state hosts.
    AGENT_REGISTERED = 602, Info, "agent registered";
    /// The lease of an agent expired.
    AGENT_EXPIRED = 603, Warning, "agent lease expired";
    /// A drain took effect at the agent.
    DRAIN_STARTED = 604, Info, "drain in effect";
    /// A drained endpoint serves again.
    DRAIN_ENDED = 605, Info, "drain ended";
    /// A call to an endpoint failed.
    ENDPOINT_FAILED = 606, Warning, "endpoint call failed";
    /// An order was carried out or refused by an endpoint.
    ORDER_DONE = 607, Info, "order finished";
    /// The state hosts refused the record of an agent, for example because of an endpoint's name.
    AGENT_REFUSED = 608, Error, "agent registration refused";
    /// The record of an endpoint changed.
    ENDPOINT_CHANGED = 609, Info, "endpoint changed";
    /// A registration is not a valid description of an endpoint and was refused.
    REGISTRATION_INVALID = 610, Warning, "registration invalid";
    /// An endpoint is avoided for a while after failures.
    ENDPOINT_EJECTED = 611, Warning, "endpoint avoided";
    /// A control host that reaches less than half of the control hosts took a registration or
    /// deregistration without acknowledging it, so that the endpoint repeats it elsewhere.
    REGISTRATION_UNCONFIRMED = 612, Warning, "registration not acknowledged";
    /// An endpoint that runs a request has been silent for long, and another one is asked as well.
    ENDPOINT_SILENT = 613, Info, "endpoint silent, another one asked";
    /// An endpoint said in an answer that it is leaving. This host sends it no new requests until it
    /// starts again.
    ENDPOINT_LEAVING = 614, Info, "endpoint is leaving";
    /// An endpoint is no longer marked as leaving: it started again, has left, or its record expired.
    ENDPOINT_LEAVING_ENDED = 615, Info, "endpoint no longer marked as leaving";
    /// An answer said in an invalid form, or in place of another answer, that its endpoint is leaving;
    /// this was ignored.
    LEAVING_UNUSABLE = 616, Warning, "unusable statement that an endpoint is leaving";
    /// Endpoints that are marked as leaving were left out of the choice for a request.
    ENDPOINTS_LEFT_OUT = 617, Debug, "leaving endpoints left out";
    /// An endpoint at which answers broke off no longer accepts connections.
    ENDPOINT_CRASHED = 618, Warning, "endpoint crashed under requests";
    /// An endpoint states that it takes only so many requests a second from all hosts, or another number
    /// than before.
    LIMIT_STATED = 619, Warning, "endpoint limits its requests";
    /// An endpoint no longer states a limit.
    LIMIT_ENDED = 620, Info, "endpoint no longer limits its requests";
    /// The limit in an answer was not a number, or in place of another answer; this was ignored.
    LIMIT_UNUSABLE = 621, Warning, "unusable limit of an endpoint";
    /// The host that grants requests to limited endpoints has recorded a limit, or its end, that another
    /// host was told.
    LIMIT_RECORDED = 622, Info, "limit of an endpoint recorded";
    /// A registration names a service that the configuration in force does not. It is kept for some
    /// seconds and has no effect until a configuration names the service.
    REGISTRATION_KEPT = 623, Warning, "registration of an unnamed service kept";
    /// An endpoint is slower than the others of its service, or fails a part of its requests, as the
    /// finding says. It gets fewer requests.
    ENDPOINT_DEVIATES = 630, Warning, "endpoint is slow or failing";
    /// A finding about an endpoint has ended.
    ENDPOINT_RECOVERED = 631, Info, "endpoint has recovered";
    /// A request was refused.
    REQUEST_REFUSED = 700, Debug, "request refused";
    /// An attempt failed and the request is retried elsewhere.
    REQUEST_RETRIED = 701, Info, "request retried";
    /// A broken stream was resumed at another agent.
    STREAM_RESUMED = 702, Info, "stream resumed elsewhere";
    /// A caller or operator presented no valid key.
    UNAUTHORIZED = 703, Info, "caller not authorized";
    /// An attempt of another entry was withdrawn before it ran; this entry takes over its claim.
    CLAIM_TAKEN_OVER = 704, Info, "claim taken over";
    /// An attempt was sent to an endpoint.
    ATTEMPT_SENT = 705, Debug, "attempt sent";
    /// A complete answer was delivered.
    ANSWER_DELIVERED = 706, Debug, "answer delivered";
    /// A request ended with a failure.
    REQUEST_FAILED = 707, Info, "request failed";
    /// The caller left before the answer was complete.
    CALLER_LEFT = 708, Info, "caller left";
    /// A caller came back and takes up a stream again, which goes on at the build that began it.
    STREAM_TAKEN_UP = 709, Info, "stream taken up again";
    /// A request was not sent to an endpoint, or not to a further one, since it or a part of its prompt
    /// is quarantined.
    REQUEST_HELD = 710, Info, "request held for a quarantined cause";
    /// The list of a prompt's parts is malformed and is not looked at.
    PROMPT_UNREADABLE = 711, Info, "list of prompt parts not readable";
    /// Every endpoint that can continue a stream is full, and the stream waits for a slot.
    STREAM_WAITING = 712, Info, "stream waits for a slot";
    /// The connection of a caller was closed in the middle of an answer, as no endpoint can go on.
    ANSWER_BROKEN_OFF = 713, Info, "answer broken off";
    /// A request was refused, since the endpoints of its service with limits have got as many requests
    /// as they take, and the others are full.
    REQUEST_LIMITED = 714, Info, "request refused for the limits of endpoints";
    /// Requests were rejected for their keys (status 401): at most one line a second, with the number
    /// of requests since the last line and the id and reason of the latest one. The name of the
    /// workspace is given if the key was revoked while the request waited.
    KEY_REJECTED = 715, Info, "requests rejected for their keys";
    /// A request no longer waits for a slot, since more urgent ones, or those of workspaces with fewer
    /// recent turns, go first, so that it would probably get none in time.
    REQUEST_DISPLACED = 716, Debug, "request displaced from the queue";
    /// A request can no longer be in time and waits for a slot behind all that can.
    REQUEST_LATE = 717, Debug, "request waits behind those that can be in time";
    /// Requests of a workspace were refused since its quota is used up. Logged once in 10 s for each
    /// workspace.
    QUOTA_EXCEEDED = 720, Info, "quota of a workspace used up";
    /// The entry is in contact with the host that grants credit of quotas.
    CREDIT_OWNER_FOUND = 721, Info, "owner of quotas found";
    /// The entry has lost the host that grants credit of quotas. It uses an even share of each quota
    /// until it finds one.
    CREDIT_OWNER_LOST = 722, Warning, "owner of quotas lost";
}

/// Most lines of one event that a process writes in one second. Further lines are counted and left
/// out, so that logging a fault of every request takes no processor time from the requests.
const MAX_LINES_PER_SECOND: u64 = 200;
/// Exclusive upper bound of event numbers.
const NUMBER_LIMIT: usize = 1_000;
/// Low bits of a limit's state that count lines. The bits above hold the second.
const COUNT_BITS: u32 = 32;

/// Current second and number of lines in it, by event number.
static LINE_LIMITS: [AtomicU64; NUMBER_LIMIT] = [const { AtomicU64::new(0) }; NUMBER_LIMIT];

/// Whether a log line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Write it.
    Write,
    /// Write it after a line that reports how many lines of this event were left out.
    WriteAfter(u64),
    /// Leave it out.
    Suppress,
}

/// Counts a line of an event and decides whether it may be written. `second` is the time since any
/// fixed start.
pub fn permit_at(limit: &AtomicU64, second: u64) -> Permit {
    let mask = (1 << COUNT_BITS) - 1;
    let next = |state: u64| match state >> COUNT_BITS == second {
        true => state + u64::from(state & mask < mask),
        false => (second << COUNT_BITS) + 1,
    };
    // The closure always returns a state, so the update cannot fail.
    let update = limit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |s| Some(next(s)));
    let state = update.unwrap_or_else(|state| state);
    let count = state & mask;
    match (state >> COUNT_BITS == second, count.saturating_sub(MAX_LINES_PER_SECOND)) {
        (true, _) if count >= MAX_LINES_PER_SECOND => Permit::Suppress,
        (false, suppressed) if suppressed > 0 => Permit::WriteAfter(suppressed),
        _ => Permit::Write,
    }
}

/// Counts a line of an event now and decides whether it may be written. Lines below the logger's
/// level do not count towards the limit.
pub fn permit(log: &slog::Logger, event: Event) -> Permit {
    use slog::Drain as _;
    if !event.level.is_at_least(Level::Info) && !log.is_debug_enabled() {
        return Permit::Suppress;
    }
    static START: OnceLock<Instant> = OnceLock::new();
    let second = START.get_or_init(Instant::now).elapsed().as_secs() + 1;
    match LINE_LIMITS.get(usize::from(event.number)) {
        Some(limit) => permit_at(limit, second),
        None => Permit::Write,
    }
}

/// Logs an event with its number: `event!(log, events::PROCESS_STARTED; "roles" => roles)`.
///
/// Lines beyond the limit of an event are counted and left out.
#[macro_export]
macro_rules! event {
    ($log:expr, $event:expr $(; $($pairs:tt)*)?) => {{
        let event: $crate::events::Event = $event;
        let permit = $crate::events::permit(&$log, event);
        if let $crate::events::Permit::WriteAfter(count) = permit {
            slog::warn!($log, "{}", $crate::events::LINES_SUPPRESSED.text;
                "event" => $crate::events::LINES_SUPPRESSED.number, "of" => event.number,
                "count" => count);
        }
        if permit != $crate::events::Permit::Suppress { match event.level {
            slog::Level::Critical =>
                slog::crit!($log, "{}", event.text; "event" => event.number, $($($pairs)*)?),
            slog::Level::Error =>
                slog::error!($log, "{}", event.text; "event" => event.number, $($($pairs)*)?),
            slog::Level::Warning =>
                slog::warn!($log, "{}", event.text; "event" => event.number, $($($pairs)*)?),
            slog::Level::Info =>
                slog::info!($log, "{}", event.text; "event" => event.number, $($($pairs)*)?),
            _ => slog::debug!($log, "{}", event.text; "event" => event.number, $($($pairs)*)?),
        } }
    }};
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Text for people.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// Creates the root logger, which writes to standard error.
///
/// The guard flushes pending lines when it is dropped.
pub fn logger(format: Format, level: Level) -> (slog::Logger, slog_async::AsyncGuard) {
    logger_to(std::io::stderr(), format, level)
}

/// Creates a root logger that writes to `out` without ever blocking a caller: lines that do not
/// fit its queue are dropped and counted.
pub fn logger_to(
    out: impl std::io::Write + Send + 'static,
    format: Format,
    level: Level,
) -> (slog::Logger, slog_async::AsyncGuard) {
    use slog::Drain as _;
    let (drain, guard) = match format {
        Format::Human => {
            let plain = slog_term::PlainDecorator::new(out);
            let drain = slog_term::FullFormat::new(plain).build().fuse();
            slog_async::Async::new(drain).chan_size(4096).build_with_guard()
        }
        Format::Json => {
            let drain = slog_json::Json::default(out).fuse();
            slog_async::Async::new(drain).chan_size(4096).build_with_guard()
        }
    };
    let drain = slog::LevelFilter::new(drain, level).fuse();
    (slog::Logger::root(drain, slog::o!()), guard)
}

/// Renders the catalogue page from [`ALL`].
pub fn catalogue_page() -> String {
    let mut page =
        String::from("# Log events\n\n| number | level | message | meaning |\n|---|---|---|---|\n");
    for (event, meaning) in ALL {
        let level = event.level.as_str().to_lowercase();
        page += &format!("| {} | {level} | {} |{meaning} |\n", event.number, event.text);
    }
    page
}

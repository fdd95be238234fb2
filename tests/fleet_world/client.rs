//! Clients that compare every response with what the endpoints send.

use crate::fleet_world::BATCH_PREFIX;
use crate::fleet_world::ENDPOINT_OPTIONS;
use crate::fleet_world::ROUTE_HOST;
use basilfield::emulator::plain;
use basilfield::fleet::sse;
use basilfield::fleet::upstream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time;

/// Time that a caller waits unless a test states another one.
const DEADLINE: Duration = Duration::from_secs(6);
/// Header that lists the parts of a prompt.
pub const PROMPT_HEADER: &str = "x-basilfield-prompt-prefix";

/// How a stream ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// Every event arrived exactly once and in order.
    Complete,
    /// The response said that the request has not run.
    NotRun,
    /// The response had another status.
    Status(u16),
    /// The connection was lost or the time limit passed.
    Disconnected,
    /// The response was wrong.
    Wrong(String),
}

fn request(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> hyper::Request<Full<Bytes>> {
    let mut request = hyper::Request::builder().method(method).uri(path).header("host", ROUTE_HOST);
    for (name, value) in headers {
        let value = HeaderValue::from_bytes(value.as_bytes()).expect("valid header");
        request = request.header(*name, value);
    }
    request.body(Full::new(body.into())).expect("valid request")
}

/// Sends a call on a new connection. Returns status 0 if the connection broke or the time limit
/// passed.
pub async fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> (u16, Bytes) {
    let sent = async {
        let mut answer = upstream::Upstream::default()
            .send(to, request(method, path, headers, body), true)
            .await
            .ok()?;
        let status = answer.head.status.as_u16();
        Some((status, answer.read_body(16 << 20).await.ok()?))
    };
    let timed = time::timeout(Duration::from_secs(4), sent).await;
    timed.ok().flatten().unwrap_or((0, Bytes::new()))
}

/// Sends a request. Returns the status of the answer and whether it says when to retry.
pub async fn refusal(to: SocketAddr, prefix: &str, id: &str) -> (u16, bool) {
    let path = format!("{prefix}{id}");
    let headers = [("x-basilfield-request-id", id), ("x-basilfield-deadline-ms", "6000")];
    let request = request("POST", &path, &headers, id.to_string());
    let sent = upstream::Upstream::default().send(to, request, true).await;
    sent.map_or((0, false), |a| {
        (a.head.status.as_u16(), a.head.headers.contains_key("retry-after"))
    })
}

/// Sends a request on a new connection and reads the stream of events to its end.
pub async fn stream(to: SocketAddr, prefix: &str, id: &str) -> StreamEnd {
    stream_on(&upstream::Upstream::default(), to, prefix, id).await
}

/// Sends a request on an idle connection of `connections`, or else on a new one, and reads the
/// stream of events to its end.
pub async fn stream_on(
    connections: &upstream::Upstream,
    to: SocketAddr,
    prefix: &str,
    id: &str,
) -> StreamEnd {
    let mut attempt = Attempt::new(prefix, id);
    attempt.run_on(connections, to, ENDPOINT_OPTIONS.1).await
}

/// Stream that a request id belongs to: the id of the attempt that brought its first event. Later
/// attempts append a point and their number.
pub fn stream_of(id: &str) -> &str {
    id.split_once('.').map_or(id, |(first, _)| first)
}

/// Caller of one stream, who may take it up again after a broken connection.
#[derive(Clone, Debug)]
pub struct Attempt {
    prefix: String,
    /// Id of the attempt that brought the first event, or of the next one before that.
    pub stream: String,
    /// Attempts so far under this id.
    pub count: u32,
    /// Number of the last event that has arrived; 0 for none.
    pub last: u64,
    /// `Retry-After` of the last refusal.
    pub retry: Option<String>,
    /// Parts of the prompt, as the platform lists them in a header; none if empty.
    pub prompt: String,
    /// Path below the prefix and body of every attempt; the id of each attempt if `None`.
    pub content: Option<String>,
    /// Time that the caller waits.
    pub deadline: Duration,
}

impl Attempt {
    /// Creates the caller of a new stream.
    pub fn new(prefix: &str, stream: &str) -> Attempt {
        let (prefix, stream) = (prefix.to_string(), stream.to_string());
        Attempt {
            prefix,
            stream,
            count: 0,
            last: 0,
            retry: None,
            prompt: String::new(),
            content: None,
            deadline: DEADLINE,
        }
    }

    /// Id of the next attempt.
    fn next_id(&self) -> String {
        match self.count {
            0 => self.stream.clone(),
            n => format!("{}.{n}", self.stream),
        }
    }

    /// Sends the next attempt, which goes on after the last event that has arrived, and checks
    /// every event. Breaks the connection after event number `until` unless that is the last one.
    pub async fn run(&mut self, to: SocketAddr, until: u64) -> StreamEnd {
        self.run_on(&upstream::Upstream::default(), to, until).await
    }

    /// Sends the next attempt as [`Attempt::run`] does, on an idle connection of `connections` if
    /// there is one.
    async fn run_on(
        &mut self,
        connections: &upstream::Upstream,
        to: SocketAddr,
        until: u64,
    ) -> StreamEnd {
        let sent = self.read(connections, to, until);
        time::timeout(Duration::from_secs(8), sent).await.unwrap_or(StreamEnd::Disconnected)
    }

    async fn read(
        &mut self,
        connections: &upstream::Upstream,
        to: SocketAddr,
        until: u64,
    ) -> StreamEnd {
        if self.last == 0 && self.count > 0 {
            // Each attempt has an id of its own.
            self.stream.push('x');
            self.count = 0;
        }
        let id = self.next_id();
        self.count += 1;
        let content = self.content.as_ref().unwrap_or(&id);
        let path = format!("{}{content}", self.prefix);
        let last = self.last.to_string();
        let deadline = self.deadline.as_millis().to_string();
        let mut headers =
            vec![("x-basilfield-request-id", &*id), ("x-basilfield-deadline-ms", &*deadline)];
        if self.last > 0 {
            headers.extend([("last-event-id", &*last), ("resumes", &*self.stream)]);
        }
        if !self.prompt.is_empty() {
            headers.push((PROMPT_HEADER, &*self.prompt));
        }
        let request = request("POST", &path, &headers, content.clone());
        let Ok(mut answer) = connections.send(to, request, false).await else {
            return StreamEnd::Disconnected;
        };
        match answer.head.status.as_u16() {
            200 => {}
            429 | 503 => {
                let retry = answer.head.headers.get("retry-after");
                self.retry = retry.and_then(|v| v.to_str().ok()).map(str::to_string);
                return StreamEnd::NotRun;
            }
            status => return StreamEnd::Status(status),
        }
        let mut splitter = sse::Splitter::default();
        loop {
            let next = self.last + 1;
            match answer.next_chunk().await {
                Ok(Some(bytes)) => splitter.push(&bytes).expect("short events"),
                Ok(None) if next == ENDPOINT_OPTIONS.1 + 1 && splitter.remainder().is_empty() => {
                    return StreamEnd::Complete;
                }
                Ok(None) => return StreamEnd::Wrong(format!("{id} ends before event {next}")),
                Err(_) => return StreamEnd::Disconnected,
            }
            while let Some(event) = splitter.next_event() {
                let next = self.last + 1;
                if event.id != Some(next) || event.data() != plain::event_data(&id, next).as_bytes()
                {
                    return StreamEnd::Wrong(format!("{id}: {event:?} in place of event {next}"));
                }
                self.last = next;
                if next == until && until < ENDPOINT_OPTIONS.1 {
                    return StreamEnd::Disconnected;
                }
            }
        }
    }
}

/// Expected output of an item.
pub fn output(item: &str) -> String {
    (1..=ENDPOINT_OPTIONS.1).map(|n| plain::event_data(item, n)).collect::<Vec<_>>().join("\n")
}

/// Ids of the items of a job.
pub fn items(job: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{job}-{n}")).collect()
}

/// Submits a job to the entries in turn. Returns whether one accepted it within 20 attempts.
pub async fn submit(entries: &[SocketAddr], job: &str, count: usize) -> bool {
    submit_with_prompts(entries, job, &vec![String::new(); count]).await
}

/// Submits a job with an item for each prompt, as [`submit`] does. An empty prompt is not listed.
pub async fn submit_with_prompts(entries: &[SocketAddr], job: &str, prompts: &[String]) -> bool {
    use base64::Engine as _;
    let item = |(id, prompt): (&String, &String)| {
        let body = base64::engine::general_purpose::STANDARD.encode(id);
        let headers = match prompt.is_empty() {
            true => json!({}),
            false => json!({ PROMPT_HEADER: prompt }),
        };
        json!({ "id": id, "path": format!("{BATCH_PREFIX}{id}"), "headers": headers, "body": body,
            "tokens": 100 })
    };
    let items: Vec<Value> = items(job, prompts.len()).iter().zip(prompts).map(item).collect();
    let body = json!({ "items": items }).to_string();
    let headers = [("x-basilfield-request-id", job)];
    let path = format!("{BATCH_PREFIX}{job}");
    for turn in 0..20 {
        let to = entries[turn % entries.len()];
        if call(to, "POST", &path, &headers, body.clone()).await.0 == 202 {
            return true;
        }
        time::sleep(Duration::from_millis(300)).await;
    }
    false
}

/// Reads the results of a job from position `after`. Returns the status if it is not 200.
pub async fn results(to: SocketAddr, job: &str, after: usize) -> Result<Vec<Value>, u16> {
    let path = format!("/-/lots/{job}?after={after}");
    let (status, body) = call(to, "GET", &path, &[], String::new()).await;
    let page: Value = serde_json::from_slice(&body).unwrap_or_default();
    match status {
        200 => Ok(page["results"].as_array().cloned().unwrap_or_default()),
        status => Err(status),
    }
}

/// Reads a job until every item is listed, and compares each page with `seen`, the last page read.
pub async fn finish(
    entries: &[SocketAddr],
    job: &str,
    count: usize,
    seen: &mut Vec<Value>,
    limit: Duration,
) -> Result<(), String> {
    let begun = time::Instant::now();
    for turn in 0.. {
        let read = results(entries[turn % entries.len()], job, 0).await;
        match read {
            Ok(results) => {
                check(job, count, seen, &results)?;
                if results.len() == count {
                    return Ok(());
                }
            }
            Err(404) => return Err(format!("{job} is unknown after it was accepted")),
            Err(_) => {}
        }
        if begun.elapsed() > limit {
            return Err(format!("{job}: {} of {count} items are listed", seen.len()));
        }
        time::sleep(Duration::from_millis(200)).await;
    }
    Ok(())
}

/// Checks a page from position 0 against `seen`, an earlier one, and replaces that.
pub fn check(
    job: &str,
    count: usize,
    seen: &mut Vec<Value>,
    results: &[Value],
) -> Result<(), String> {
    if results.len() < seen.len() || results[..seen.len()] != seen[..] {
        return Err(format!("{job}: results were lost or changed: {seen:?} {results:?}"));
    }
    let known = items(job, count);
    let mut ids: Vec<&str> = results.iter().filter_map(|r| r["id"].as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    if ids.len() != results.len() || ids.iter().any(|id| !known.iter().any(|k| k == id)) {
        return Err(format!("{job}: an item stands twice or is unknown: {ids:?}"));
    }
    for result in results {
        let id = result["id"].as_str().unwrap_or_default();
        if result["state"] == "completed" && result["output"] != output(id) {
            return Err(format!("{job}: wrong output of {id}: {result}"));
        }
    }
    *seen = results.to_vec();
    Ok(())
}

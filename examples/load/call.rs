//! One request: builds it, sends it, and checks its answer completely.

use basilfield::emulator::text;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;
use tokio::time;

/// Header with the run status of a refusal.
const RUN: &str = "basilfield-run";
/// Bytes of a prompt token.
const TOKEN: usize = 4;

/// HTTP client with one connection pool.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Range of lengths in tokens, both ends included.
#[derive(Clone, Copy, Debug)]
pub struct Lengths {
    low: u32,
    high: u32,
}

impl Lengths {
    /// Creates a range.
    pub fn new(low: u32, high: u32) -> Lengths {
        Lengths { low, high }
    }

    fn pick(self, rng: &mut ChaCha8Rng) -> u32 {
        rng.random_range(self.low..=self.high)
    }
}

impl FromStr for Lengths {
    type Err = String;

    fn from_str(text: &str) -> Result<Lengths, String> {
        let (low, high) = text.split_once('-').unwrap_or((text, text));
        match (low.parse(), high.parse()) {
            (Ok(low), Ok(high)) if 0 < low && low <= high => Ok(Lengths { low, high }),
            _ => Err("expected a positive number or a range A-B".to_string()),
        }
    }
}

/// What every request has in common.
pub struct Plan {
    /// Key of the workspace; empty for none.
    pub key: String,
    /// Model to ask for.
    pub model: String,
    /// Model that the engines serve.
    pub engine_model: String,
    /// Lengths of prompts.
    pub prompt: Lengths,
    /// Lengths of answers.
    pub answer: Lengths,
    /// Number of different prompt prefixes.
    pub prefixes: u32,
    /// Whether to ask for a stream.
    pub stream: bool,
    /// Whether the body names the request.
    pub named: bool,
    /// Seed of the prompts.
    pub seed: u64,
    /// Longest time that one answer may take.
    pub timeout: Duration,
}

/// Times of a complete answer.
pub struct Answer {
    /// Time to the first token; to the end without a stream.
    pub first: Duration,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Time to the end.
    pub whole: Duration,
    /// Tokens.
    pub tokens: u32,
}

/// Why there is no complete answer.
pub enum Problem {
    /// Refused with this reason and run status.
    Refused(String),
    /// Failed, incomplete or wrong.
    Failed(String),
}

/// Creates a client. Its built-in retries are off, so that each failure is counted.
pub fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector)
}

/// Sends request `number` and checks its answer.
pub async fn run(
    client: &HttpClient,
    plan: &Plan,
    addr: SocketAddr,
    number: u64,
) -> Result<Answer, Problem> {
    let (prompt, tokens) = plan.question(number);
    let request = plan.request(addr, number, &prompt, tokens)?;
    let canonical = text::chat_prompt([("user", &*prompt)]);
    let expected = text::answer(&plan.engine_model, &canonical, tokens);
    let exchange = exchange(client, request, plan.stream);
    let (content, answer) = time::timeout(plan.timeout, exchange)
        .await
        .map_err(|_| Problem::Failed("timeout".to_string()))??;
    if content == expected {
        Ok(Answer { tokens, ..answer })
    } else if expected.starts_with(&content) {
        Err(Problem::Failed("answer ends early but is presented as complete".to_string()))
    } else {
        Err(Problem::Failed("wrong answer".to_string()))
    }
}

impl Plan {
    /// Prompt and answer length of request `number`.
    fn question(&self, number: u64) -> (String, u32) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed.wrapping_add(number));
        let length = self.prompt.pick(&mut rng) as usize * TOKEN;
        let prefix = rng.random_range(0..self.prefixes);
        let mut prompt = format!("prefix {prefix} ").repeat(length / 2 / 9 + 1);
        prompt.truncate(length / 2);
        prompt += &format!(" {:x}", rng.random::<u64>());
        while prompt.len() < length {
            prompt.push(char::from(rng.random_range(b'a'..=b'z')));
        }
        (prompt, self.answer.pick(&mut rng))
    }

    fn request(
        &self,
        addr: SocketAddr,
        number: u64,
        prompt: &str,
        tokens: u32,
    ) -> Result<hyper::Request<Full<Bytes>>, Problem> {
        let mut body = json!({
            "model": self.model, "max_tokens": tokens, "stream": self.stream,
            "messages": [{"role": "user", "content": prompt}],
        });
        if self.named {
            // Fixed width, so that names ascend.
            body["user"] = json!(format!("load-{}-{number:09}", self.seed));
        }
        let mut request = hyper::Request::post(format!("http://{addr}/v1/chat/completions"))
            .header("content-type", "application/json");
        if !self.key.is_empty() {
            request = request.header("authorization", format!("Bearer {}", self.key));
        }
        request.body(Full::from(body.to_string())).map_err(|e| Problem::Failed(e.to_string()))
    }
}

async fn exchange(
    client: &HttpClient,
    request: hyper::Request<Full<Bytes>>,
    stream: bool,
) -> Result<(String, Answer), Problem> {
    let started = time::Instant::now();
    let response = client.request(request).await.map_err(|e| {
        Problem::Failed(if e.is_connect() { "connect" } else { "connection lost" }.to_string())
    })?;
    if !response.status().is_success() {
        return Err(refusal(response).await);
    }
    if stream {
        return read_stream(response.into_body(), started).await;
    }
    let body = response.into_body().collect().await.map_err(|_| cut_off())?.to_bytes();
    let answer: Value = serde_json::from_slice(&body).map_err(|_| cut_off())?;
    let content = answer["choices"][0]["message"]["content"].as_str().ok_or_else(cut_off)?;
    let whole = started.elapsed();
    Ok((content.to_string(), Answer { first: whole, gaps: Vec::new(), whole, tokens: 0 }))
}

async fn read_stream(
    mut body: Incoming,
    started: time::Instant,
) -> Result<(String, Answer), Problem> {
    let (mut content, mut buffer) = (String::new(), Vec::new());
    let mut times: Vec<time::Instant> = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| cut_off())?.into_data() else { continue };
        let now = time::Instant::now();
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let Some(data) = line.strip_prefix(b"data: ") else { continue };
            if data.trim_ascii() == b"[DONE]" {
                let whole = started.elapsed();
                let first = times.first().map_or(whole, |at| *at - started);
                let gaps = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
                return Ok((content, Answer { first, gaps, whole, tokens: 0 }));
            }
            let event: Value = serde_json::from_slice(data).map_err(|_| cut_off())?;
            if let Some(error) = event.get("error") {
                return Err(Problem::Failed(format!("error event: {}", reason(error))));
            }
            let token = event["choices"][0]["delta"]["content"].as_str().unwrap_or("");
            if !token.is_empty() {
                content += token;
                times.push(now);
            }
        }
    }
    Err(cut_off())
}

fn cut_off() -> Problem {
    Problem::Failed("answer cut off".to_string())
}

/// Refusals carry their run status in a header; anything else with an error status is a failure.
async fn refusal(response: hyper::Response<Incoming>) -> Problem {
    let status = response.status().as_u16();
    let run = response.headers().get(RUN).and_then(|run| run.to_str().ok()).map(str::to_string);
    let body = response.into_body().collect().await.map(|body| body.to_bytes());
    let body: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
    let reason = reason(&body["error"]);
    match run.as_deref() {
        Some("no") => Problem::Refused(format!("{status} {reason}")),
        Some(run) => Problem::Failed(format!("{status} {reason}, run: {run}")),
        None => Problem::Failed(format!("{status} {reason}")),
    }
}

fn reason(error: &Value) -> String {
    ["reason", "code", "type", "message"]
        .iter()
        .find_map(|field| error[*field].as_str())
        .unwrap_or("without reason")
        .to_string()
}

//! Builds and sends one request and compares its whole answer with the expected one.

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

/// Header of a refusal that says whether the request was run.
const RUN_HEADER: &str = "basilfield-run";
/// Size of a prompt token in bytes.
const TOKEN_BYTES: usize = 4;

/// HTTP client with one connection pool.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Inclusive range of lengths in tokens.
#[derive(Clone, Copy, Debug)]
pub struct TokenRange {
    low: u32,
    high: u32,
}

impl TokenRange {
    /// Creates a range.
    pub fn new(low: u32, high: u32) -> TokenRange {
        TokenRange { low, high }
    }

    fn sample(self, rng: &mut ChaCha8Rng) -> u32 {
        rng.random_range(self.low..=self.high)
    }
}

impl FromStr for TokenRange {
    type Err = String;

    fn from_str(text: &str) -> Result<TokenRange, String> {
        let (low, high) = text.split_once('-').unwrap_or((text, text));
        match (low.parse(), high.parse()) {
            (Ok(low), Ok(high)) if 0 < low && low <= high => Ok(TokenRange { low, high }),
            _ => Err("expected a positive number or a range A-B".to_string()),
        }
    }
}

/// Settings that all requests share.
pub struct RequestConfig {
    /// Key of the workspace; empty for none.
    pub key: String,
    /// Model named in the requests.
    pub model: String,
    /// Model that the engines serve, from which the expected answers are computed.
    pub engine_model: String,
    /// Lengths of prompts.
    pub prompt: TokenRange,
    /// Lengths of answers.
    pub answer: TokenRange,
    /// Number of different prompt prefixes.
    pub prefixes: u32,
    /// Whether to request streamed answers.
    pub stream: bool,
    /// Whether to send a name for each request in the body field `user`.
    pub named: bool,
    /// Seed of the prompts.
    pub seed: u64,
    /// Maximum time for one answer.
    pub timeout: Duration,
}

/// Timings of a complete answer.
pub struct Answer {
    /// Time to the first token, or to the end if the answer is not streamed.
    pub first_token: Duration,
    /// Times between tokens.
    pub token_gaps: Vec<Duration>,
    /// Time to the end of the answer.
    pub total: Duration,
    /// Number of tokens.
    pub tokens: u32,
}

/// Reason why a request has no correct answer.
pub enum CallError {
    /// The system refused the request and did not run it. Holds the HTTP status and the reason.
    Refused(String),
    /// The request failed, or its answer was incomplete or wrong.
    Failed(String),
}

/// Creates a client without built-in retries, so that every failure is counted.
pub fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector)
}

/// Sends request `number` and checks its answer.
pub async fn send_and_check(
    client: &HttpClient,
    config: &RequestConfig,
    addr: SocketAddr,
    number: u64,
) -> Result<Answer, CallError> {
    let (prompt, tokens) = config.prompt_and_length(number);
    let request = config.request(addr, number, &prompt, tokens)?;
    let canonical = text::chat_prompt([("user", &*prompt)]);
    let expected = text::answer(&config.engine_model, &canonical, tokens);
    let exchange = exchange(client, request, config.stream);
    let (content, answer) = time::timeout(config.timeout, exchange)
        .await
        .map_err(|_| CallError::Failed("timeout".to_string()))??;
    if content == expected {
        Ok(Answer { tokens, ..answer })
    } else if expected.starts_with(&content) {
        Err(CallError::Failed("answer ends early but is presented as complete".to_string()))
    } else {
        Err(CallError::Failed("wrong answer".to_string()))
    }
}

impl RequestConfig {
    /// Returns the prompt of request `number` and the length of its answer in tokens.
    fn prompt_and_length(&self, number: u64) -> (String, u32) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed.wrapping_add(number));
        let length = self.prompt.sample(&mut rng) as usize * TOKEN_BYTES;
        let prefix = rng.random_range(0..self.prefixes);
        let mut prompt = format!("prefix {prefix} ").repeat(length / 2 / 9 + 1);
        prompt.truncate(length / 2);
        prompt += &format!(" {:x}", rng.random::<u64>());
        while prompt.len() < length {
            prompt.push(char::from(rng.random_range(b'a'..=b'z')));
        }
        (prompt, self.answer.sample(&mut rng))
    }

    fn request(
        &self,
        addr: SocketAddr,
        number: u64,
        prompt: &str,
        tokens: u32,
    ) -> Result<hyper::Request<Full<Bytes>>, CallError> {
        let mut body = json!({
            "model": self.model, "max_tokens": tokens, "stream": self.stream,
            "messages": [{"role": "user", "content": prompt}],
        });
        if self.named {
            // The fixed width makes the names sort in order of the requests.
            body["user"] = json!(format!("load-{}-{number:09}", self.seed));
        }
        let mut request = hyper::Request::post(format!("http://{addr}/v1/chat/completions"))
            .header("content-type", "application/json");
        if !self.key.is_empty() {
            request = request.header("authorization", format!("Bearer {}", self.key));
        }
        request.body(Full::from(body.to_string())).map_err(|e| CallError::Failed(e.to_string()))
    }
}

async fn exchange(
    client: &HttpClient,
    request: hyper::Request<Full<Bytes>>,
    stream: bool,
) -> Result<(String, Answer), CallError> {
    let started = time::Instant::now();
    let response = client.request(request).await.map_err(|e| {
        CallError::Failed(if e.is_connect() { "connect" } else { "connection lost" }.to_string())
    })?;
    if !response.status().is_success() {
        return Err(response_error(response).await);
    }
    if stream {
        return read_stream(response.into_body(), started).await;
    }
    let body = response.into_body().collect().await.map_err(|_| truncated_answer())?.to_bytes();
    let answer: Value = serde_json::from_slice(&body).map_err(|_| truncated_answer())?;
    let content =
        answer["choices"][0]["message"]["content"].as_str().ok_or_else(truncated_answer)?;
    let total = started.elapsed();
    Ok((
        content.to_string(),
        Answer { first_token: total, token_gaps: Vec::new(), total, tokens: 0 },
    ))
}

async fn read_stream(
    mut body: Incoming,
    started: time::Instant,
) -> Result<(String, Answer), CallError> {
    let (mut content, mut buffer) = (String::new(), Vec::new());
    let mut times: Vec<time::Instant> = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| truncated_answer())?.into_data() else { continue };
        let now = time::Instant::now();
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let Some(data) = line.strip_prefix(b"data: ") else { continue };
            if data.trim_ascii() == b"[DONE]" {
                let total = started.elapsed();
                let first_token = times.first().map_or(total, |at| *at - started);
                let token_gaps = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
                return Ok((content, Answer { first_token, token_gaps, total, tokens: 0 }));
            }
            let event: Value = serde_json::from_slice(data).map_err(|_| truncated_answer())?;
            if let Some(error) = event.get("error") {
                return Err(CallError::Failed(format!("error event: {}", error_reason(error))));
            }
            let token = event["choices"][0]["delta"]["content"].as_str().unwrap_or("");
            if !token.is_empty() {
                content += token;
                times.push(now);
            }
        }
    }
    Err(truncated_answer())
}

fn truncated_answer() -> CallError {
    CallError::Failed("answer cut off".to_string())
}

/// Classifies a response with an error status. It is a refusal only if its header says that the
/// request was not run.
async fn response_error(response: hyper::Response<Incoming>) -> CallError {
    let status = response.status().as_u16();
    let run =
        response.headers().get(RUN_HEADER).and_then(|run| run.to_str().ok()).map(str::to_string);
    let body = response.into_body().collect().await.map(|body| body.to_bytes());
    let body: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
    let reason = error_reason(&body["error"]);
    match run.as_deref() {
        Some("no") => CallError::Refused(format!("{status} {reason}")),
        Some(run) => CallError::Failed(format!("{status} {reason}, run: {run}")),
        None => CallError::Failed(format!("{status} {reason}")),
    }
}

fn error_reason(error: &Value) -> String {
    ["reason", "code", "type", "message"]
        .iter()
        .find_map(|field| error[*field].as_str())
        .unwrap_or("without reason")
        .to_string()
}

//! Tests of the engine and service emulators, which other tests and measurements rely on.

use axum::body::Body;
use basilfield::emulator;
use basilfield::emulator::text;
use http_body_util::BodyExt as _;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use tokio::time;

const MODEL: &str = "needle-llm";

fn discard_log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Returns settings with steps of 2 ms, whatever the number of streams and prompt tokens.
fn fast_settings() -> emulator::Settings {
    emulator::Settings {
        step_time: Duration::from_millis(2),
        stream_time: Duration::ZERO,
        prefill_time: Duration::ZERO,
        ..emulator::Settings::default()
    }
}

async fn start_engine(settings: emulator::Settings) -> emulator::Engine {
    emulator::Engine::start(settings, &discard_log()).await.unwrap()
}

fn client() -> Client<HttpConnector, Body> {
    Client::builder(TokioExecutor::new()).build_http()
}

async fn post(addr: SocketAddr, path: &str, body: &Value) -> axum::http::Response<Body> {
    let request = axum::http::Request::post(format!("http://{addr}{path}"))
        .header("content-type", "application/json")
        .body(Body::from(body.to_string()))
        .unwrap();
    client().request(request).await.unwrap().map(Body::new)
}

async fn read_json(response: axum::http::Response<Body>) -> Value {
    serde_json::from_slice(&response.into_body().collect().await.unwrap().to_bytes()).unwrap()
}

async fn get(addr: SocketAddr, path: &str) -> Value {
    let uri = format!("http://{addr}{path}").parse().unwrap();
    read_json(client().get(uri).await.unwrap().map(Body::new)).await
}

/// Reads a streamed completion. Returns its text, the number of events with a token, and whether it
/// ended with `[DONE]`.
async fn read_stream(response: axum::http::Response<Body>) -> (String, usize, bool) {
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        bytes.extend_from_slice(frame.data_ref().unwrap());
    }
    let (mut content, mut count, mut done) = (String::new(), 0, false);
    for line in std::str::from_utf8(&bytes).unwrap().lines() {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        done = data == "[DONE]";
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        let choice = &event["choices"][0];
        let token = choice["delta"]["content"].as_str().or(choice["text"].as_str()).unwrap_or("");
        content += token;
        count += usize::from(!token.is_empty());
    }
    (content, count, done)
}

fn completion(prompt: &str, tokens: u32) -> Value {
    json!({"model": MODEL, "prompt": prompt, "max_tokens": tokens})
}

fn streamed(prompt: &str, tokens: u32) -> Value {
    json!({"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": true})
}

/// Waits up to about 1 s until `done` accepts the engine's statistics.
async fn wait_until(engine: &emulator::Engine, done: impl Fn(&emulator::Stats) -> bool) {
    for _ in 0..200 {
        if done(&engine.stats()) {
            return;
        }
        time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the engine did not reach the expected state: {:?}", engine.stats());
}

/// Guards against answers that depend on anything but model, prompt and position. Other tests check
/// answers for completeness by comparing them with `text::answer`.
#[tokio::test]
async fn answers_are_deterministic_in_every_format() {
    let engine = start_engine(fast_settings()).await;
    let (prompt, tokens) = ("Which stitch holds denim?", 40);
    let expected = text::answer(MODEL, prompt, tokens);
    for _ in 0..2 {
        let whole = post(engine.addr(), "/v1/completions", &completion(prompt, tokens)).await;
        assert_eq!(read_json(whole).await["choices"][0]["text"], expected);
        let parts = post(engine.addr(), "/v1/completions", &streamed(prompt, tokens)).await;
        assert_eq!(read_stream(parts).await, (expected.clone(), 40, true));
    }
    let parts = json!([{"type": "text", "text": "de"}, {"type": "text", "text": "nim?"}]);
    let mut chat = json!({"model": MODEL, "max_tokens": 7, "messages": [
        {"role": "system", "content": "Be brief."}, {"role": "user", "content": parts}]});
    let prompt = text::chat_prompt([("system", "Be brief."), ("user", "denim?")]);
    let expected = text::answer(MODEL, &prompt, 7);
    let whole = read_json(post(engine.addr(), "/v1/chat/completions", &chat).await).await;
    assert_eq!(whole["choices"][0]["message"]["content"], expected);
    assert_eq!(whole["usage"]["completion_tokens"], 7);
    chat["stream"] = json!(true);
    let parts = post(engine.addr(), "/v1/chat/completions", &chat).await;
    assert_eq!(read_stream(parts).await, (expected, 7, true));
    assert_ne!(text::answer(MODEL, "a", 9), text::answer(MODEL, "b", 9));
    assert_ne!(text::answer(MODEL, "a", 9), text::answer("dispatch-llm", "a", 9));
    let unknown = json!({"model": "other", "prompt": "a"});
    assert_eq!(post(engine.addr(), "/v1/completions", &unknown).await.status(), 404);
    assert_eq!(get(engine.addr(), "/v1/models").await["data"][0]["id"], MODEL);
}

/// Guards against resumptions that repeat or skip tokens, or that accept the text of another
/// answer.
#[tokio::test]
async fn resume_continues_exactly() {
    let engine = start_engine(fast_settings()).await;
    let expected = text::answer(MODEL, "p", 30);
    for tokens in [0, 1, 17, 30] {
        let head = text::answer(MODEL, "p", tokens);
        let mut body = streamed("p", 30);
        body["resume"] = json!({"text": head, "tokens": tokens});
        let (rest, count, done) =
            read_stream(post(engine.addr(), "/v1/completions", &body).await).await;
        assert_eq!((head + &rest, count, done), (expected.clone(), 30 - tokens as usize, true));
        body["resume"]["text"] = json!(text::answer(MODEL, "q", tokens + 1));
        assert_eq!(post(engine.addr(), "/v1/completions", &body).await.status(), 400);
    }
    assert_eq!(engine.stats().tokens, 30 + 29 + 13);
}

/// Guards against running or waiting streams that continue after their caller has disconnected.
#[tokio::test]
async fn cancel_frees_the_slot() {
    let engine = start_engine(emulator::Settings { slots: 1, ..fast_settings() }).await;
    let long = post(engine.addr(), "/v1/completions", &streamed("long", 1_000_000)).await;
    wait_until(&engine, |stats| stats.running == 1).await;
    let waiting = post(engine.addr(), "/v1/completions", &streamed("waiting", 5)).await;
    let addr = engine.addr();
    let whole =
        tokio::spawn(async move { post(addr, "/v1/completions", &completion("w", 9)).await });
    wait_until(&engine, |stats| stats.waiting == 2).await;
    whole.abort();
    drop(waiting);
    wait_until(&engine, |stats| stats.cancelled == 2).await;
    drop(long);
    wait_until(&engine, |stats| stats.cancelled == 3 && stats.running == 0).await;
    let next = post(engine.addr(), "/v1/completions", &completion("next", 5)).await;
    assert_eq!(read_json(next).await["choices"][0]["text"], text::answer(MODEL, "next", 5));
    let stats = engine.stats();
    assert_eq!((stats.requests, stats.started, stats.finished), (4, 2, 1));
}

/// Guards against a prefix cache that does not shorten the time to the first token, or that exceeds
/// its capacity.
#[tokio::test]
async fn cached_prefix_shortens_prefill() {
    let settings = emulator::Settings {
        prefill_time: Duration::from_micros(500),
        cache_blocks: 40,
        ..fast_settings()
    };
    let engine = start_engine(settings).await;
    let (prefix, other) = ("sew ".repeat(400), "hem ".repeat(400));
    let run = async |prompt: String| {
        let started = Instant::now();
        let answer = post(engine.addr(), "/v1/completions", &completion(&prompt, 1)).await;
        let usage = read_json(answer).await["usage"].clone();
        (usage["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap(), started.elapsed())
    };
    let (cached, cold) = run(format!("{prefix}one")).await;
    assert_eq!(cached, 0);
    assert!(cold > Duration::from_millis(200), "time to the first token without cache: {cold:?}");
    let (cached, warm) = run(format!("{prefix}two")).await;
    assert_eq!(cached, 400);
    assert!(warm < cold / 3, "time to the first token: {warm:?} with cache, {cold:?} without");
    assert_eq!(run(format!("{other}one")).await.0, 0);
    assert_eq!(run(format!("{prefix}one")).await.0, 0, "the other prompt has evicted the prefix");
}

/// Guards against admission out of arrival order, and against a batch that admits no stream until
/// its longest one has finished.
#[tokio::test]
async fn admission_is_in_arrival_order() {
    let engine = start_engine(emulator::Settings { slots: 2, ..fast_settings() }).await;
    let ended = Arc::new(Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    for (number, tokens) in [200, 20, 60, 10, 10].into_iter().enumerate() {
        let (addr, ended) = (engine.addr(), ended.clone());
        let prompt = number.to_string();
        tasks.push(tokio::spawn(async move {
            read_json(post(addr, "/v1/completions", &completion(&prompt, tokens)).await).await;
            ended.lock().unwrap().push(number);
        }));
        wait_until(&engine, |stats| stats.requests == number as u64 + 1).await;
    }
    for task in tasks {
        task.await.unwrap();
    }
    assert_eq!(*ended.lock().unwrap(), [1, 2, 3, 4, 0]);
}

/// Guards against a step time that does not grow with the number of running streams. Measurements
/// rely on this growth.
#[tokio::test]
async fn step_time_grows_with_running_streams() {
    let settings = emulator::Settings {
        step_time: Duration::from_millis(4),
        stream_time: Duration::from_millis(1),
        ..fast_settings()
    };
    let engine = start_engine(settings).await;
    let addr = engine.addr();
    let run = async |streams: usize| {
        let started = Instant::now();
        let calls = (0..streams).map(|n| async move {
            let body = completion(&n.to_string(), 30);
            read_json(post(addr, "/v1/completions", &body).await).await
        });
        futures_util::future::join_all(calls).await;
        started.elapsed()
    };
    let (one, eight) = (run(1).await, run(8).await);
    // 30 steps take 150 ms at 5 ms each and 360 ms at 12 ms each. The upper bounds allow for a busy
    // machine.
    assert!((140..300).contains(&one.as_millis()), "30 steps with one stream: {one:?}");
    assert!((340..700).contains(&eight.as_millis()), "30 steps with eight streams: {eight:?}");
}

/// Guards against configured faults that are not injected. Recovery tests rely on them.
#[tokio::test]
async fn faults_are_injected_as_configured() {
    let faults = emulator::Faults {
        fail_every: 3,
        fail_marker: Some("poison".into()),
        ..emulator::Faults::default()
    };
    let engine = start_engine(emulator::Settings { faults, ..fast_settings() }).await;
    let status = async |prompt: &str| {
        post(engine.addr(), "/v1/completions", &completion(prompt, 1)).await.status().as_u16()
    };
    let mut seen = Vec::new();
    for prompt in ["a", "a", "a", "a", "poison", "a"] {
        seen.push(status(prompt).await);
    }
    assert_eq!(seen, [200, 200, 500, 200, 500, 500]);
    let once = json!({"break_after": 4, "limit": 1});
    assert_eq!(post(engine.addr(), "/faults", &once).await.status(), 204);
    let broken = post(engine.addr(), "/v1/completions", &streamed("b", 9)).await;
    assert_eq!(read_stream(broken).await, (text::answer(MODEL, "b", 4), 4, false));
    let next = post(engine.addr(), "/v1/completions", &streamed("b", 9)).await;
    assert!(read_stream(next).await.2);
    engine.set_faults(emulator::Faults { break_after: Some(0), ..Default::default() });
    let body = Body::from(completion("b", 9).to_string());
    let uri = format!("http://{}/v1/completions", engine.addr());
    let whole = client().request(axum::http::Request::post(uri).body(body).unwrap()).await;
    // The connection may close before or after the response headers arrive.
    let read = async { Ok::<_, Box<dyn Error>>(whole?.into_body().collect().await?) };
    assert!(read.await.is_err());
    engine.set_faults(emulator::Faults { stall_after: Some(2), ..Default::default() });
    let stalled = post(engine.addr(), "/v1/completions", &streamed("s", 9)).await;
    let reading = time::timeout(Duration::from_millis(200), read_stream(stalled)).await;
    assert!(reading.is_err(), "the stream must neither continue nor end");
    wait_until(&engine, |stats| stats.running == 0).await;
    engine.set_faults(emulator::Faults { frozen: true, ..Default::default() });
    let frozen = post(engine.addr(), "/v1/completions", &streamed("f", 3)).await;
    time::sleep(Duration::from_millis(50)).await;
    assert_eq!(engine.stats().waiting, 1);
    engine.set_faults(emulator::Faults::default());
    assert!(read_stream(frozen).await.2);
}

/// Guards against old orders that take effect despite fencing, and against a check of numbers while
/// fencing is off.
#[tokio::test]
async fn old_orders_are_refused_if_fencing_is_on() {
    for fencing in [true, false] {
        let engine = start_engine(emulator::Settings { fencing, ..fast_settings() }).await;
        let order = async |number: u64, kind: &str, model: &str| {
            let body = json!({"number": number, "kind": kind, "model": model, "adapter": "denim"});
            post(engine.addr(), "/orders", &body).await.status().as_u16()
        };
        let old = if fencing { 409 } else { 200 };
        assert_eq!(order(5, "load", "dispatch-llm").await, 200);
        assert_eq!(
            order(5, "load", "dispatch-llm").await,
            200,
            "a repeated order must be accepted"
        );
        assert_eq!(order(5, "unload", "dispatch-llm").await, old);
        assert_eq!(order(4, "load", MODEL).await, old);
        assert_eq!(order(9, "adapter", MODEL).await, 200);
        assert_eq!(
            order(10, "version", MODEL).await,
            400,
            "an order without its version must be refused"
        );
        let model = if fencing { "dispatch-llm" } else { MODEL };
        let models = get(engine.addr(), "/v1/models").await["data"].clone();
        assert_eq!(
            (models[0]["id"].as_str(), models[1]["id"].as_str()),
            (Some(model), Some("denim"))
        );
        let done = if fencing { vec![5, 9] } else { vec![5, 5, 5, 4, 9] };
        assert_eq!(engine.stats().orders, done);
    }
}

/// Guards against a load report that is always current, unlike that of real engines.
#[tokio::test]
async fn load_report_lags() {
    let engine = start_engine(emulator::Settings {
        load_interval: Duration::from_millis(300),
        ..fast_settings()
    })
    .await;
    time::sleep(Duration::from_millis(50)).await;
    let _running = post(engine.addr(), "/v1/completions", &streamed("l", 100_000)).await;
    wait_until(&engine, |stats| stats.running == 1).await;
    assert_eq!(get(engine.addr(), "/load").await["running"], 0);
    time::sleep(Duration::from_millis(350)).await;
    assert_eq!(get(engine.addr(), "/load").await["running"], 1);
}

/// Starts a fake agent. Returns its address and the list in which it records announcements and
/// withdrawals.
async fn start_agent() -> (SocketAddr, Arc<Mutex<Vec<Value>>>) {
    let seen: Arc<Mutex<Vec<Value>>> = Arc::default();
    let (posted, deleted) = (seen.clone(), seen.clone());
    let announce = move |axum::Json(body): axum::Json<Value>| {
        posted.lock().unwrap().push(body);
        async {}
    };
    let withdraw = move |axum::extract::Path(name): axum::extract::Path<String>| {
        deleted.lock().unwrap().push(json!({"withdrawn": name}));
        async {}
    };
    let router = axum::Router::new()
        .route("/announce", axum::routing::post(announce))
        .route("/announce/{name}", axum::routing::delete(withdraw));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    (addr, seen)
}

/// Guards against a graceful stop that receives new requests from the agent or cuts streams off.
#[tokio::test]
async fn stop_withdraws_and_then_finishes_streams() {
    let (agent, seen) = start_agent().await;
    let name = "engine-1".into();
    let engine =
        start_engine(emulator::Settings { agent: Some(agent), name, ..fast_settings() }).await;
    let addr = engine.addr();
    let running = post(addr, "/v1/completions", &streamed("r", 800)).await;
    time::sleep(Duration::from_millis(50)).await;
    let stopping = tokio::spawn(engine.stop(Duration::from_secs(5)));
    time::sleep(Duration::from_millis(20)).await;
    // A request that the agent sent just before the withdrawal is still accepted.
    let late = post(addr, "/v1/completions", &completion("late", 1)).await;
    assert_eq!(read_json(late).await["choices"][0]["text"], text::answer(MODEL, "late", 1));
    time::sleep(Duration::from_millis(400)).await;
    let withdrawn = json!({"withdrawn": "engine-1"});
    assert_eq!(seen.lock().unwrap().last(), Some(&withdrawn));
    let uri = format!("http://{addr}/v1/models").parse().unwrap();
    assert!(client().get(uri).await.is_err(), "new connections must be refused");
    assert!(!stopping.is_finished(), "the stop must wait for the running stream");
    assert_eq!(read_stream(running).await, (text::answer(MODEL, "r", 800), 800, true));
    assert!(stopping.await.unwrap());
    let first = json!({"name": "engine-1", "kind": "engine", "address": addr.to_string(),
        "models": [MODEL], "slots": 32, "fencing": true});
    let seen = seen.lock().unwrap();
    assert_eq!((seen.first(), seen.last()), (Some(&first), Some(&withdrawn)));
    assert_eq!(seen.iter().filter(|record| **record == withdrawn).count(), 1);
}

/// Guards against a service that miscounts calls. At-most-once tests rely on exact counts.
#[tokio::test]
async fn service_echoes_and_counts_calls() {
    let settings = emulator::ServiceSettings::default();
    let service = emulator::Service::start(settings, &discard_log()).await.unwrap();
    for key in ["a", "b", "a"] {
        let body = json!({"parcel": key});
        let answer = post(service.addr(), &format!("/parcels?key={key}"), &body).await;
        assert_eq!(answer.headers()["content-type"], "application/json");
        assert_eq!(read_json(answer).await, body);
    }
    assert_eq!(get(service.addr(), "/stats").await["keys"], json!({"a": 2, "b": 1}));
    let marker = Some("poison".into());
    service.set_faults(emulator::Faults { fail_marker: marker, ..Default::default() });
    assert_eq!(post(service.addr(), "/parcels", &json!("poison")).await.status(), 500);
    assert!(service.stop(Duration::from_secs(1)).await);
}

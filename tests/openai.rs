//! Tests of the OpenAI-compatible batch API with separate processes.

mod workdir;

use http_body_util::BodyExt as _;
use hyper_util::client::legacy;
use hyper_util::rt;
use serde_json::Value;
use serde_json::json;
use workdir::Fleet;
use workdir::block_on;

const KEY_HEADER: &str = "idempotency-key";
const BOUNDARY: &str = "part-of-a-test";

struct Answer {
    status: u16,
    text: String,
}

impl Answer {
    fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    fn assert_refused(&self, status: u16, part: &str) {
        let message = self.json()["error"]["message"].as_str().unwrap_or_default().to_string();
        assert!(self.status == status && message.contains(part), "{}: {}", self.status, self.text);
        assert_eq!(self.json()["error"]["run"], "no", "{}", self.text);
    }

    fn assert_accepted(&self) -> Value {
        assert_eq!(self.status, 200, "{}", self.text);
        self.json()
    }
}

/// Sends a request with the caller's key and an optional idempotency key.
fn send(
    fleet: &Fleet,
    method: &str,
    path: &str,
    key: &str,
    content_type: &str,
    body: String,
) -> Answer {
    let request = hyper::Request::builder()
        .method(method)
        .uri(format!("{}{path}", fleet.url(0)))
        .header("content-type", content_type)
        .header("authorization", format!("Bearer {}", workdir::CALLER_KEY));
    let request = if key.is_empty() { request } else { request.header(KEY_HEADER, key) };
    let request = request.body(http_body_util::Full::new(bytes::Bytes::from(body)));
    block_on(async {
        let client = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
        let answer = client.request(request.expect("request")).await.expect("answer");
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await.expect("body").to_bytes();
        Answer { status, text: String::from_utf8(body.to_vec()).expect("text") }
    })
}

fn upload(fleet: &Fleet, key: &str, purpose: &str, lines: &str) -> Answer {
    let part = |head: &str, body: &str| {
        format!("--{BOUNDARY}\r\nContent-Disposition: form-data; {head}\r\n\r\n{body}\r\n")
    };
    let file = part("name=\"file\"; filename=\"captions.jsonl\"", lines);
    let body = part("name=\"purpose\"", purpose) + &file + &format!("--{BOUNDARY}--\r\n");
    let content_type = format!("multipart/form-data; boundary={BOUNDARY}");
    send(fleet, "POST", "/v1/files", key, &content_type, body)
}

fn post(fleet: &Fleet, path: &str, key: &str, body: &Value) -> Answer {
    send(fleet, "POST", path, key, "application/json", body.to_string())
}

fn get(fleet: &Fleet, path: &str) -> Answer {
    send(fleet, "GET", path, "", "application/json", String::new())
}

fn lines(count: usize, model: &str) -> String {
    let line = |at: usize| {
        json!({ "custom_id": format!("item-{at}"), "method": "POST", "url": "/v1/chat/completions",
            "body": { "model": model, "max_tokens": 3, "messages":
                [{ "role": "user", "content": format!("badge {at}") }] } })
        .to_string()
    };
    (0..count).map(line).collect::<Vec<_>>().join("\n")
}

fn id(object: &Value) -> String {
    object["id"].as_str().expect("id").to_string()
}

/// Guards against items that are lost or run twice through the batch API. Covers a batch of several
/// chunks from upload to results, repeated submissions, refusals and a cancelled batch.
#[test]
fn batches_in_the_shape_of_the_openai_api() {
    let fleet = Fleet::start(workdir::Size { states: 1, entries: 1, agents: 1 });
    fleet.create_workspace();
    refused_uploads(&fleet);
    let batch = finished_batch(&fleet);
    cancelled_batch(&fleet);
    let listed = get(&fleet, "/v1/batches?limit=1").assert_accepted();
    assert_eq!((&listed["object"], &listed["has_more"]), (&json!("list"), &json!(true)));
    let after = format!("/v1/batches?limit=1&after={}", listed["last_id"].as_str().expect("id"));
    let rest = get(&fleet, &after).assert_accepted();
    assert_eq!(rest["has_more"], false, "files without a batch are not listed: {rest}");
    let ids = [id(&listed["data"][0]), id(&rest["data"][0])];
    assert!(ids.contains(&batch) && ids[0] != ids[1], "{ids:?}");
}

fn refused_uploads(fleet: &Fleet) {
    let good = lines(2, "badges");
    upload(fleet, "", "batch", &good).assert_refused(400, "would run twice");
    upload(fleet, "k", "fine-tune", &good).assert_refused(400, "`purpose` must be \"batch\"");
    upload(fleet, "k", "batch", "\n").assert_refused(400, "no requests");
    let mixed = format!("{good}\n\n{}", lines(1, "other-llm"));
    upload(fleet, "k", "batch", &mixed).assert_refused(400, "line 4: the model is \"other-llm\"");
    post(fleet, "/v1/files", "k", &json!({})).assert_refused(400, "boundary");
    let file = id(&upload(fleet, "twice", "batch", &format!("{good}\n{good}")).assert_accepted());
    let create = json!({ "input_file_id": file });
    post(fleet, "/v1/batches", "twice", &create)
        .assert_refused(400, "\"item-0\" is on line 1 and on");
}

fn finished_batch(fleet: &Fleet) -> String {
    let (count, text) = (1_100, lines(1_100, "badges"));
    let file = upload(fleet, "week-1", "batch", &text).assert_accepted();
    assert_eq!(file["bytes"], text.len(), "{file}");
    assert_eq!((&file["object"], &file["purpose"]), (&json!("file"), &json!("batch")));
    assert_eq!(upload(fleet, "week-1", "batch", &text).assert_accepted(), file);
    upload(fleet, "week-1", "batch", &lines(3, "badges")).assert_refused(409, "other content");
    let file = id(&file);
    let batch = file.replace("file-", "batch_");
    get(fleet, &format!("/v1/batches/{batch}")).assert_refused(404, "no job of this name");
    get(fleet, &format!("/v1/files/{file}/content")).assert_refused(400, "cannot be read back");

    let create = json!({ "input_file_id": file, "endpoint": "/v1/chat/completions",
        "completion_window": "24h" });
    post(fleet, "/v1/batches", "", &create).assert_refused(400, "would run twice");
    post(fleet, "/v1/batches", "week-2", &create).assert_refused(409, "another Idempotency-Key");
    let soon = json!({ "input_file_id": file, "completion_window": "1h" });
    post(fleet, "/v1/batches", "week-1", &soon).assert_refused(400, "only \"24h\"");
    let created = post(fleet, "/v1/batches", "week-1", &create).assert_accepted();
    assert_eq!(created["object"], "batch");
    assert_eq!(id(&created), batch);
    assert_eq!(id(&post(fleet, "/v1/batches", "week-1", &create).assert_accepted()), batch);

    let path = format!("/v1/batches/{batch}");
    fleet.wait_until("batch is completed", || get(fleet, &path).json()["status"] == "completed");
    let ended = get(fleet, &path).assert_accepted();
    let counts = json!({ "total": count, "completed": count, "failed": 0 });
    assert_eq!(ended["request_counts"], counts);
    assert_eq!(ended["error_file_id"], Value::Null);
    let output = ended["output_file_id"].as_str().expect("output file");
    let content = get(fleet, &format!("/v1/files/{output}/content"));
    assert_eq!(content.status, 200);
    let custom_ids: Vec<Value> = content
        .text
        .lines()
        .map(|l| serde_json::from_str::<Value>(l).expect("result is JSON")["custom_id"].clone())
        .collect();
    let all: Vec<Value> = (0..count).map(|at| json!(format!("item-{at}"))).collect();
    assert!(custom_ids == all, "one result per item, in order, over two pages");
    post(fleet, &format!("{path}/cancel"), "", &json!({})).assert_refused(409, "finished");
    batch
}

fn cancelled_batch(fleet: &Fleet) {
    // A model without an endpoint keeps the batch from finishing before it is cancelled.
    let file = id(&upload(fleet, "never", "batch", &lines(2, "absent-llm")).assert_accepted());
    let created =
        post(fleet, "/v1/batches", "never", &json!({ "input_file_id": file })).assert_accepted();
    assert_eq!(created["status"], "in_progress");
    let path = format!("/v1/batches/{}", id(&created));
    let cancelled = post(fleet, &format!("{path}/cancel"), "", &json!({})).assert_accepted();
    assert_eq!(
        (&cancelled["status"], &cancelled["output_file_id"]),
        (&json!("cancelled"), &Value::Null)
    );
    post(fleet, "/v1/batches", "never", &json!({ "input_file_id": file }))
        .assert_refused(409, "cancelled");
    get(fleet, "/v1/batches/batch_none").assert_refused(404, "no job of this name");
    get(fleet, "/v1/batches/none").assert_refused(404, "begins \"batch_\"");
}

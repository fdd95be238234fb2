//! Translation of the platform's formats, and parsing of host settings.

#[path = "../platform/mod.rs"]
mod platform;

use basilfield::fleet::directory;
use basilfield::fleet::ledger;
use basilfield::fleet::protocol::Protocol as _;
use basilfield::fleet::settings;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-1","host":"Nony24.example","prefix":"/a/","kind":"streaming","timeoutMs":5000,
"responseTargetMs":300,"priority":0,"split":[{"service":"s","weight":90},{"service":"t","weight":10}],
"maxAttempts":2,"sessionAffinity":true,"resumable":true,"gapTargetMs":300,"new":1},
{"name":"r-2","host":"ficu95.example","prefix":"/b/","kind":"batch","timeoutMs":15000,
"responseTargetMs":400,"runTargetMs":18000,"maxWaitS":60.5,"service":"s","maxAttempts":3}],
"services":[{"name":"t"},{"name":"s","healthPath":"/health","maxConns":200,
"engine":{"slots":8,"kvCapacity":134354}}],
"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000}}"#;

/// Guards against a field that is translated with a wrong meaning, unit or default.
#[test]
fn configuration() {
    let platform = platform::Platform::default();
    insta::assert_debug_snapshot!(platform.parse_config(CONFIG.as_bytes()).expect("valid"));
}

/// Guards against an unreadable configuration that is accepted, or refused without naming the
/// cause.
#[test]
fn unreadable_configurations() {
    let platform = platform::Platform::default();
    let cases = [
        CONFIG[..CONFIG.len() - 9].to_string(),
        CONFIG.replace("\"version\":7,", ""),
        CONFIG.replace("\"batch\"", "\"other\""),
        CONFIG.replace("\"weight\":90", "\"weight\":-1"),
        CONFIG.replace("60.5", "-1"),
        "[]".to_string(),
    ];
    let problem = |text: &String| match platform.parse_config(text.as_bytes()) {
        Ok(_) => "valid".to_string(),
        Err(problem) => problem.to_string(),
    };
    insta::assert_snapshot!(cases.iter().map(problem).collect::<Vec<_>>().join("\n"));
}

/// Guards against malformed bodies, which may come from other senders, that are accepted as the
/// registration of an endpoint.
#[test]
fn registrations_of_endpoints() {
    let platform = platform::Platform::default();
    let good = r#"{"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready","coldMs":0,"callSeq":4,"born":17}"#;
    let cases = [
        good.to_string(),
        good.replace(",\"born\":17", ""),
        good.replace("ready", "draining"),
        good.replace("ready", "busy"),
        good.replace("\"callSeq\":4", "\"callSeq\":\"4\""),
        good.replace(":17", ":17.5"),
        good.replace("10.128.0.9:8080", "nowhere"),
        good.replace("10.128.0.9:8080", "10.128.0.9:0"),
        good.replace("\"slots\":8,", ""),
        good.replace("\"version\":\"v1\",", ""),
        "\u{1}".to_string(),
    ];
    let read = |text: &String| match platform.parse_registration("i-1", text.as_bytes()) {
        Ok(e) => {
            let directory::Endpoint { id, start_time, seq, phase, address, build, .. } = e;
            format!("{id} {start_time}.{seq} {phase:?} {address} {build}")
        }
        Err(_) => "refused".to_string(),
    };
    insta::assert_snapshot!(cases.iter().map(read).collect::<Vec<_>>().join("\n"), @r"
    i-1 17.4 Ready 10.128.0.9:8080 v1
    i-1 0.4 Ready 10.128.0.9:8080 v1
    i-1 17.4 Draining 10.128.0.9:8080 v1
    refused
    refused
    refused
    refused
    refused
    refused
    refused
    refused
    ");
    let ids = ["i-1", "i 1", "i\u{e9}", ""];
    let read = ids.map(|id| platform.parse_registration(id, good.as_bytes()).is_ok());
    assert_eq!(read, [true, false, false, false], "ids are sent in a header");
}

/// Guards against an API call that is forwarded as a request, and a request taken for an API call.
#[test]
fn calls() {
    let platform = platform::Platform::default();
    let call = |text: &&str| {
        let (method, uri) = text.split_once(' ').expect("method and path");
        let (method, uri) = (method.parse().expect("method"), uri.parse().expect("path"));
        format!("{:?}", platform.parse_call(&method, &uri))
    };
    let cases = [
        "GET /-/ready",
        "PUT /-/config",
        "GET /-/config",
        "PUT /-/instances/i-1",
        "DELETE /-/instances/i-1",
        "PUT /-/instances",
        "POST /-/retire/store-1",
        "GET /-/retire/store-1",
        "GET /-/lots/7c41?after=12",
        "GET /-/lots/7c41",
        "GET /-/items/7c41?id=e5b2",
        "GET /-/lots/7c41?after=x",
        "GET /-/lots/7c41?after=-1",
        "GET /-/items/7c41",
        "DELETE /-/lots/7c41",
        "POST /a/-/ready",
        "POST /-/config",
    ];
    insta::assert_snapshot!(cases.iter().map(call).collect::<Vec<_>>().join("\n"));
}

/// Guards against items whose body, headers or order change, and results in a wrong format.
#[test]
fn jobs() {
    let platform = platform::Platform::default();
    let job = r#"{"items":[{"id":"e5","path":"/p/3","headers":{"X-B":"m","X-A":"540,400"},"body":"q83vEjRWeJA=","tokens":940}]}"#;
    let listed = |id: &str, outcome, output: &str| ledger::ItemResult {
        id: id.into(),
        outcome,
        output: output.to_string().into(),
    };
    let page = ledger::Page {
        total: 4,
        next: 3,
        results: vec![
            listed("a", ledger::Outcome::Completed, "one\ntwo"),
            listed("b", ledger::Outcome::Abandoned, ""),
        ],
    };
    let bad = [
        r#"{"items":[{"id":"e5","path":"/p/3","body":"***"}]}"#,
        r#"{"items":[{"id":"e5","body":""}]}"#,
        "{}",
    ];
    let mut seen = vec![format!("{:?}", platform.parse_submission(job.as_bytes()).expect("valid"))];
    seen.extend(bad.map(|text| {
        let refused = platform.parse_submission(text.as_bytes()).expect_err("not a job");
        refused.to_string()
    }));
    seen.push(String::from_utf8_lossy(&platform.encode_page(&page)).into_owned());
    insta::assert_snapshot!(seen.join("\n"));
}

/// Guards against settings that are accepted although the role needs more.
#[test]
fn settings_of_hosts() {
    let text = |role: &str, listen: &str, folder: &str| {
        format!(
            "[host]\nname = \"n\"\nrole = \"{role}\"\ndomain = \"d\"\naddress = \"10.0.0.1\"\n\
             {folder}\n[listen]\n{listen}\n[fleet]\nport = 7720\n\
             seeds = [\"10.0.0.3:80\", \"10.0.0.2:81\"]\nbootstrap = true\n"
        )
    };
    let callers = "callers = \"10.0.0.1:1\"\nready = \"10.0.0.1:2\"";
    let cases = [
        text("entry", callers, ""),
        text("entry", "", ""),
        text("control", "", "folder = \"/data\""),
        text("store", "", ""),
        text("store", "", "folder = \"/data\"").replace("port = 7720", "port = 0"),
        text("store", "", "folder = \"/data\"").replace("\"10.0.0.3:80\", \"10.0.0.2:81\"", ""),
    ];
    let check = |text: &String| match settings::parse(text) {
        Ok(settings) => format!("{} {}", settings.link(), settings.seeds().join(",")),
        Err(problems) => problems,
    };
    insta::assert_snapshot!(cases.iter().map(check).collect::<Vec<_>>().join("\n--\n"), @r"
    10.0.0.1:7720 10.0.0.2:7720,10.0.0.3:7720
    --
    listen.callers: required for this role
    listen.ready: required for this role
    --
    listen.operators: required for this role
    --
    host.folder: required for this role
    --
    fleet.port: must not be 0
    --
    fleet.seeds: at least one address is required
    ");
}

/// Guards against a malformed list of prompt parts that is read as another prompt, so that sound
/// requests are taken for ones that crash endpoints.
#[test]
fn prompts_of_requests() {
    let platform = platform::Platform::default();
    let cases = [
        "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
        "5c1e07a2:800",
        " a:1 , B:2",
        "ffffffffffffffff:1",
        "1ffffffffffffffff:1",
        "",
        "a:1,",
        "a",
        "x:1",
        "+a:1",
        "a:-1",
        ":1",
        "a:",
    ];
    let read = |list: &&str| match platform.parse_prompt(list) {
        Ok(prompt) => format!("{list}: {:x?} of {}", prompt.shared_ids(), prompt.parts.len()),
        Err(problem) => format!("{list}: {problem}"),
    };
    insta::assert_snapshot!(cases.iter().map(read).collect::<Vec<_>>().join("\n"), @r#"
    5c1e07a2:800,91bd3f06:410,e4402b7d:250: [5c1e07a2, 91bd3f06] of 3
    5c1e07a2:800: [] of 1
     a:1 , B:2: [a] of 2
    ffffffffffffffff:1: [] of 1
    1ffffffffffffffff:1: "1ffffffffffffffff:1" is no part of a prompt
    : "" is no part of a prompt
    a:1,: "" is no part of a prompt
    a: "a" is no part of a prompt
    x:1: "x:1" is no part of a prompt
    +a:1: "+a:1" is no part of a prompt
    a:-1: "a:-1" is no part of a prompt
    :1: ":1" is no part of a prompt
    a:: "a:" is no part of a prompt
    "#);
}

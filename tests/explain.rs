//! Timelines of requests from log lines, and the limit of log lines per second.

use basilfield::events;
use basilfield::explain;
use events::Permit;
use std::sync::atomic::AtomicU64;

const LOG: &str = r#"
noise
 12.1 entry-1 {"msg":"attempt sent","level":"DEBG","ts":"10:00:02","host":"entry-1","request":"r1","endpoint":"i-1","running":"3","event":705}
{"msg":"endpoint avoided","level":"WARN","ts":"10:00:03","host":"entry-2","endpoint":"i-1","error":"reset","event":611}
{"msg":"endpoint avoided","level":"WARN","ts":"10:00:03","host":"entry-2","endpoint":"i-2","error":"reset","event":611}
{"msg":"replica role changed","level":"INFO","ts":"10:00:03","host":"store-1","role":"leader","event":300}
{"msg":"replica role changed","level":"INFO","ts":"10:00:09","host":"store-1","role":"follower","event":300}
{"msg":"request refused","level":"DEBG","ts":"10:00:04","host":"entry-1","request":"r1","reason":"full","event":700}
{"msg":"attempt sent","level":"DEBG","ts":"10:00:03","host":"entry-1","request":"r2","endpoint":"i-1","event":705}
{"msg":"job accepted","level":"INFO","ts":"10:00:05","host":"entry-1","request":"j","items":2,"event":500}
{"msg":"item done","level":"DEBG","ts":"10:00:07","host":"store-1","job":"j","request":"j-0","event":507}
"#;

/// Guards against a timeline in the wrong order, with lines of other requests, or without the
/// events of the request's endpoint in the same period.
#[test]
fn timelines_are_ordered_and_complete() {
    let mut logs = explain::Logs::default();
    logs.add(LOG);
    let timeline = |id| logs.explain(id).unwrap_or_else(|| "none\n".into());
    let all =
        [timeline("r1"), timeline("j"), timeline("r9"), format!("{} skipped", logs.skipped())];
    insta::assert_snapshot!(all.concat(), @r"
    10:00:02 entry-1 [705] attempt sent endpoint=i-1 running=3
    10:00:03~entry-2 [611] endpoint avoided endpoint=i-1 error=reset
    10:00:03~store-1 [300] replica role changed role=leader
    10:00:04 entry-1 [700] request refused reason=full
    10:00:05 entry-1 [500] job accepted items=2
    10:00:07 store-1 [507] item done job=j
    none
    1 skipped
    ");
}

/// Guards against a timeline that does not tell why an endpoint was not chosen: another host marked
/// it, or it was marked long before the request.
#[test]
fn left_out_endpoint_is_explained() {
    let mut logs = explain::Logs::default();
    logs.add(concat!(
        r#"{"msg":"endpoint is leaving","ts":"10:00:01","host":"entry-1","endpoint":"i-1","told_by":"r0","event":614}"#,
        "\n",
        r#"{"msg":"endpoint is leaving","ts":"10:00:02","host":"entry-2","endpoint":"i-1","told_by":"r7","event":614}"#,
        "\n",
        r#"{"msg":"endpoint is leaving","ts":"10:00:02","host":"entry-1","endpoint":"i-3","told_by":"r8","event":614}"#,
        "\n",
        r#"{"msg":"leaving endpoints left out","ts":"10:00:04","host":"entry-1","request":"r1","leaving":"i-1,i-2","count":2,"event":617}"#,
        "\n",
        r#"{"msg":"attempt sent","ts":"10:00:05","host":"entry-1","request":"r1","endpoint":"i-4","event":705}"#,
    ));
    insta::assert_snapshot!(logs.explain("r1").unwrap_or_default(), @r"
    10:00:01~entry-1 [614] endpoint is leaving endpoint=i-1 told_by=r0
    10:00:04 entry-1 [617] leaving endpoints left out count=2 leaving=i-1,i-2
    10:00:05 entry-1 [705] attempt sent endpoint=i-4
    ");
}

/// Guards against logs whose volume grows with the load, and against lines that are left out
/// without being counted.
#[test]
fn lines_per_second_are_limited() {
    let limit = AtomicU64::new(0);
    let mut first = [0, 0];
    for _ in 0..1_000 {
        match events::permit_at(&limit, 1) {
            Permit::Write => first[0] += 1,
            _ => first[1] += 1,
        }
    }
    let next = [events::permit_at(&limit, 2), events::permit_at(&limit, 2)];
    insta::assert_snapshot!(format!("{first:?} {next:?}"),
        @"[200, 800] [WriteAfter(800), Write]");
}

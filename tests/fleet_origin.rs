//! Origins of streams: how long a record counts, who keeps it, and where a stream may go on.

use basilfield::fleet::builds;
use basilfield::fleet::origin;
use std::sync::Arc;
use std::time::Duration;

fn record(stream: &str, build: &str, keep_ms: u64) -> origin::Record {
    let origin = origin::Origin { service: "s".into(), build: build.into() };
    origin::Record { stream: stream.into(), origin, keep_ms }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against records that stay for ever or expire too soon, also when they are repeated.
#[test]
fn record_counts_until_it_expires() {
    let mut origins = origin::Origins::default();
    origins.insert(ms(0), record("a", "v1", 500));
    origins.insert(ms(0), record("b", "v2", 500));
    // Entries repeat their records with the time that is left.
    origins.insert(ms(10), record("a", "v1", 500));
    origins.insert(ms(10), record("b", "v2", 490));
    let find = |origins: &origin::Origins, now, stream| {
        origins.find(ms(now), stream).map_or("-".into(), |r| format!("{}", r.origin.build))
    };
    let mut seen = Vec::new();
    for now in [20, 505] {
        seen.push(format!("{} {}", find(&origins, now, "a"), find(&origins, now, "b")));
    }
    origins.remove_expired(ms(505));
    seen.push(format!("{} left", origins.records(ms(505)).len()));
    insta::assert_snapshot!(seen.join(", "), @"v1 v2, v1 -, 1 left");
}

/// Guards against unbounded memory while very many streams begin.
#[test]
fn number_of_records_is_bounded() {
    let mut origins = origin::Origins::default();
    for n in 0..60_000 {
        origins.insert(ms(n / 100), record(&format!("s{n}"), "v1", 600_000));
    }
    let known = |n: u64| origins.find(ms(700), &format!("s{n}")).is_some();
    assert_eq!(
        (origins.records(ms(700)).len(), known(9_999), known(10_000)),
        (50_000, false, true)
    );
}

/// Guards against records that all go to the same control hosts, and against a cost of a stream that
/// grows with the fleet.
#[test]
fn records_spread_over_the_control_hosts() {
    let controls: Vec<Arc<str>> = (0..5).map(|n| format!("10.0.0.{n}:1").into()).collect();
    let mut counts = [0; 5];
    for n in 0..1_000 {
        let keepers = origin::keepers(&format!("stream-{n}"), controls.clone(), 3);
        assert_eq!(keepers.len(), 3);
        for keeper in keepers {
            counts[controls.iter().position(|c| *c == keeper).expect("one of them")] += 1;
        }
    }
    assert!(counts.iter().all(|n| (500..700).contains(n)), "{counts:?}");
    let few = origin::keepers("stream", controls[..2].to_vec(), 3);
    assert_eq!(few.len(), 2);
}

/// Guards against a stream that goes on at a build which may not be the one that began it, because the
/// builds are not confirmed or are several, and against refusing one that can have begun at one build
/// only.
#[test]
fn stream_of_unknown_origin_goes_on_at_the_only_build() {
    let at = |service: &str, build: &str| origin::Origin {
        service: service.into(),
        build: build.into(),
    };
    let (v1, v2) = (at("s", "v1"), at("s", "v2"));
    // The first one is not confirmed, the last one a route to two services.
    let confirmed = [
        None,
        Some(vec![]),
        Some(vec![v1.clone()]),
        Some(vec![v1.clone(), v2]),
        Some(vec![v1, at("t", "v1")]),
    ];
    let found = record("a", "v2", 500).origin;
    let mut seen = Vec::new();
    for found in [Some(found), None] {
        let decide = |builds: &Option<Vec<origin::Origin>>| match origin::continuation(
            found.clone(),
            builds.as_deref(),
        ) {
            origin::Continuation::At(origin) => origin.build.to_string(),
            origin::Continuation::Unknown => "-".to_string(),
        };
        seen.push(confirmed.iter().map(decide).collect::<Vec<_>>().join(" "));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    v2 v2 v2 v2 v2
    - - v1 - -
    ");
}

/// Guards against builds that are removed while a stream of theirs may still be taken up, that stay for
/// ever, or that are as many as endpoints care to name.
#[test]
fn builds_are_kept_as_long_as_their_streams() {
    let build = |n: u64| origin::Origin { service: "s".into(), build: format!("v{n}").into() };
    let mut known = builds::Builds::default();
    known.add(build(1));
    known.add(build(2));
    let mut unused = builds::UnusedBuilds::default();
    let mut removed = Vec::new();
    for s in 0..2_000 {
        // The first build has no endpoint from 100 s on, but for a moment at 500 s.
        let is_used = |b: &origin::Origin| *b == build(2) || s < 100 || s == 500;
        let expired = unused.expired(ms(s * 1_000), known.all(), is_used);
        if !expired.is_empty() {
            removed.push((s, expired.len()));
            known.remove(&expired);
        }
    }
    let added = (0..5_000).filter(|n| known.add(build(*n))).count();
    insta::assert_snapshot!(format!("{removed:?} {added} {}", known.all().len()), @"[(1102, 1)] 1000 1000");
}

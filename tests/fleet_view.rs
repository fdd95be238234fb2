//! Updates of what a host knows about the fleet.

#[path = "../platform/mod.rs"]
mod platform;

use basilfield::fleet::control_state;
use basilfield::fleet::directory;
use basilfield::fleet::documents;
use basilfield::fleet::frame;
use basilfield::fleet::settings;
use basilfield::fleet::view;
use slog::Drain as _;
use std::sync::Arc;
use std::sync::Barrier;
use std::sync::Mutex;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);

fn view(link: &str) -> view::View {
    view_with_log(link, &slog::Logger::root(slog::Discard, slog::o!()))
}

fn view_with_log(link: &str, log: &slog::Logger) -> view::View {
    let own = directory::Host {
        name: link.into(),
        link: link.into(),
        role: settings::Role::Control,
        domain: "d".into(),
        start_time: 1,
        seq: 0,
        replica: None,
        silent: false,
    };
    view::View::new(own, vec!["seed".into()], Arc::new(platform::Platform::default()), log)
}

/// Collects log lines in memory.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl LogBuffer {
    /// Number of configurations that replaced one with the same or a higher version.
    fn regressions(&self) -> usize {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        let lines = text.lines().map(|l| serde_json::from_str::<serde_json::Value>(l).unwrap());
        let changes: Vec<(u64, u64)> = lines
            .filter(|l| l["event"] == 405)
            .map(|l| (l["before"].as_u64().unwrap(), l["version"].as_u64().unwrap()))
            .collect();
        let continues = |pair: &[(u64, u64)]| pair[0].1 == pair[1].0;
        let gaps = changes.windows(2).filter(|pair| !continues(pair)).count();
        gaps + changes.iter().filter(|(before, version)| before >= version).count()
    }
}

fn document(version: u64, timeout: u64) -> control_state::Document {
    let text = format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"h","prefix":"/","kind":"safe",
        "timeoutMs":{timeout},"service":"s"}}],"services":[{{"name":"s"}}]}}"#
    );
    control_state::Document { version, text: text.into() }
}

fn active_config(view: &view::View) -> String {
    view.active_config().map_or("none".to_string(), |f| {
        format!("{} {:?}", f.document.version, f.config.routes[0].timeout)
    })
}

/// Guards against a host that returns to an older configuration, accepts different content under
/// the same version, or activates a configuration that it cannot parse.
#[test]
fn versions_only_rise() {
    let v = view("a");
    let mut seen = vec![active_config(&v)];
    let unreadable = control_state::Document { version: 9, text: "{".into() };
    let documents =
        [document(5, 100), document(3, 200), document(5, 300), unreadable, document(6, 400)];
    for document in documents {
        let taken = v.apply_document(document);
        seen.push(format!("{taken} {}", active_config(&v)));
    }
    insta::assert_snapshot!(seen.join("\n"), @r"
    none
    true 5 100ms
    false 5 100ms
    false 5 100ms
    false 5 100ms
    true 6 400ms
    ");
}

/// Guards against a host that never receives records it lacks, and against one that is sent all
/// records again and again.
#[test]
fn announcements_bring_missing_records() {
    let (control, other) = (view("a"), view("b"));
    control.apply_document(document(5, 100));
    control.apply_placement(control_state::Placement::new([("s1".into(), 1)]));
    let mut rounds = 0;
    loop {
        let announcement = other.announcement(1);
        let same = control.has_same_directory(&announcement);
        let Some(update) = control.missing_update(&announcement, !same) else { break };
        other.apply_update(NOW, update);
        // The control host registers the other host when it receives its announcement.
        control.directory(|d| d.register_host(NOW, other.announcement(1).host));
        rounds += 1;
        assert!(rounds < 5, "both agree after a few announcements");
    }
    // The host fetches a configuration that is newer than the one in its announcement.
    assert_eq!((other.announcement(1).version, control.config_version()), (0, 5));
    let fetched = control.encode_config(other.held_config()).expect("encoded").expect("newer");
    assert_eq!(other.apply_encoded(&fetched), Ok(true));
    let members = [other.members(0), other.members(1)].map(|m| m.join(" "));
    insta::assert_snapshot!(format!("{rounds} {} {members:?}", active_config(&other)),
        @r#"1 5 100ms ["a seed", "s1"]"#);
    assert_eq!(other.apply_encoded(&fetched), Ok(false), "a repeated answer changes nothing");
    let mut different = documents::Documents::default();
    different.record(document(5, 9));
    let again = different.encode(frame::HeldConfig::default()).expect("encoded").expect("newer");
    assert_eq!(other.apply_encoded(&again), Ok(false), "nothing else takes the same version");
    assert_eq!(control.encode_config(other.held_config()), Ok(None), "nothing to fetch");
    assert!(other.apply_update(NOW, frame::Update::default()).is_none(), "nothing to pass on");
}

/// Guards against a host that keeps an older configuration because two connections delivered a newer
/// one and an older one at the same time.
#[test]
fn concurrent_documents_leave_the_newest_in_force() {
    const ROUNDS: usize = 300;
    const VERSIONS: u64 = 4;
    let (mut older, mut regressions) = (0, 0);
    for _ in 0..ROUNDS {
        let lines = LogBuffer::default();
        let drain = slog_json::Json::default(lines.clone()).map(slog::Fuse);
        let log = slog::Logger::root(Mutex::new(drain).map(slog::Fuse), slog::o!());
        let v = view_with_log("a", &log);
        let start = Barrier::new(VERSIONS as usize);
        std::thread::scope(|scope| {
            for version in 1..=VERSIONS {
                let (v, start) = (&v, &start);
                scope.spawn(move || {
                    start.wait();
                    v.apply_document(document(version, 100));
                });
            }
        });
        older += usize::from(v.active_config().is_some_and(|c| c.document.version < VERSIONS));
        regressions += lines.regressions();
    }
    assert_eq!((older, regressions), (0, 0), "rounds with an older version, and steps back");
}

/// Guards against a host that takes the only build it has heard of for the only one there is: after
/// its start, changes of the directory reach it before the whole directory does.
#[test]
fn pushed_change_passes_for_the_whole_directory() {
    let (control, started) = (view("control"), view("entry"));
    let endpoint = |id: &str, build: &str| directory::Endpoint {
        id: id.into(),
        start_time: 1,
        seq: 1,
        service: "a".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "d".into(),
        build: build.into(),
        slots: 8,
        phase: directory::Phase::Ready,
    };
    let (old, new) = (
        endpoint("i", "v1"),
        directory::Endpoint { address: ([127, 0, 0, 2], 80).into(), ..endpoint("j", "v2") },
    );
    control.directory(|d| d.register_endpoint(NOW, old));
    control.directory(|d| d.register_endpoint(NOW, new.clone()));
    let records = directory::Records { endpoints: vec![new], hosts: Vec::new() };
    started.apply_update(NOW, frame::Update { records, ..frame::Update::default() });
    let known = |view: &view::View| {
        let builds: Vec<Arc<str>> =
            view.directory(|d| d.endpoints().map(|e| e.build.clone()).collect());
        format!("{builds:?} whole {}", view.has_whole_directory())
    };
    let mut seen = vec![known(&started)];
    let whole = control.missing_update(&started.announcement(1), true).expect("an update");
    started.apply_update(NOW, whole);
    seen.push(known(&started));
    insta::assert_snapshot!(seen.join("\n"), @r#"
    ["v2"] whole false
    ["v1", "v2"] whole true
    "#);
}

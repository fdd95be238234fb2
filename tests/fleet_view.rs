//! Updates of what a host knows about the fleet.

#[path = "../platform/mod.rs"]
mod platform;

use basilfield::fleet::control_state;
use basilfield::fleet::directory;
use basilfield::fleet::frame;
use basilfield::fleet::settings;
use basilfield::fleet::view;
use std::sync::Arc;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);

fn view(link: &str) -> view::View {
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
    let log = slog::Logger::root(slog::Discard, slog::o!());
    view::View::new(own, vec!["seed".into()], Arc::new(platform::Platform::default()), &log)
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
    while let Some(update) = control.missing_update(&other.announcement(1)) {
        other.apply_update(NOW, update);
        // The control host registers the other host when it receives its announcement.
        control.directory(|d| d.register_host(NOW, other.announcement(1).host));
        rounds += 1;
        assert!(rounds < 5, "both agree after a few announcements");
    }
    let members = [other.members(0), other.members(1)].map(|m| m.join(" "));
    insta::assert_snapshot!(format!("{rounds} {} {members:?}", active_config(&other)),
        @r#"1 5 100ms ["a seed", "s1"]"#);
    let again = frame::Update { document: Some(document(5, 9)), ..frame::Update::default() };
    assert!(other.apply_update(NOW, again).is_none(), "nothing to pass on");
}

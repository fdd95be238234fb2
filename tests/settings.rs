//! Validation of settings files and its error messages.

use basilfield::settings;

/// A valid file with every role. Tests replace one line of it.
const VALID: &str = r#"
[process]
name = "osu-1"
domain = "osu-hall"

[tls]
ca = "ca.pem"
cert = "osu-1.pem"
key = "osu-1.key"

[fleet]
groups = 1

[[fleet.hosts]]
name = "osu-1"
address = "127.0.0.1:7101"

[entry]
listen = "127.0.0.1:7301"

[state]
listen = "127.0.0.1:7101"
folder = "data"

[agent]
listen = "127.0.0.1:7201"
announce = "127.0.0.1:7202"
"#;

fn refusal(text: &str) -> String {
    settings::parse(text, "site.toml".into()).expect_err("settings are refused").to_string()
}

/// Message for a file in which `line` is added after `anchor`.
fn refusal_with(anchor: &str, line: &str) -> String {
    assert_eq!(VALID.matches(anchor).count(), 1, "{anchor}");
    refusal(&VALID.replace(anchor, &format!("{anchor}\n{line}")))
}

/// Guards the other tests of this file against a base file that is refused for another reason.
#[test]
fn base_file_is_valid() {
    settings::parse(VALID, "site.toml".into()).expect("settings are valid");
}

/// Guards against a misspelt key that is silently ignored, so that its default applies.
#[test]
fn unknown_keys_are_refused_by_name_and_line() {
    insta::assert_snapshot!(refusal_with("[state]", "heartbeet = 50"), @r#"
    settings site.toml: TOML parse error at line 22, column 1
       |
    22 | heartbeet = 50
       | ^^^^^^^^^
    unknown field `heartbeet`, expected one of `listen`, `folder`, `heartbeat`, `election`, `snapshot`, `retention`
    "#);
    insta::assert_snapshot!(refusal(&format!("{VALID}\n[agnet]\nqueue = 1\n")), @r#"
    settings site.toml: TOML parse error at line 29, column 2
       |
    29 | [agnet]
       |  ^^^^^
    unknown field `agnet`, expected one of `process`, `tls`, `fleet`, `entry`, `state`, `agent`
    "#);
    insta::assert_snapshot!(refusal_with("groups = 1", "group = 2"), @r#"
    settings site.toml: TOML parse error at line 13, column 1
       |
    13 | group = 2
       | ^^^^^
    unknown field `group`, expected `groups` or `hosts`
    "#);
}

/// Guards against a message that does not say what is missing or of the wrong type.
#[test]
fn missing_and_mistyped_keys_are_named() {
    insta::assert_snapshot!(refusal(&VALID.replace("folder = \"data\"\n", "")), @r#"
    settings site.toml: TOML parse error at line 21, column 1
       |
    21 | [state]
       | ^^^^^^^
    missing field `folder`
    "#);
    insta::assert_snapshot!(refusal_with("[state]", "heartbeat = \"fast\""), @r#"
    settings site.toml: TOML parse error at line 22, column 13
       |
    22 | heartbeat = "fast"
       |             ^^^^^^
    invalid type: string "fast", expected u64
    "#);
}

/// Guards against accepted values with which a process cannot work, and against messages without
/// field, value or permitted range.
#[test]
fn values_out_of_range_name_field_value_and_range() {
    let cases = [
        ("[entry]", "freshness = 499"),
        ("[entry]", "freshness = 60001"),
        ("[entry]", "stall = 199"),
        ("[entry]", "body = 1023"),
        ("[entry]", "concurrency = 0"),
        ("[entry]", "turnaway = 600001"),
        ("[entry]", "subset = 0"),
        ("[state]", "heartbeat = 9"),
        ("[state]", "heartbeat = 100\nelection = 499"),
        ("[state]", "snapshot = 99"),
        ("[state]", "retention = 0"),
        ("[state]", "retention = 3651"),
        ("[agent]", "queue = 0"),
        ("[agent]", "stall = 60001"),
        ("domain = \"osu-hall\"", "region = \"Accra\""),
    ];
    let mut text: String =
        cases.iter().map(|(anchor, line)| refusal_with(anchor, line) + "\n").collect();
    text += &refusal(&VALID.replace("groups = 1", "groups = 257"));
    insta::assert_snapshot!(text, @r#"
    settings site.toml: entry.freshness = 499: 500 to 60000 ms are permitted
    settings site.toml: entry.freshness = 60001: 500 to 60000 ms are permitted
    settings site.toml: entry.stall = 199: 200 to 60000 ms are permitted
    settings site.toml: entry.body = 1023: 1024 to 1073741824 bytes are permitted
    settings site.toml: entry.concurrency = 0: 1 to 1000000 are permitted
    settings site.toml: entry.turnaway = 600001: 0 to 600000 ms are permitted
    settings site.toml: entry.subset = 0: at least 1 is expected
    settings site.toml: state.heartbeat = 9: 10 to 5000 ms are permitted
    settings site.toml: state.election = 499: at least five times state.heartbeat is expected
    settings site.toml: state.snapshot = 99: at least 100 entries are expected
    settings site.toml: state.retention = 0: 1 to 3650 days are permitted
    settings site.toml: state.retention = 3651: 1 to 3650 days are permitted
    settings site.toml: agent.queue = 0: at least 1 is expected
    settings site.toml: agent.stall = 60001: 200 to 60000 ms are permitted
    settings site.toml: process.region = Accra: 1 to 63 of a-z, 0-9, '-' are expected, with a letter or digit first
    settings site.toml: fleet.groups = 257: a number from 1 to 256 is expected
    "#);
}

/// Guards against accepted settings that contradict each other: no role, a state host that the
/// fleet does not list, two hosts with the same name, and a key in place of its hash.
#[test]
fn contradictions_are_explained() {
    let role = VALID.find("[entry]").expect("roles");
    let operator = "[[entry.operators]]\nname = \"ama\"\nkey = \"secret\"\n";
    let host = "[[fleet.hosts]]\nname = \"osu-1\"\naddress = \"127.0.0.1:7102\"\n";
    let texts = [
        refusal(&VALID[..role]),
        refusal(&VALID.replacen("name = \"osu-1\"", "name = \"osu-2\"", 1)),
        refusal(&format!("{VALID}{host}")),
        refusal(&format!("{VALID}{operator}")),
    ];
    insta::assert_snapshot!(texts.join("\n"), @r#"
    settings site.toml: roles = none: at least one of [entry], [state], [agent] is expected
    settings site.toml: process.name = osu-2: a process with the state role must be listed in fleet.hosts
    settings site.toml: fleet.hosts = osu-1, osu-1: names must be unique
    settings site.toml: entry.operators.key = ama: 64 hexadecimal digits (SHA-256 of the key) are expected
    "#);
    let permitted = VALID.replace("[state]", "[state]\nheartbeat = 10\nelection = 50");
    settings::parse(&permitted, "site.toml".into()).expect("the limits themselves are permitted");
}

//! Command `cert`: authority and certificates in files.

use argh::FromArgs as _;
use basilfield::cmd::cert;
use basilfield::tls;
use std::path::Path;
use std::process::ExitCode;

fn run(dir: &Path, args: &[&str]) -> ExitCode {
    let dir = dir.to_str().unwrap();
    let args: Vec<&str> = args.iter().copied().chain(["--dir", dir]).collect();
    cert::run(&cert::Cert::from_args(&["cert"], &args).unwrap())
}

/// Guards against overwriting an authority, after which the certificates of the fleet no longer
/// verify, and against certificates that do not load.
#[test]
fn authority_is_created_once_and_issues_certificates() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path();
    assert_eq!(run(path, &["issue", "--name", "agent-1"]), ExitCode::FAILURE, "no authority yet");
    assert_eq!(run(path, &["ca"]), ExitCode::SUCCESS);
    let before = std::fs::read(path.join("ca.key")).unwrap();
    assert_eq!(run(path, &["ca"]), ExitCode::FAILURE);
    assert_eq!(std::fs::read(path.join("ca.key")).unwrap(), before);
    assert_eq!(run(path, &["issue", "--name", "agent-1", "--days", "30"]), ExitCode::SUCCESS);
    let identity = tls::Identity::load_from(path, "agent-1").unwrap();
    assert_eq!(identity.expires_in().div_ceil(86_400), 30);
    assert_eq!(run(path, &["issue", "--name", "ca"]), ExitCode::FAILURE);
    assert_eq!(run(path, &["issue", "--name", "a/b"]), ExitCode::FAILURE);
    assert_eq!(run(path, &["issue", "--name", "b", "--days", "0"]), ExitCode::FAILURE);
    assert_eq!(run(path, &["show"]), ExitCode::SUCCESS);
    std::fs::write(path.join("broken.pem"), "no certificate").unwrap();
    assert_eq!(run(path, &["show"]), ExitCode::FAILURE);
}

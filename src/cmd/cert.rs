//! `basilfield cert`: manages the certificate authority of a fleet and the certificates of its
//! processes.
//!
//! ```text
//! basilfield cert ca --dir DIR                        create the authority; fails if one exists
//! basilfield cert issue --dir DIR --name N [--days D] issue a certificate for the process N
//! basilfield cert show --dir DIR                      list the certificates and their expiry
//! ```
//!
//! The files are in PEM format and readable only by their owner: `ca.pem` and `ca.key`, `N.pem` and
//! `N.key`. A process needs `ca.pem`, `N.pem` and `N.key`. Keep `ca.key` away from the hosts of the
//! fleet: whoever has it can join the fleet under any name.

use crate::errors;
use crate::tls;
use argh::FromArgs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

const SECONDS_PER_DAY: u64 = 86_400;

/// Create the fleet authority, issue certificates and show their expiry.
#[derive(FromArgs, PartialEq, Debug)]
#[argh(subcommand, name = "cert")]
pub struct Cert {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs, PartialEq, Debug)]
#[argh(subcommand)]
enum Action {
    Ca(Ca),
    Issue(Issue),
    Show(Show),
}

/// Create the authority of the fleet; refuses to replace an existing one.
#[derive(FromArgs, PartialEq, Debug)]
#[argh(subcommand, name = "ca")]
struct Ca {
    /// folder for ca.pem and ca.key
    #[argh(option)]
    dir: PathBuf,
}

/// Issue a certificate for a process; replaces an earlier one of the same name.
#[derive(FromArgs, PartialEq, Debug)]
#[argh(subcommand, name = "issue")]
struct Issue {
    /// folder that holds ca.pem and ca.key and receives NAME.pem and NAME.key
    #[argh(option)]
    dir: PathBuf,
    /// name of the process, a valid DNS name
    #[argh(option)]
    name: String,
    /// validity in days (default 365)
    #[argh(option, default = "tls::DEFAULT_VALIDITY_DAYS")]
    days: u32,
}

/// List the certificates in a folder and when they expire.
#[derive(FromArgs, PartialEq, Debug)]
#[argh(subcommand, name = "show")]
struct Show {
    /// folder with PEM files
    #[argh(option)]
    dir: PathBuf,
}

/// Runs the command. The exit code is 1 on an error, and for `show` if a certificate has expired.
pub fn run(args: &Cert) -> ExitCode {
    let result = match &args.action {
        Action::Ca(ca) => create_authority(&ca.dir),
        Action::Issue(issue) => issue_certificate(issue),
        Action::Show(show) => list_certificates(&show.dir),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("basilfield cert: {error}");
            ExitCode::FAILURE
        }
    }
}

fn create_authority(dir: &Path) -> Result<ExitCode, errors::Error> {
    let key = dir.join("ca.key");
    if key.exists() {
        let cause = "the folder already has an authority, which is never replaced";
        return Err(errors::Error::invalid("create authority", key.display().to_string(), cause));
    }
    tls::Authority::create()?.save(dir)?;
    println!("created {} and {}", dir.join("ca.pem").display(), dir.join("ca.key").display());
    Ok(ExitCode::SUCCESS)
}

fn issue_certificate(args: &Issue) -> Result<ExitCode, errors::Error> {
    if args.days == 0 || args.days > tls::CA_VALIDITY_DAYS {
        let cause = format!("the validity must be 1 to {} days", tls::CA_VALIDITY_DAYS);
        return Err(errors::Error::invalid("issue certificate", &*args.name, cause));
    }
    tls::Authority::load(&args.dir)?.issue(&args.name, args.days)?.save(&args.dir)?;
    // Loads the written files, so that files that cannot be loaded are reported now and not when
    // the process starts. This does not detect a `ca.key` that belongs to another `ca.pem`.
    let identity = tls::Identity::load_from(&args.dir, &args.name)?;
    println!("issued {} for {}", identity.name(), format_days(identity.expires_in()));
    Ok(ExitCode::SUCCESS)
}

fn list_certificates(dir: &Path) -> Result<ExitCode, errors::Error> {
    let mut expired = false;
    for path in pem_files(dir)? {
        let certificate = tls::read_certificate_info(&path)?;
        let left = tls::seconds_until(certificate.expiry);
        expired |= left == 0;
        let state = if left == 0 { "expired".to_string() } else { format_days(left) };
        println!("{}\t{}\t{state}", path.display(), certificate.name);
    }
    Ok(if expired { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn pem_files(dir: &Path) -> Result<Vec<PathBuf>, errors::Error> {
    let read_error =
        |e: std::io::Error| errors::Error::io("read folder", dir.display().to_string(), e);
    let mut files = Vec::new();
    for entry in std::fs::read_dir(dir).map_err(read_error)? {
        let path = entry.map_err(read_error)?.path();
        if path.extension().is_some_and(|extension| extension == "pem") {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn format_days(seconds: u64) -> String {
    // Rounds to the nearest day: a certificate just issued for 365 days has slightly less left.
    format!("{} days", (seconds + SECONDS_PER_DAY / 2) / SECONDS_PER_DAY)
}

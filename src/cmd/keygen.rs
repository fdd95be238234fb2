//! `basilfield keygen`: generates a key for a caller or operator and prints it with its hash.
//!
//! Give the key to the caller or operator. Templates and settings contain only the hash.

use crate::entry::auth;
use std::process::ExitCode;

/// Make a key for a caller or operator and print it with its hash.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "keygen")]
pub struct Keygen {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// print the hash of this key instead of making one
    #[argh(option)]
    pub hash: Option<String>,
}

/// Runs the command.
pub fn run(args: &Keygen) -> ExitCode {
    let random_key = || format!("bf-{:032x}", rand::random::<u128>());
    let key = args.hash.clone().unwrap_or_else(random_key);
    let hash = auth::hash_key(&key);
    match args.json {
        true => println!("{}", serde_json::json!({ "key": key, "sha256": hash })),
        false => println!("key     {key}\nsha256  {hash}"),
    }
    ExitCode::SUCCESS
}

//! Entry point of the `basilfield` binary.

#[path = "../platform/mod.rs"]
mod platform;

fn main() -> std::process::ExitCode {
    basilfield::cmd::run(std::sync::Arc::new(platform::Platform::default()))
}

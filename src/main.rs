//! Entry point of the `basilfield` binary.

fn main() -> std::process::ExitCode {
    basilfield::cmd::run()
}

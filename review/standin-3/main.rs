//! Stand-ins for the platform, its operator, clients and servers, and the cases that use them. Only
//! the standard library is used. Usage: `case NAME FOLDER`; the record goes to FOLDER/record.txt.
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod fleet;
mod http;
mod server;

use std::fs::File;
use std::io::Write as _;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

/// Time after which a case ends, whatever it does.
const LIMIT: Duration = Duration::from_secs(112);

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Writes a line to the record, with the milliseconds since the start.
pub fn record(line: &str) {
    let (file, start) = RECORD.get().expect("the record is open");
    let mut file = file.lock().expect("not poisoned");
    let _ = writeln!(file, "{:>7} {line}", start.elapsed().as_millis());
}

/// Ends all processes of the case, and then this one.
pub fn end(code: i32) -> ! {
    fleet::kill_all();
    record(&format!("exit {code}"));
    std::process::exit(code)
}

/// Ends the case because it could not run.
pub fn cannot_run(why: &str) -> ! {
    record(&format!("the case could not run: {why}"));
    eprintln!("the case could not run: {why}");
    end(2)
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &args[..] else {
        eprintln!("usage: case NAME FOLDER");
        std::process::exit(2);
    };
    let Ok(file) = File::create(format!("{folder}/record.txt")) else {
        eprintln!("cannot write {folder}/record.txt");
        std::process::exit(2);
    };
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
    // A panic must not leave processes behind.
    std::panic::set_hook(Box::new(|info| cannot_run(&info.to_string())));
    // Without the disruption, a case does all else that it does with it.
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    record(&format!("case {name}, with the disruption: {trouble}"));
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        cannot_run("it took too long");
    });
    let broken = match &**name {
        "crashes" => cases::crash_under_items(trouble),
        "foreign" => cases::foreign_heartbeats(trouble),
        "full" => cases::full_server(trouble),
        "old-version" => cases::full_server_of_old_version(trouble),
        "long-id" => cases::long_part_id(trouble),
        other => cannot_run(&format!("there is no case {other}")),
    };
    println!("{}", if broken { "the rule was broken" } else { "the rule held" });
    end(i32::from(broken))
}

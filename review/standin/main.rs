mod fleet;
mod large_jobs;
mod new_route;
mod replaced;
mod two_builds;

use std::path::PathBuf;

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let record = fleet::Record::create(&PathBuf::from(args.next().expect("record file")));
    let code = match &*case {
        "large-jobs" => large_jobs::run(&record),
        "replaced" => replaced::run(&record),
        "two-builds" => two_builds::run(&record),
        "new-route" => new_route::run(&record),
        _ => 2,
    };
    std::process::exit(code);
}

//! Validation of configurations and matching of requests to routes and services.

use basilfield::fleet::routes;
use routes::Config;
use routes::Kind;
use routes::Route;
use routes::Service;
use routes::Share;
use std::time::Duration;

fn route(name: &str, host: &str, prefix: &str, shares: &[(&str, u64)]) -> Route {
    let share =
        |(service, weight): &(&str, u64)| Share { service: (*service).into(), weight: *weight };
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: Kind::Stream,
        timeout: Duration::from_secs(5),
        response_target: Duration::from_millis(300),
        gap_target: Duration::from_millis(300),
        priority: 0,
        is_open: false,
        shares: shares.iter().map(share).collect(),
        max_attempts: 2,
        resumable: true,
        due: Duration::ZERO,
        max_wait: None,
    }
}

fn service(name: &str) -> Service {
    Service { name: name.into(), slots: Some(8), token_capacity: None, max_connections: None }
}

fn config(routes: Vec<Route>) -> Result<Config, routes::Problem> {
    let services = vec![service("b"), service("a")];
    Config::new(7, routes, services, routes::Bounds::default(), Vec::new())
}

/// Guards against an invalid configuration that is accepted, and an error that does not name the
/// cause.
#[test]
fn problems_name_their_cause() {
    let zero = Route { timeout: Duration::ZERO, ..route("zero", "h", "/z/", &[("a", 1)]) };
    let cases = [
        vec![route("one", "h", "/p/", &[("a", 1)]), route("two", "h", "/p/", &[("b", 1)])],
        vec![route("one", "h", "/p/", &[("c", 1)])],
        vec![route("one", "h", "/p/", &[("a", 0), ("b", 0)])],
        vec![route("one", "h", "/p/", &[])],
        vec![zero],
    ];
    let problems: Vec<String> = cases
        .into_iter()
        .map(|routes| config(routes).expect_err("an invalid configuration").to_string())
        .collect();
    insta::assert_snapshot!(problems.join("\n"), @r"
    routes one and two: same host and prefix
    route one: unknown service c
    route one: the weights add up to 0
    route one: the weights add up to 0
    route zero: the time limit is 0
    ");
}

/// Guards against a request that matches a shorter prefix, another host or no route at all.
#[test]
fn longest_prefix_of_the_host() {
    let routes = vec![
        route("short", "one.example", "/a/", &[("a", 1)]),
        route("long", "one.example", "/a/b/", &[("a", 1)]),
        route("other", "two.example", "/", &[("b", 1)]),
    ];
    let config = config(routes).expect("valid");
    let find = |host, path| config.find_route(host, path).map_or("none", |r| &r.name).to_string();
    let found = [
        find("one.example", "/a/x"),
        find("one.example", "/a/b/x"),
        find("ONE.example:8080", "/a/b/x"),
        find("one.example", "/a"),
        find("one.example", "/c/"),
        find("two.example", "/a/b/x"),
        find("three.example", "/a/"),
        find("", "/a/"),
    ];
    insta::assert_snapshot!(found.join(" "), @"short long long none none other none none");
}

/// Guards against a service with weight zero that still gets requests.
#[test]
fn weights_split_requests() {
    let route = route("split", "h", "/", &[("a", 0), ("b", 3), ("c", 1), ("d", 0)]);
    let chosen: Vec<&str> = (0..8).filter_map(|n| route.choose_service(n)).map(|s| &**s).collect();
    insta::assert_snapshot!(chosen.join(" "), @"b b b c b b b c");
}

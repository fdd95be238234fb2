//! Requests to the replica groups, with replicas that answer late or do not lead.

#[path = "../platform/mod.rs"]
mod platform;

use basilfield::fleet::control_state;
use basilfield::fleet::directory;
use basilfield::fleet::frame;
use basilfield::fleet::groups;
use basilfield::fleet::ledger;
use basilfield::fleet::peer;
use basilfield::fleet::settings;
use basilfield::fleet::view;
use basilfield::metrics;
use basilfield::state::group;
use basilfield::wire;
use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time;

/// Time after which a slow leader answers: longer than a call to one host may take.
const SLOW_ANSWER: Duration = Duration::from_millis(2_500);
/// Longest wait of a client.
const LIMIT: Duration = Duration::from_secs(20);

/// Status of a replica of the job group that knows this leader.
fn status(leader: &Arc<str>) -> wire::Reply {
    wire::Reply::Groups(vec![wire::Group {
        group: groups::JOBS,
        id: 1,
        role: "voter".into(),
        term: 1,
        leader: Some(leader.clone()),
        commit: 0,
        voters: 3,
        live: 3,
        learners: 0,
        hosts: Vec::new(),
        settled: true,
    }])
}

fn applied() -> wire::Reply {
    let reply = postcard::to_stdvec(&ledger::Reply::Done).expect("encoded");
    wire::Reply::Applied { index: 1, reply: reply.into() }
}

/// Host that holds a replica. Records the sizes of the commands that it is sent.
struct Host {
    leader: Mutex<Arc<str>>,
    leads: bool,
    commands: Mutex<Vec<usize>>,
}

impl peer::Handler for Host {
    fn cast(&self, _from: &Arc<str>, _message: frame::Cast) {}

    fn call(&self, request: wire::Request) -> BoxFuture<'static, wire::Reply> {
        let leader = self.leader.lock().unwrap().clone();
        match request {
            wire::Request::Status => async move { status(&leader) }.boxed(),
            wire::Request::Propose { command, .. } => {
                self.commands.lock().unwrap().push(command.len());
                let leads = self.leads;
                async move {
                    if !leads {
                        let (reason, run) = (wire::Reason::NoQuorum, wire::Run::No);
                        return wire::Reply::NotDone { reason, leader: Some(leader), run };
                    }
                    time::sleep(SLOW_ANSWER).await;
                    applied()
                }
                .boxed()
            }
            wire::Request::Query { .. } => {
                let leads = self.leads;
                async move {
                    let (reason, run) = (wire::Reason::NoQuorum, wire::Run::No);
                    match leads {
                        true => wire::Reply::Answer(postcard::to_stdvec(&7_u64).unwrap().into()),
                        false if leader.is_empty() => std::future::pending().await,
                        false => wire::Reply::NotDone { reason, leader: Some(leader), run },
                    }
                }
                .boxed()
            }
            _ => std::future::pending().boxed(),
        }
    }
}

fn discard() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

fn view(link: &str) -> Arc<view::View> {
    let own = directory::Host {
        name: link.into(),
        link: link.into(),
        role: settings::Role::Store,
        domain: "d".into(),
        start_time: 1,
        seq: 0,
        replica: None,
        silent: false,
    };
    let platform = Arc::new(platform::Platform::default());
    Arc::new(view::View::new(own, vec!["seed".into()], platform, &discard()))
}

/// Guards against a command that is sent again, or to hosts that do not lead, while the leader that
/// has it in its queue is slow.
#[test]
fn slow_leader_gets_a_long_command_once() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let sent = runtime.block_on(async {
        let (mut hosts, mut links) = (Vec::new(), Vec::new());
        for at in 0..3 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
            links.push(Arc::<str>::from(listener.local_addr().expect("address").to_string()));
            let (leader, commands) = (Mutex::new("".into()), Mutex::default());
            let host = Arc::new(Host { leader, leads: at == 1, commands });
            tokio::spawn(peer::serve(listener, host.clone(), metrics::Metrics::new(), discard()));
            hosts.push(host);
        }
        for host in &hosts {
            *host.leader.lock().unwrap() = links[1].clone();
        }
        let view = view("10.0.0.1:7700");
        let members = links.iter().cloned().zip(1..);
        view.apply_placement(control_state::Placement::new(members));
        let peers = peer::Peers::new("10.0.0.1:7700".into(), &metrics::Metrics::new(), &discard());
        let client = groups::Client::new(peers, view, None, &discard());
        let done = client.propose(groups::JOBS, &vec![7_u8; 100_000], LIMIT).await;
        assert!(done.is_ok(), "{done:?}");
        let sent = hosts.iter().map(|h| h.commands.lock().unwrap().len());
        sent.collect::<Vec<_>>()
    });
    insta::assert_debug_snapshot!(sent, @r"
    [
        0,
        1,
        0,
    ]
    ");
}

/// Guards against a command of the leader itself that is proposed again while the replica on the
/// same host still leads and has the first one in its queue.
#[test]
fn slow_local_leader_gets_a_command_once() {
    let own: Arc<str> = "10.0.0.1:7700".into();
    let (handle, calls) = group::channel(1);
    let leader = own.clone();
    let replica = std::thread::spawn(move || {
        let mut proposals = 0;
        let mut waiting = Vec::new();
        let begun = std::time::Instant::now();
        while let Ok(call) = calls.recv_timeout(SLOW_ANSWER) {
            match call {
                group::Call::Propose { done, .. } => {
                    proposals += 1;
                    waiting.push(done);
                }
                group::Call::Status { done } => {
                    let wire::Reply::Groups(mut groups) = status(&leader) else { unreachable!() };
                    done.send(groups.remove(0)).expect("the caller waits");
                }
                _ => {}
            }
            if begun.elapsed() > SLOW_ANSWER {
                for done in waiting.drain(..) {
                    // A caller that has given up is the failure that the count shows.
                    let _ = done.send(applied());
                }
            }
        }
        proposals
    });
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let peers = peer::Peers::new(own.clone(), &metrics::Metrics::new(), &discard());
        let local = Some((groups::JOBS, Arc::new(Mutex::new(Some(handle)))));
        let client = groups::Client::new(peers, view(&own), local, &discard());
        let done = client.propose(groups::JOBS, &vec![7_u8; 100], LIMIT).await;
        assert!(done.is_ok(), "{done:?}");
    });
    assert_eq!(replica.join().expect("the replica ends"), 1);
}

/// Time within which a host that starts gets an answer of the leader.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Guards against a query that waits for a member which does not answer, while another one could name
/// the leader, which is not among the known members.
#[test]
fn leader_that_is_not_known_is_found_at_once() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let (mut hosts, mut links) = (Vec::new(), Vec::new());
        for at in 0..4 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
            links.push(Arc::<str>::from(listener.local_addr().expect("address").to_string()));
            let (leader, commands) = (Mutex::new("".into()), Mutex::default());
            let host = Arc::new(Host { leader, leads: at == 3, commands });
            tokio::spawn(peer::serve(listener, host.clone(), metrics::Metrics::new(), discard()));
            hosts.push(host);
        }
        // The first two hosts never answer a query.
        *hosts[2].leader.lock().unwrap() = links[3].clone();
        let view = view("10.0.0.1:7700");
        let members = links[..3].iter().cloned().zip(1..);
        view.apply_placement(control_state::Placement::new(members));
        let mut times = Vec::new();
        for _ in 0..5 {
            let own = "10.0.0.1:7700".into();
            let peers = peer::Peers::new(own, &metrics::Metrics::new(), &discard());
            let client = groups::Client::new(peers, view.clone(), None, &discard());
            let begun = time::Instant::now();
            let answer = client.query_members::<u64>(groups::JOBS, &(), LIMIT).await;
            assert_eq!(answer, Ok(7));
            times.push(begun.elapsed());
        }
        times.sort();
        println!("answers after {times:?}");
        // One of them may be late because the machine is busy.
        assert!(times[3] < ANSWER_TIME, "{times:?}");
    });
}

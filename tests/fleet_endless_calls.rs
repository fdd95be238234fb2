//! Callers and peers that send bytes without end to the processes of the fleet.

mod fleet_world;

use fleet_world::Role;
use fleet_world::scripted::Answer;
use fleet_world::scripted::Fleet;
use fleet_world::scripted::framed;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Memory of the smallest entries.
const MEMORY: u64 = 160_000_000;
/// Time for which a connection is written to, unless the process closes it.
const WRITE_TIME: Duration = Duration::from_secs(3);
/// Connections to one address at a time.
const CONNECTIONS: usize = 20;

/// Largest resident size of a process so far, in bytes; `None` if it has ended.
fn peak_memory(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
    Some(line.trim().trim_end_matches(" kB").parse::<u64>().expect("number") * 1_024)
}

/// Writes `start` and then `piece` again and again. Returns the bytes that were written.
fn write_endlessly(to: SocketAddr, start: &[u8], piece: &[u8]) -> u64 {
    let block = piece.repeat(16_000 / piece.len().max(1));
    let (begun, mut written) = (Instant::now(), 0);
    let mut write = || -> std::io::Result<()> {
        let mut stream = TcpStream::connect(to)?;
        stream.set_write_timeout(Some(WRITE_TIME))?;
        stream.write_all(start)?;
        while begun.elapsed() < WRITE_TIME {
            stream.write_all(&block)?;
            written += block.len() as u64;
        }
        Ok(())
    };
    // Ends with an error once the process has closed the connection or reads no more.
    let _ = write();
    written
}

fn call(method: &str, path: &str, fields: &str) -> Vec<u8> {
    let host = fleet_world::ROUTE_HOST;
    format!("{method} {path} HTTP/1.1\r\nhost: {host}\r\n{fields}").into_bytes()
}

/// Name, role and port of the process, and what is written to it: a start, and a piece without end.
type Endless<'a> = (&'a str, Role, u16, Vec<u8>, &'a [u8]);

const JSON_CHUNKS: &str = "content-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n";

/// Guards against registrations, calls of operators and callers and readiness checks whose heads or
/// bodies never end, and against frames without end from peers, that take more memory than a process
/// has or end it.
#[test]
fn calls_without_end_take_bounded_memory() {
    let chunk = [b"3e8\r\n".as_slice(), &[b'a'; 1_000], b"\r\n"].concat();
    let header = b"x-a: aaaaaaaaaaaaaaaa\r\n".as_slice();
    let calls: [Endless<'_>; 9] = [
        (
            "registration",
            Role::Control,
            fleet_world::OPERATOR_PORT,
            call("PUT", "/-/instances/raw-9", JSON_CHUNKS),
            &chunk,
        ),
        (
            "configuration",
            Role::Control,
            fleet_world::OPERATOR_PORT,
            call("PUT", "/-/config", JSON_CHUNKS),
            &chunk,
        ),
        ("head", Role::Control, fleet_world::OPERATOR_PORT, call("GET", "/-/config", ""), header),
        ("readiness", Role::Entry, fleet_world::READY_PORT, call("GET", "/-/ready", ""), header),
        (
            "readiness with a body",
            Role::Entry,
            fleet_world::READY_PORT,
            call("GET", "/-/ready", JSON_CHUNKS),
            &chunk,
        ),
        (
            "job",
            Role::Entry,
            fleet_world::CALLER_PORT,
            call("POST", "/batch/j", &format!("x-basilfield-request-id: j\r\n{JSON_CHUNKS}")),
            &chunk,
        ),
        ("frames", Role::Control, fleet_world::LINK_PORT, Vec::new(), &[0, 0, 255, 255, 7, 7, 7]),
        ("long frame", Role::Store, fleet_world::LINK_PORT, vec![255; 8], &[1; 100]),
        ("noise", Role::Entry, fleet_world::LINK_PORT, Vec::new(), b"GET / HTTP/1.1\r\n"),
    ];
    fleet_world::run(async move {
        let answer: Arc<Answer> = Arc::new(|request, stream| {
            stream.write_all(framed("200 OK", &request.id, "", "answer").as_bytes())?;
            Ok(true)
        });
        let fleet = Fleet::start(vec![answer]).await;
        let mut seen = Vec::new();
        for (name, role, port, start, piece) in calls {
            let at = fleet.world.hosts_of(role)[0];
            let to = SocketAddr::from((fleet.world.hosts[at].process_address, port));
            let writers: Vec<_> = (0..CONNECTIONS)
                .map(|_| {
                    let (start, piece) = (start.clone(), piece.to_vec());
                    std::thread::spawn(move || write_endlessly(to, &start, &piece))
                })
                .collect();
            let written: u64 = tokio::task::spawn_blocking(|| {
                writers.into_iter().map(|w| w.join().expect("writer")).sum()
            })
            .await
            .expect("writers");
            let peak = peak_memory(fleet.world.process_id(at));
            println!("{name}: {} MB written, peak {:?} MB", written >> 20, peak.map(|p| p >> 20));
            let size = match peak {
                Some(peak) if peak < MEMORY => "fits",
                Some(_) => "too much memory",
                None => "ended",
            };
            seen.push(format!("{name}: {size}"));
        }
        insta::assert_snapshot!(seen.join("\n"), @r"
    registration: fits
    configuration: fits
    head: fits
    readiness: fits
    readiness with a body: fits
    job: fits
    frames: fits
    long frame: fits
    noise: fits
    ");
        assert_eq!(fleet.world.put_config(&fleet.world.config(2)).await, 200);
    });
}

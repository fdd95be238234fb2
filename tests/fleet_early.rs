//! Endpoints that answer before they have read a long request, and answers whose status is none.

mod fleet_world;

use basilfield::fleet::upstream;
use bytes::Bytes;
use fleet_world::client;
use fleet_world::raw;
use fleet_world::scripted::Answer;
use fleet_world::scripted::Fleet;
use fleet_world::scripted::STREAM_FIELDS;
use fleet_world::scripted::events;
use fleet_world::scripted::framed;
use fleet_world::scripted::item_output;
use http_body_util::Full;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// Time from the end of an answer to a reset.
const RESET_DELAY: Duration = Duration::from_millis(100);
/// Part of a request that an endpoint reads before it gives up.
const PART: usize = 10_000;
const ANSWER: &str = "the part that was written";
/// Longest time for an answer at the module.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// What an endpoint does after it has written its answer and read a part of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// It ends its side and resets the connection later.
    LateReset,
    /// It resets the connection.
    Reset,
    /// It ends its side and reads on.
    HalfClose,
    /// It reads on and ends its side then.
    Close,
}

const ENDINGS: [Ending; 4] = [Ending::LateReset, Ending::Reset, Ending::HalfClose, Ending::Close];

/// Writes an answer without a length and ends the connection. Unread bytes turn its end into a reset.
fn end(stream: &mut TcpStream, id: &str, end: Ending) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-basilfield-request-id: {id}\r\nconnection: close\r\n\r\n{ANSWER}"
    );
    stream.write_all(head.as_bytes())?;
    stream.read_exact(&mut vec![0; PART])?;
    if matches!(end, Ending::LateReset | Ending::HalfClose) {
        stream.shutdown(Shutdown::Write)?;
    }
    match end {
        Ending::LateReset => std::thread::sleep(RESET_DELAY),
        Ending::Reset => {}
        Ending::HalfClose => {
            stream.read_to_end(&mut Vec::new())?;
        }
        // The rest of the longest request arrives within this time.
        Ending::Close => {
            stream.set_read_timeout(Some(RESET_DELAY * 3))?;
            let _ = stream.read_to_end(&mut Vec::new());
        }
    }
    Ok(())
}

fn start_endpoint(how: Ending) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let request = raw::Request::read_head(&mut stream)?;
                end(&mut stream, request.field("x-basilfield-request-id:"), how)
            });
        }
    });
    address
}

async fn send(address: SocketAddr, length: usize) -> String {
    let request = hyper::Request::builder()
        .method("POST")
        .uri("/plain/early")
        .header("host", fleet_world::ROUTE_HOST)
        .header("x-basilfield-request-id", "early")
        .body(Full::new(Bytes::from(vec![b'x'; length])))
        .expect("valid request");
    let upstream = upstream::Upstream::default();
    let asked = async {
        match upstream.send(address, request, true).await {
            Ok(mut response) => response.read_body(1 << 20).await.map_err(|_| "broken off"),
            Err(_) => Err("lost"),
        }
    };
    match tokio::time::timeout(ANSWER_TIMEOUT, asked).await {
        Ok(Ok(body)) if *body == *ANSWER.as_bytes() => "whole".into(),
        Ok(Ok(body)) => format!("{} bytes", body.len()),
        Ok(Err(_)) => "not whole".into(),
        Err(_) => "late".into(),
    }
}

/// Guards against a part of an answer without a length that counts as the whole one, though the
/// endpoint resets the connection before it has read the request, and against whole answers that do not
/// count.
#[test]
fn early_answer_that_is_reset_counts_as_whole() {
    const PLAYS: usize = 10;
    fleet_world::run(async {
        let mut seen = Vec::new();
        for how in ENDINGS {
            for length in [900_000, 3_000_000] {
                let address = start_endpoint(how);
                let mut ends = Vec::new();
                for _ in 0..PLAYS {
                    ends.push(send(address, length).await);
                }
                ends.dedup();
                seen.push(format!("{how:?}, {length} bytes: {}", ends.join(", ")));
            }
        }
        insta::assert_snapshot!(seen.join("\n"), @r"
        LateReset, 900000 bytes: not whole
        LateReset, 3000000 bytes: not whole
        Reset, 900000 bytes: not whole
        Reset, 3000000 bytes: not whole
        HalfClose, 900000 bytes: whole
        HalfClose, 3000000 bytes: whole
        Close, 900000 bytes: whole
        Close, 3000000 bytes: whole
        ");
    });
}

/// Guards against callers that get a part of such an answer as a whole one with a length that the entry
/// has stated.
#[test]
fn early_answer_that_is_reset_reaches_callers_as_whole() {
    fleet_world::run(async {
        let answer: Arc<Answer> = Arc::new(|request, stream| {
            end(stream, &request.id, Ending::LateReset)?;
            Ok(false)
        });
        let fleet = Fleet::start_early(vec![answer]).await;
        for length in [900_000, 3_000_000] {
            for prefix in [fleet_world::PLAIN_PREFIX, fleet_world::ONCE_PREFIX] {
                let id = format!("early-{length}");
                let seen = fleet.ask_with("HTTP/1.1", prefix, &id, &vec![b'x'; length]).await;
                let status = seen.lines().next().unwrap_or_default().to_string();
                assert!(status.starts_with("HTTP/1.1 50"), "{prefix} {length}: {seen}");
            }
        }
    });
}

/// Guards against answers whose status the standard does not define and that reach callers, or that end
/// an item.
#[test]
fn undefined_status_counts_as_an_answer() {
    fleet_world::run(async {
        let mut seen = Vec::new();
        for status in ["000", "099", "600", "999"] {
            let first = std::sync::Mutex::new(Vec::<String>::new());
            let answer: Arc<Answer> = Arc::new(move |request, stream| {
                let mut asked = first.lock().expect("lock");
                let is_item = request.path.starts_with(fleet_world::BATCH_PREFIX);
                // Each item meets it once.
                if is_item && asked.contains(&request.id) {
                    let rest = events(request.last_event, fleet_world::scripted::LAST_EVENT);
                    let text = framed("200 OK", &request.id, STREAM_FIELDS, &rest);
                    stream.write_all(text.as_bytes())?;
                    return Ok(true);
                }
                asked.push(request.id.clone());
                let text = framed(&format!("{status} Odd"), &request.id, "", "odd");
                stream.write_all(text.as_bytes())?;
                Ok(true)
            });
            let fleet = Fleet::start(vec![answer]).await;
            let prefixes = [
                fleet_world::PLAIN_PREFIX,
                fleet_world::SAFE_PREFIX,
                fleet_world::ONCE_PREFIX,
                fleet_world::STREAM_PREFIX,
            ];
            let mut statuses = Vec::new();
            for (n, prefix) in prefixes.into_iter().enumerate() {
                let answer = fleet.ask("HTTP/1.1", prefix, &format!("odd-{n}")).await;
                statuses.push(answer.split(' ').nth(1).unwrap_or("none").to_string());
            }
            statuses.dedup();
            assert!(client::submit(&[fleet.entry], "job", 2).await);
            let outputs = fleet.outputs("job", 2).await;
            let done = outputs.iter().filter(|o| **o == item_output()).count();
            seen.push(format!("{status}: {}, {done} of 2 items done", statuses.join(" ")));
        }
        insta::assert_snapshot!(seen.join("\n"), @r"
        000: 502, 2 of 2 items done
        099: 502, 2 of 2 items done
        600: 502, 2 of 2 items done
        999: 502, 2 of 2 items done
        ");
    });
}

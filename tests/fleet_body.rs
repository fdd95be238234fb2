//! Bodies of requests and the memory that they hold.

use basilfield::fleet::body;
use bytes::Bytes;
use futures_util::StreamExt as _;
use http_body_util::StreamBody;
use hyper::body::Frame;
use std::convert::Infallible;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time;

type Part = Result<Frame<Bytes>, Infallible>;

const KB: usize = 1 << 10;
const LIMIT: usize = 4 << 20;
const LONGEST_TEST: Duration = Duration::from_secs(5);

fn part(bytes: usize) -> Part {
    Ok(Frame::data(Bytes::from(vec![b'x'; bytes])))
}

fn parts(lengths: &[usize]) -> impl hyper::body::Body<Data = Bytes> + Unpin + use<> {
    let parts: Vec<Part> = lengths.iter().map(|n| part(*n)).collect();
    StreamBody::new(futures_util::stream::iter(parts))
}

/// Body whose parts a test sends. It ends when the sender is dropped.
fn open() -> (mpsc::Sender<Part>, impl hyper::body::Body<Data = Bytes> + Unpin + use<>) {
    let (sender, receiver) = mpsc::channel(1);
    let next = |mut receiver: mpsc::Receiver<Part>| async {
        receiver.recv().await.map(|part| (part, receiver))
    };
    (sender, StreamBody::new(futures_util::stream::unfold(receiver, next).boxed()))
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("runtime").block_on(async {
        time::timeout(LONGEST_TEST, test).await.expect("nothing waits for memory");
    });
}

/// Guards against small bodies that find no memory because others of unknown length have reserved
/// that of the largest body.
#[test]
fn many_small_bodies_are_read_at_once() {
    run(async {
        let memory = body::Memory::new(4 * LIMIT);
        let mut senders = Vec::new();
        let mut reads = Vec::new();
        for _ in 0..200 {
            let (sender, open) = open();
            sender.send(part(100)).await.expect("received later");
            senders.push(sender);
            let memory = memory.clone();
            reads.push(tokio::spawn(async move {
                memory.read(open, LIMIT).await.map(|(bytes, _)| bytes.len())
            }));
        }
        for sender in &senders {
            // Another part fits once the first one has been read.
            drop(sender.reserve().await.expect("is read"));
        }
        let held = 4 * LIMIT - memory.free_bytes();
        drop(senders);
        for read in reads {
            assert_eq!(read.await.expect("task"), Ok(100));
        }
        insta::assert_snapshot!(format!("{} {}", held / KB, memory.free_bytes() / KB), @"3200 16384");
    });
}

/// Guards against bodies that wait for each other's memory, against one that holds memory after it
/// failed or was left, and against more or less memory than a body needs.
#[test]
fn bodies_that_find_no_memory_fail_at_once() {
    run(async {
        let memory = body::Memory::new(256 * KB);
        let read = async |lengths: &[usize]| memory.read(parts(lengths), 200 * KB).await;
        let free = || memory.free_bytes() / KB;
        let mut seen = Vec::new();
        let large = read(&[10 * KB, 50 * KB, 60 * KB]).await.expect("memory");
        seen.push(format!("one of {} KB leaves {} KB", large.0.len() / KB, free()));
        // There is memory for what has arrived, but not for twice as much.
        let exact = read(&[16 * KB, 64 * KB, 50 * KB]).await.map(|read| read.0.len() / KB);
        seen.push(format!("{exact:?}, {}", free()));
        for lengths in [&[100 * KB, 50 * KB][..], &[200 * KB, 1], &[201 * KB]] {
            seen.push(format!("{:?}, {}", read(lengths).await.map(|_| ()), free()));
        }
        drop(large);
        seen.push(format!("{:?}, {}", read(&[200 * KB, 1]).await.map(|_| ()), free()));
        let (sender, open) = open();
        sender.send(part(100 * KB)).await.expect("received later");
        let stalled = memory.read(open, LIMIT);
        let left = time::timeout(Duration::from_millis(50), stalled).await.is_err();
        seen.push(format!("left {left}, {}", free()));
        let stated = memory.read(http_body_util::Full::new(Bytes::from(vec![0; 150 * KB])), LIMIT);
        let (_, held) = stated.await.expect("memory");
        seen.push(format!("of stated length, {}", free()));
        drop(held);
        insta::assert_snapshot!(seen.join("\n"), @r"
        one of 120 KB leaves 136 KB
        Ok(130), 136
        Err(NoMemory), 136
        Err(NoMemory), 136
        Err(TooLong), 136
        Err(TooLong), 256
        left true, 256
        of stated length, 106
        ");
    });
}

//! Tests of the decisions, without a network.

use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr};

use ::bytes::Bytes;
use http::{Request, Response, StatusCode};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::body::{BODY_COPIES, FIRST_BUFFER_BYTES, buffer_size};
use super::bytes::{PROGRESSING_BYTES, Pace, STALL_SWEEPS, slowest};
use super::connections::{Admission, Phase, UNREAD_SWEEPS, admission};
use super::*;
use crate::http::server::{Body, RequestBody, Service, json_response, serve_connection};

const MAX: usize = 80;

fn address(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, last))
}

fn limits(sizes: LimitSizes) -> Rc<Limits> {
    Limits::new(sizes, Rc::new(Metrics::new()), Clock::system())
}

fn small() -> Rc<Limits> {
    limits(LimitSizes {
        caller_bytes: 100_000,
        front_connections: MAX,
        ..LimitSizes::of(None, None)
    })
}

fn admit(limits: &Rc<Limits>, last: u8) -> Option<ConnectionGuard> {
    let timeout = Millis::secs(3);
    limits.front.admit(address(last), timeout, Millis::secs(15))
}

fn sweep(limits: &Limits, times: u64) {
    for _ in 0..times {
        limits.callers.sweep();
        limits.front.sweep();
    }
}

const fn pace(age: u64, recent: usize) -> Pace {
    Pace { age, recent }
}

/// Guards against defaults that ordinary callers reach: on the smallest machine, 700 callers send
/// requests of 4 KB at once.
#[test]
fn the_smallest_machine_serves_hundreds_of_small_requests() {
    let sizes = LimitSizes::of(Some(120), Some(3075));
    assert!(sizes.front_connections >= 1000, "{sizes:?}");
    let limits = limits(sizes);
    let mut held = Vec::new();
    for caller in 0..700_u32 {
        let address = IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + caller));
        let connection = limits
            .front
            .admit(address, Millis::secs(3), Millis::secs(15));
        let mut body = limits.callers.guard();
        assert!(body.try_grow(4096 * BODY_COPIES), "caller {caller}");
        held.push((connection.expect("there is a place"), body));
    }
}

/// Guards against idle connections that alone exhaust the budgets, where the settings state the memory and no
/// descriptors, or many descriptors for the memory: no body and no large frame would be read any more.
#[test]
fn connections_leave_room_in_the_budgets() {
    const LARGEST_FRAME_BYTES: usize = 4 * MB;
    let machines = [
        (Some(120), None),
        (Some(512), None),
        (Some(120), Some(10_250)),
        (None, Some(100_000)),
    ];
    for (memory_mb, max_fds) in machines {
        let sizes = LimitSizes::of(memory_mb, max_fds);
        let front = sizes.front_connections * CONNECTION_BYTES;
        let links = sizes.link_connections * CONNECTION_BYTES;
        assert!(front <= sizes.caller_bytes / 2, "{memory_mb:?}: {sizes:?}");
        assert!(
            links + LARGEST_FRAME_BYTES <= sizes.link_bytes,
            "{memory_mb:?}: {sizes:?}"
        );
    }
}

/// Returns what the kernel receives for callers at most before the process reads it.
fn kernel_bytes(sizes: &LimitSizes) -> usize {
    let accepted = sizes.front_connections + sizes.ready_connections + sizes.metrics_connections;
    let waiting = (sizes.backlog + 2 * sizes.admin_backlog) as usize;
    let buffer = sizes.socket_buffer.expect("the machine states its memory") as usize;
    (accepted + waiting) * buffer * KERNEL_BUFFER_FACTOR
}

/// Guards against limits that together exceed the machine, for all machines in use.
#[test]
fn sizes_stay_within_the_machine() {
    let machines = [
        (120, 3075),
        (160, 4100),
        (260, 4200),
        (400, 10_250),
        (384, 4096),
        (512, 8192),
        (312, 4096),
    ];
    for (memory_mb, max_fds) in machines {
        let sizes = LimitSizes::of(Some(memory_mb), Some(max_fds));
        let bytes = sizes.caller_bytes + sizes.link_bytes + kernel_bytes(&sizes) + NODE_MB * MB;
        assert!(bytes <= memory_mb as usize * MB, "{memory_mb}: {sizes:?}");
        let connections = sizes.front_connections + sizes.link_connections + NODE_DESCRIPTORS;
        assert!(connections <= max_fds as usize, "{max_fds}: {sizes:?}");
        assert!(sizes.front_connections * CONNECTION_BYTES <= sizes.caller_bytes / 2 + MB);
    }
}

/// Guards against a leak on a way out: all that is acquired is given back on drop.
#[test]
fn guards_give_back_what_they_hold() {
    let limits = small();
    let connection = admit(&limits, 1);
    let mut bytes = limits.callers.guard();
    assert!(bytes.try_grow(50_000));
    assert!(!bytes.try_grow(50_000), "the limit is 100,000");
    assert_eq!(limits.callers.used(), 50_000 + CONNECTION_BYTES);
    drop((connection, bytes));
    assert_eq!(limits.callers.used(), 0);
    assert!(limits.front.by_address.borrow().is_empty());
}

/// Guards against an address that takes all places.
#[test]
fn an_address_leaves_an_eighth_to_others() {
    let limits = small();
    let held: Vec<_> = (0..MAX).map_while(|_| admit(&limits, 1)).collect();
    assert_eq!(held.len(), MAX - MAX / 8);
    assert!(admit(&limits, 2).is_some());
}

/// Guards against requests in progress that are ended for new connections.
#[test]
fn only_waiting_connections_are_displaced() {
    let limits = small();
    let held: Vec<_> = (0..MAX).map_while(|_| admit(&limits, 1)).collect();
    for guard in &held[1..] {
        guard.connection().begin_request();
    }
    assert!(admit(&limits, 1).is_none(), "the waiting one is too young");
    sweep(&limits, MIN_AGE_SWEEPS);
    assert!(admit(&limits, 1).is_some(), "the waiting one is displaced");
    assert!(held[0].connection().is_closed.get());
    assert!(
        !held[1..]
            .iter()
            .any(|guard| guard.connection().is_closed.get())
    );
}

/// Guards against newcomers that push out others than the address with the most connections.
#[test]
fn the_address_with_the_most_gives_up_a_connection() {
    let counts = [(address(1), 50), (address(2), 20), (address(3), 10)];
    let decide = |from| admission(MAX, address(from), counts.into_iter());
    assert_eq!(decide(3), Admission::Displace(address(1)));
    assert_eq!(decide(4), Admission::Displace(address(1)));
    assert_eq!(decide(1), Admission::Displace(address(1)));
    let fewer = [(address(1), 50), (address(2), 20)];
    assert_eq!(
        admission(MAX, address(2), fewer.into_iter()),
        Admission::Admit
    );
}

/// Guards against a port that uploads without progress keep closed to others: they are displaced like slow
/// heads, but not once the body is complete.
#[test]
fn uploads_are_displaced_until_their_end() {
    let limits = small();
    let held: Vec<_> = (0..MAX).map_while(|_| admit(&limits, 1)).collect();
    for guard in &held {
        guard.connection().begin_request();
        guard.connection().begin_body();
    }
    for guard in &held[1..] {
        guard.connection().body_ended();
    }
    sweep(&limits, MIN_AGE_SWEEPS);
    let newcomer = admit(&limits, 1);
    assert!(newcomer.is_some(), "the upload is displaced");
    assert!(held[0].connection().is_closed.get());
    assert!(admit(&limits, 1).is_none(), "the others are in progress");
}

/// Guards against framing without end, and against limits on it that chunks of a byte reach: padded to eight
/// digits, each has 13 bytes.
#[test]
fn framing_is_bounded_by_the_body() {
    const CHUNK_BYTES: usize = 13;
    let limits = small();
    let chunked = admit(&limits, 1).expect("there is a place");
    chunked.connection().begin_request();
    chunked.connection().begin_body();
    for _ in 0..262_144 {
        let received = chunked.connection().received(CHUNK_BYTES, 8192, 32_768);
        assert_eq!(received, Ok(()));
        chunked.connection().body_taken(1);
    }
    let endless = admit(&limits, 1).expect("there is a place");
    endless.connection().begin_request();
    endless.connection().begin_body();
    let reads = (0..).take_while(|_| endless.connection().received(8192, 8192, 32_768).is_ok());
    assert_eq!(reads.count(), 4);
}

/// Guards against trailers that are held without a charge.
#[test]
fn framing_is_charged() {
    let limits = small();
    let used = limits.callers.used();
    let guard = admit(&limits, 1).expect("there is a place");
    guard.connection().begin_request();
    guard.connection().begin_body();
    for _ in 0..3 {
        assert_eq!(guard.connection().received(8192, 8192, 32_768), Ok(()));
    }
    assert_eq!(limits.callers.used(), used + 3 * 8192);
    let others: Vec<_> = (0..9).map_while(|_| admit(&limits, 2)).collect();
    assert_eq!(others.len(), 9);
    let refused = guard.connection().received(8192, 8192, 32_768);
    assert_eq!(refused, Err(Refusal::BodyBudget), "the budget is exhausted");
}

/// Guards against read buffers that grow beyond what their connections are charged.
#[test]
fn larger_read_buffers_are_charged() {
    let limits = small();
    let used = limits.callers.used();
    let guard = admit(&limits, 1).expect("there is a place");
    assert_eq!(guard.connection().received(100, 8192, 32_768), Ok(()));
    assert_eq!(limits.callers.used(), used + CONNECTION_BYTES);
    assert_eq!(guard.connection().received(100, 16_384, 32_768), Ok(()));
    assert_eq!(limits.callers.used(), used + 16_384);
    drop(guard);
    assert_eq!(limits.callers.used(), used);
}

/// Guards against pooled connections that are closed for new ones while slow heads are open.
#[test]
fn slow_heads_go_before_idle_connections() {
    let limits = small();
    let held: Vec<_> = (0..MAX).map_while(|_| admit(&limits, 1)).collect();
    held[0].connection().enter(Phase::Idle);
    sweep(&limits, MIN_AGE_SWEEPS);
    assert!(admit(&limits, 1).is_some());
    assert!(!held[0].connection().is_closed.get());
}

/// Guards against a port whose callers read no reply and which is closed to others.
#[test]
fn unread_replies_go_before_idle_connections() {
    let limits = small();
    let held: Vec<_> = (0..MAX).map_while(|_| admit(&limits, 1)).collect();
    held[0].connection().enter(Phase::Idle);
    for guard in &held[1..] {
        guard.connection().enter(Phase::Reply);
    }
    sweep(&limits, UNREAD_SWEEPS);
    held[1].connection().sent();
    assert!(admit(&limits, 1).is_some());
    let closed = held
        .iter()
        .filter(|guard| guard.connection().is_closed.get());
    assert_eq!(closed.count(), 1);
    assert!(!held[0].connection().is_closed.get(), "it is idle");
    assert!(!held[1].connection().is_closed.get(), "it is being read");
}

/// Guards against connections that stay although they are overdue, or that end early.
#[test]
fn overdue_connections_are_closed() {
    let limits = small();
    let head = admit(&limits, 1).expect("there is a place");
    let idle = admit(&limits, 1).expect("there is a place");
    idle.connection().enter(Phase::Idle);
    let unread = admit(&limits, 1).expect("there is a place");
    unread.connection().enter(Phase::Reply);
    let busy = admit(&limits, 1).expect("there is a place");
    busy.connection().begin_request();
    let closed = || [&head, &idle, &unread, &busy].map(|guard| guard.connection().is_closed.get());
    sweep(&limits, 12);
    assert_eq!(closed(), [false; 4], "3 s are allowed for a head");
    sweep(&limits, 1);
    assert_eq!(closed(), [true, false, false, false]);
    sweep(&limits, 47);
    unread.connection().sent();
    sweep(&limits, 1);
    assert_eq!(closed(), [true, true, false, false]);
    sweep(&limits, 60);
    assert_eq!(closed(), [true, true, true, false]);
}

/// Guards against uploads that are closed although they progress, and against closing a faster one.
#[test]
fn the_slowest_upload_goes_first() {
    let uploads = [
        ("young", pace(MIN_AGE_SWEEPS - 1, 0)),
        ("fast", pace(10, PROGRESSING_BYTES)),
        ("slow", pace(10, 100)),
        ("stalled", pace(5, 0)),
        ("stalled longer", pace(9, 0)),
    ];
    let choose = |own, count| slowest(own, uploads[..count].iter().copied());
    assert_eq!(choose(pace(0, 0), 2), None);
    assert_eq!(choose(pace(0, 0), 3), Some("slow"));
    assert_eq!(choose(pace(0, 0), 5), Some("stalled longer"));
    assert_eq!(choose(pace(20, 0), 5), None, "no other is slower");
    assert_eq!(choose(pace(20, 50), 3), None);
    assert_eq!(choose(pace(20, 500), 3), Some("slow"));
}

/// Guards against bodies that stop short of their end and stay.
#[test]
fn uploads_without_progress_end() {
    let limits = small();
    let stalled = limits.callers.begin_upload();
    stalled.upload.received.set(90_000);
    let slow = limits.callers.begin_upload();
    for sweeps in 1..=2 * STALL_SWEEPS {
        slow.upload
            .received
            .set(100 * usize::try_from(sweeps).unwrap_or_default());
        sweep(&limits, 1);
    }
    assert_eq!(stalled.upload.ended.get(), Some(BodyError::Stalled));
    assert_eq!(slow.upload.ended.get(), None);
}

/// Guards against buffers beyond the body, and against copying a body for each of its chunks.
#[test]
fn buffers_double_up_to_the_announced_length() {
    assert_eq!(buffer_size(0, 100, 600), 600);
    assert_eq!(buffer_size(0, 100, 262_144), FIRST_BUFFER_BYTES);
    assert_eq!(buffer_size(16_384, 16_385, 262_144), 32_768);
    assert_eq!(buffer_size(131_072, 131_073, 200_000), 200_000);
    assert_eq!(buffer_size(16_384, 100_000, 262_144), 100_000);
}

/// Guards against small messages of peers that fail while large frames occupy the budget of links.
#[tokio::test(start_paused = true)]
async fn small_frames_are_read_without_the_budget() {
    use crate::link::{FrontMessage, read_within};
    let limits = limits(LimitSizes {
        link_bytes: 20_000,
        ..LimitSizes::of(None, None)
    });
    let mut held = limits.links.guard();
    assert!(held.try_grow(20_000));
    let mut frame: &[u8] = &[0, 0, 0, 1, 3];
    let message = read_within::<FrontMessage, _>(&mut frame, &limits.links).await;
    assert!(matches!(message, Ok(FrontMessage::Ping)));
    let large = [&25_000_u32.to_be_bytes()[..], &[3; 25_000]].concat();
    let read = read_within::<FrontMessage, _>(&mut large.as_slice(), &limits.links).await;
    let kind = read.expect_err("the budget is exhausted").kind();
    assert_eq!(kind, std::io::ErrorKind::OutOfMemory);
    drop(held);
    let read = read_within::<FrontMessage, _>(&mut large.as_slice(), &limits.links).await;
    assert!(matches!(read, Ok(FrontMessage::Ping)), "16,808 bytes fit");
    assert_eq!(limits.links.used(), 0);
}

/// Guards against a first message of 4 MB from anyone.
#[tokio::test]
async fn first_messages_are_small() {
    use crate::link::{FrontMessage, read_first};
    let large = [&4097_u32.to_be_bytes()[..], &[3; 4097]].concat();
    assert!(
        read_first::<FrontMessage, _>(&mut large.as_slice())
            .await
            .is_err()
    );
    let mut ping: &[u8] = &[0, 0, 0, 1, 3];
    assert!(read_first::<FrontMessage, _>(&mut ping).await.is_ok());
}

/// Counts the requests that it handles.
#[derive(Default)]
struct Counting(Cell<u32>);

impl Service for Counting {
    async fn handle(&self, _: Request<RequestBody>) -> Response<Body> {
        self.0.set(self.0.get() + 1);
        json_response(StatusCode::OK, Bytes::new())
    }
}

/// Guards against a job that is submitted although its caller gets no answer: a request arrives just as its
/// connection is closed for being idle or for another one.
#[tokio::test]
async fn no_request_begins_on_a_connection_that_is_being_closed() {
    const TRIALS: usize = 50;
    let limits = small();
    let service = Rc::new(Counting::default());
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let (_stop, stop) = watch::channel(false);
    for _ in 0..TRIALS {
        let address = listener.local_addr().expect("it has an address");
        let mut caller = TcpStream::connect(address).await.expect("it listens");
        let (stream, _) = listener.accept().await.expect("a caller has connected");
        let guard = admit(&limits, 1).expect("there is a place");
        let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        caller.write_all(request).await.expect("it is connected");
        stream.readable().await.expect("the request arrives");
        sweep(&limits, 3000 / SWEEP_INTERVAL.0 + 1);
        let service = Rc::clone(&service);
        let port = Rc::clone(&limits.front);
        serve_connection(stream, guard, service, port, stop.clone()).await;
    }

    assert_eq!(service.0.get(), 0);
}

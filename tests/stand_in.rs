//! Stand-in server: announcements, modes, slots and service times.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, block_on};
use curranthollow::http::{
    CallerConnection, HeaderList, HttpLimits, RequestBody, ResponseHead, send_request,
};
use curranthollow::stand_in::{
    BodyPattern, ServiceTime, SlotQueue, StandInMode, StandInOptions, StandInServer,
};
use futures_util::FutureExt;

/// Starts an entry that responds to each announcement with `status` and reports its token and body.
fn start_entry(status: u16) -> (SocketAddr, Receiver<(String, serde_json::Value)>) {
    let listener = block_on(TcpListener::bind("127.0.0.1:0")).expect("the entry listens");
    let address = listener.local_addr().expect("the entry has an address");
    let (sender, receiver) = async_channel::unbounded();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut connection = CallerConnection::new(stream, HttpLimits::default()).unwrap();
            let head = connection.next_head().await.unwrap().expect("a request arrives");
            assert_eq!((&*head.method, &*head.target), ("POST", "/.curranthollow/announce"));
            let mut body = RequestBody::new(&head);
            let content = connection.read_whole_body(&mut body, 10_000).await.unwrap();
            let token = head.headers.get_str("authorization").unwrap_or_default().to_owned();
            let value = serde_json::from_slice(&content).expect("the body is JSON");
            let _ = sender.send((token, value)).await;
            let _ = connection.respond(&head, ResponseHead::new(status), b"").await;
        }
    });
    (address, receiver)
}

/// Guards against announcements that entries cannot use and against not trying the next entry.
#[test]
fn server_announces_itself() {
    let (refusing_entry, refused) = start_entry(503);
    let (accepting_entry, accepted) = start_entry(200);
    let options = StandInOptions {
        entries: vec![refusing_entry, accepting_entry],
        token: "secret".into(),
        heartbeat: Duration::from_millis(20),
        incarnation: 4,
        ..StandInOptions::default()
    };
    let server = block_on(StandInServer::start(options)).expect("the server listens");
    let (token, mut first) = block_on(accepted.recv()).expect("an announcement arrives");
    assert_eq!(token, "Bearer secret");
    assert_eq!(refused.len(), 1);
    assert_eq!(first["address"], server.address().to_string());
    first["address"] = "ADDRESS".into();
    insta::assert_json_snapshot!(first, @r#"
    {
      "address": "ADDRESS",
      "availability_zone": "a",
      "connections": 220,
      "incarnation": 4,
      "load": 0,
      "sequence": 1,
      "server": "server-1",
      "service": "service",
      "slots": 6,
      "state": "ready",
      "team": "team"
    }
    "#);
    let (_, second) = block_on(accepted.recv()).expect("a heartbeat arrives");
    assert_eq!(second["sequence"], 2);
    server.set_mode(StandInMode::MisleadingLoad { load: 77 });
    server.drain();
    loop {
        let (_, next) = block_on(accepted.recv()).expect("the change is announced");
        if next["state"] == "draining" {
            assert_eq!(next["load"], 77);
            break;
        }
    }
    block_on(server.stop());
}

/// Guards against response bodies that are equal for different requests.
#[yare::parameterized(by_length = { "/x?size=100001" }, in_chunks = { "/x?size=100001&chunked=1" })]
fn response_body_depends_on_the_run_id(target: &str) {
    let server = block_on(StandInServer::start(StandInOptions::default())).expect("listens");
    let mut headers = HeaderList::new();
    headers.append("x-run-id", b"run-1").unwrap();
    let limit = Duration::from_secs(10);
    let response = send_request(server.address(), "POST", target, headers, b"abc", limit);
    let response = block_on(response).expect("the response is complete");
    assert_eq!(response.body.len(), 100_001);
    assert!(BodyPattern::new("run-1").matches(&response.body));
    assert!(!BodyPattern::new("run-2").matches(&response.body));
    assert_eq!(response.head.headers.get_str("x-body-length"), Some("3"));
    let digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(response.head.headers.get_str("x-body-sha256"), Some(digest));
    assert_eq!(server.runs().count_by_run_id("run-1"), 1);
}

/// Sends a request and returns the time until its response.
fn measure_response_time(server: &StandInServer) -> Duration {
    let started = Instant::now();
    let limit = Duration::from_secs(60);
    let request = send_request(server.address(), "GET", "/x", HeaderList::new(), b"", limit);
    assert_eq!(block_on(request).expect("the response is complete").head.status, 200);
    started.elapsed()
}

/// Guards against slow modes that do not lengthen the service time.
#[yare::parameterized(
    straggler = { StandInMode::Straggler { factor: 20.0 } },
    cold_start = { StandInMode::ColdStart { factor: 21.0, duration: Duration::from_secs(3600) } },
)]
fn slow_modes_lengthen_the_service_time(mode: StandInMode) {
    let options = StandInOptions {
        service_time: ServiceTime::Fixed(Duration::from_millis(5)),
        ..StandInOptions::default()
    };
    let server = block_on(StandInServer::start(options)).expect("the server listens");
    server.set_mode(mode);
    assert!(measure_response_time(&server) >= Duration::from_millis(100));
    // A busy machine may exceed any upper bound, so the normal mode has only a lower bound.
    server.set_mode(StandInMode::Normal);
    assert!(measure_response_time(&server) >= Duration::from_millis(5));
}

/// Guards against a server that accepts more connections than it announces.
#[test]
fn limits_open_connections() {
    block_on(async {
        let options = StandInOptions { connections: 1, ..StandInOptions::default() };
        let server = StandInServer::start(options).await.expect("the server listens");
        let mut first = TcpStream::connect(server.address()).await.unwrap();
        first.write_all(b"GET /stand-in/runs HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        let mut response = [0; 512];
        let count = first.read(&mut response).await.unwrap();
        let expected = "HTTP/1.1 200 OK\r\ncontent-length: 36\r\n\r\n\
            {\"total\":0,\"unrecorded\":0,\"runs\":[]}";
        assert_eq!(String::from_utf8_lossy(&response[..count]), expected);
        let mut second = TcpStream::connect(server.address()).await.unwrap();
        assert!(matches!(second.read(&mut response).await, Ok(0) | Err(_)));
        assert_eq!(server.connections(), (1, 1));
    });
}

/// Guards against a slot that is granted out of order or lost when a waiter leaves the queue.
#[test]
fn grants_slots_in_order_of_arrival() {
    let queue = SlotQueue::new(1);
    let first = block_on(queue.acquire());
    let mut second = Box::pin(queue.acquire());
    let mut third = Box::pin(queue.acquire());
    let mut fourth = Box::pin(queue.acquire());
    assert!((&mut second).now_or_never().is_none());
    assert!((&mut third).now_or_never().is_none());
    assert!((&mut fourth).now_or_never().is_none());
    assert_eq!(queue.counts().max_waiting, 3);
    drop(second);
    drop(first);
    assert!((&mut fourth).now_or_never().is_none());
    let third = (&mut third).now_or_never().expect("the oldest waiter gets the slot");
    // The slot is granted to the fourth waiter, which leaves before it polls for the slot.
    drop(third);
    assert_eq!(queue.counts().running, 1);
    drop(fourth);
    assert_eq!(queue.counts().running, 0);
    assert!(queue.acquire().now_or_never().is_some());
}

/// Guards against exceeding the number of slots and against a deadlock when waiters leave the queue.
#[test]
fn never_exceeds_slots_under_concurrency() {
    block_on(async {
        let queue = SlotQueue::new(3);
        let running = Arc::new(AtomicUsize::new(0));
        let mut tasks = Vec::new();
        for number in 0..2000_u64 {
            let queue = queue.clone();
            let running = Arc::clone(&running);
            tasks.push(task::spawn(async move {
                let max_wait = Duration::from_micros(number % 7 * 500);
                let Ok(slot) = timeout(max_wait, queue.acquire()).await else {
                    return;
                };
                assert!(running.fetch_add(1, Ordering::SeqCst) < 3);
                task::yield_now().await;
                running.fetch_sub(1, Ordering::SeqCst);
                drop(slot);
            }));
        }
        for task in tasks {
            task.await;
        }
        assert_eq!((queue.counts().running, queue.counts().waiting), (0, 0));
    });
}

/// Guards against service times whose mean differs from the configured one.
#[test]
fn lognormal_service_times_have_the_configured_mean() {
    let time = ServiceTime::LogNormal { mean: Duration::from_millis(10), sigma: 0.5 };
    let mut random = fastrand::Rng::with_seed(3);
    let total: Duration = (0..100_000).map(|_| time.sample(&mut random)).sum();
    let mean = total / 100_000;
    assert!(mean.abs_diff(Duration::from_millis(10)) < Duration::from_micros(100), "{mean:?}");
}

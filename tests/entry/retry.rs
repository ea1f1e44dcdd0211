//! Retries of a request.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_std::io::ReadExt;
use async_std::net::TcpListener;
use async_std::task;
use curranthollow::stand_in::StandInMode;
use yare::parameterized;

use super::harness::{TestEntry, ample_limits, get, send, stand_in};

/// Guards against reporting "not run" for a request whose first attempt may have run, when the
/// second server is unreachable or refuses the request.
#[parameterized(
    unreachable = { false },
    refuses = { true },
)]
fn possibly_executed_attempt_is_reported_as_unknown(is_refused: bool) {
    task::block_on(async move {
        let service = r#""retry": { "attempts": 2, "not_run_statuses": [503] }"#;
        let entry = TestEntry::start(&[("blue", service)], ample_limits()).await;
        let first = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        entry.add_server("blue", "s1", first.local_addr().expect("it is bound"), 1);
        let address = entry.address;
        let response = task::spawn(async move { send(address, &get("/blue")).await });
        let (mut connection, _) = first.accept().await.expect("the entry connects");
        let count = connection.read(&mut [0; 4096]).await.expect("the request arrives");
        assert!(count > 0);
        // The second server is added only now, so that it gets the second attempt.
        let second = stand_in().await;
        second.set_mode(StandInMode::Refuse);
        if !is_refused {
            second.stop().await;
        }
        entry.add_server("blue", "s2", second.address(), 1);
        drop(connection);
        let response = response.await;
        assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
        assert!(response.contains(r#""code":"server_failed","run":"unknown""#), "{response}");
    });
}

/// Starts a server that disconnects whenever it gets a request, as if it crashed and was back at once;
/// counts the requests.
async fn start_crashing_server(entry: &TestEntry, name: &str, request_count: &Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    entry.add_server("blue", name, listener.local_addr().expect("it is bound"), 4);
    let request_count = Arc::clone(request_count);
    task::spawn(async move {
        loop {
            let (mut connection, _) = listener.accept().await.expect("the entry connects");
            let read = connection.read(&mut [0; 4096]).await;
            request_count
                .fetch_add(usize::from(read.is_ok_and(|count| count > 0)), Ordering::SeqCst);
        }
    });
}

/// Guards against a request that crashes its servers and is sent to more of them than its service allows
/// attempts; nothing else limits it here.
#[test]
fn a_crashing_request_is_sent_no_more_often_than_attempts_allow() {
    const ATTEMPTS: usize = 2;
    task::block_on(async move {
        let service = format!(r#""retry": {{ "attempts": {ATTEMPTS} }}"#);
        let entry = TestEntry::start(&[("blue", &service)], ample_limits()).await;
        let request_count = Arc::new(AtomicUsize::new(0));
        for name in ["s1", "s2", "s3", "s4", "s5", "s6"] {
            start_crashing_server(&entry, name, &request_count).await;
        }
        for call in 0..12 {
            let count_before = request_count.load(Ordering::SeqCst);
            let response = send(entry.address, &get("/blue")).await;
            let sent_count = request_count.load(Ordering::SeqCst) - count_before;
            println!("call {call}: {sent_count} sends, {}", response.lines().next().unwrap_or("-"));
            assert!((1..=ATTEMPTS).contains(&sent_count), "{sent_count} sends: {response}");
            assert!(response.contains(r#""code":"server_failed","run":"unknown""#), "{response}");
        }
    });
}

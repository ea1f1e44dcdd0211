//! Retries of a request.

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

//! Stand-in server: announcements and modes.

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Receiver;
use async_std::net::TcpListener;
use async_std::task::{self, block_on};
use curranthollow::http::{
    CallerConnection, HeaderList, HttpLimits, RequestBody, ResponseHead, send_request,
};
use curranthollow::stand_in::{
    BodyPattern, ServiceTime, StandInMode, StandInOptions, StandInServer,
};

/// Takes announcements and answers each with `status`.
fn start_entry(status: u16) -> (SocketAddr, Receiver<(String, serde_json::Value)>) {
    let listener = block_on(TcpListener::bind("127.0.0.1:0")).expect("the entry listens");
    let address = listener.local_addr().expect("the entry has an address");
    let (sender, receiver) = async_channel::unbounded();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut connection = CallerConnection::new(stream, HttpLimits::default()).unwrap();
            let head = connection.next_head().await.unwrap().expect("a request comes");
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

/// Guards against announcements that entries cannot use, and against giving up at a refusing entry.
#[test]
fn server_announces_itself() {
    let (refusing, refused) = start_entry(503);
    let (address, accepted) = start_entry(200);
    let options = StandInOptions {
        entries: vec![refusing, address],
        token: "secret".into(),
        heartbeat: Duration::from_millis(20),
        incarnation: 4,
        ..StandInOptions::default()
    };
    let server = block_on(StandInServer::start(options)).expect("the server listens");
    let (token, mut first) = block_on(accepted.recv()).expect("an announcement comes");
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
    let (_, second) = block_on(accepted.recv()).expect("a heartbeat comes");
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

/// Guards against a response that cannot be told from that of another request.
#[yare::parameterized(by_length = { "/x?size=100001" }, in_chunks = { "/x?size=100001&chunked=1" })]
fn response_body_follows_the_run_id(target: &str) {
    let server = block_on(StandInServer::start(StandInOptions::default())).expect("listens");
    let mut headers = HeaderList::new();
    headers.append("x-run-id", b"run-1").unwrap();
    let limit = Duration::from_secs(10);
    let response = send_request(server.address(), "POST", target, headers, b"abc", limit);
    let response = block_on(response).expect("the response is whole");
    assert_eq!(response.body.len(), 100_001);
    assert!(BodyPattern::new("run-1").matches(&response.body));
    assert!(!BodyPattern::new("run-2").matches(&response.body));
    assert_eq!(response.head.headers.get_str("x-body-length"), Some("3"));
    let digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(response.head.headers.get_str("x-body-sha256"), Some(digest));
    assert_eq!(server.runs().count("run-1"), 1);
}

/// Guards against service times that do not have the stated mean.
#[test]
fn lognormal_times_have_their_mean() {
    let time = ServiceTime::LogNormal { mean: Duration::from_millis(10), sigma: 0.5 };
    let mut random = fastrand::Rng::with_seed(3);
    let total: Duration = (0..100_000).map(|_| time.sample(&mut random)).sum();
    let mean = total / 100_000;
    assert!(mean.abs_diff(Duration::from_millis(10)) < Duration::from_micros(100), "{mean:?}");
}

//! Links between processes: rejection of malformed frames, detection of dead peers, reconnection.

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Receiver;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, block_on};
use curranthollow::link::{
    FrameError, HelloMessage, LinkConfig, LinkEvent, LinkHub, LinkTarget, MAX_FRAME_BYTES,
    ProcessRole, WIRE_VERSION, WireFrame, WireMessage,
};
use futures_util::{SinkExt, StreamExt};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async, client_async_with_config};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

type Socket = WebSocketStream<Compat<TcpStream>>;

/// Timeout that only a failing test reaches.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn hello(name: &str) -> HelloMessage {
    HelloMessage {
        name: name.into(),
        role: ProcessRole::Entry,
        availability_zone: "a".into(),
        member: None,
    }
}

fn frame(name: &str, message: WireMessage) -> WireFrame {
    WireFrame { version: WIRE_VERSION, region: "r".into(), from: name.into(), message }
}

fn hello_message(name: &str) -> Message {
    binary_message(&frame(name, WireMessage::Hello(hello(name))))
}

fn binary_message(frame: &WireFrame) -> Message {
    Message::Binary(frame.encode().unwrap().into())
}

fn start_hub(name: &str) -> (LinkHub, Receiver<LinkEvent>) {
    let (sender, receiver) = async_channel::bounded(1000);
    let config = LinkConfig { hello: hello(name), region: "r".into() };
    (LinkHub::new(config, sender), receiver)
}

/// Starts a hub that accepts links on a loopback port.
async fn listen(name: &str) -> (LinkHub, Receiver<LinkEvent>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (hub, events) = start_hub(name);
    hub.listen(listener);
    (hub, events, address)
}

/// Opens a WebSocket connection without a limit on the size of messages and without sending a
/// hello.
async fn open_socket(address: SocketAddr) -> Socket {
    let stream = TcpStream::connect(address).await.unwrap();
    let config = WebSocketConfig::default().max_message_size(None).max_frame_size(None);
    let url = format!("ws://{address}/");
    client_async_with_config(url, stream.compat(), Some(config)).await.unwrap().0
}

/// Waits for the next event and describes it.
async fn next_event(events: &Receiver<LinkEvent>) -> String {
    match timeout(TEST_TIMEOUT, events.recv()).await.expect("an event arrives").unwrap() {
        LinkEvent::Up(hello) => format!("up {}", hello.name),
        LinkEvent::Down(name) => format!("down {name}"),
        LinkEvent::Message(name, _) => format!("message {name}"),
    }
}

/// Reads until the hub has closed the connection.
async fn read_to_end(socket: &mut Socket) {
    let read_all = async { while let Some(Ok(_)) = socket.next().await {} };
    timeout(TEST_TIMEOUT, read_all).await.expect("the link is closed");
}

/// Returns a frame with an unsupported version.
fn unsupported_frame() -> Message {
    let mut frame = frame("b", WireMessage::Ping);
    frame.version = WIRE_VERSION + 1;
    binary_message(&frame)
}

/// Guards against a malformed frame that is ignored or causes a panic instead of closing the link.
#[yare::parameterized(
    text = { Message::Text("hello".into()) },
    empty = { Message::Binary(Vec::new().into()) },
    malformed = { Message::Binary(vec![0xff; 100].into()) },
    other_version = { unsupported_frame() },
    oversized = { Message::Binary(vec![0; MAX_FRAME_BYTES + 1].into()) },
    nested = { Message::Binary(vec![0x81; 1_000_000].into()) },
)]
fn invalid_frame_closes_the_link(message: Message) {
    block_on(async {
        let (hub, events, address) = listen("a").await;
        let mut socket = open_socket(address).await;
        socket.send(hello_message("b")).await.unwrap();
        assert_eq!(next_event(&events).await, "up b");
        // The hub may close the connection before the whole frame is sent.
        let _ = socket.send(message).await;
        assert_eq!(next_event(&events).await, "down b");
        read_to_end(&mut socket).await;
        assert!(hub.peers().is_empty());
    });
}

/// Guards against opening a link to a process that has not sent a valid hello.
#[yare::parameterized(
    ping = { binary_message(&frame("b", WireMessage::Ping)) },
    text = { Message::Text("hello".into()) },
    malformed = { Message::Binary(vec![0xff; 100].into()) },
    other_version = { unsupported_frame() },
    close = { Message::Close(None) },
)]
fn invalid_hello_opens_no_link(message: Message) {
    block_on(async {
        let (hub, events, address) = listen("a").await;
        let mut socket = open_socket(address).await;
        socket.send(message).await.unwrap();
        read_to_end(&mut socket).await;
        assert!(events.is_empty() && hub.peers().is_empty());
    });
}

/// Guards against opening a link to another process than the one configured for an address.
#[test]
fn unexpected_peer_name_opens_no_link() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (hub, events) = start_hub("a");
        let address = listener.local_addr().unwrap();
        hub.connect(LinkTarget { name: "b".into(), address });
        for name in ["c", "b"] {
            let (stream, _) = listener.accept().await.unwrap();
            let mut socket = accept_async(stream.compat()).await.unwrap();
            socket.send(hello_message(name)).await.unwrap();
            if name == "c" {
                read_to_end(&mut socket).await;
                assert!(events.is_empty());
                continue;
            }
            assert_eq!(next_event(&events).await, "up b");
        }
    });
}

/// Guards against keeping a link whose peer no longer receives, because the peer's own messages
/// still arrive. A peer that responds to pings stays connected during the same time.
#[test]
fn link_without_pongs_is_closed() {
    block_on(async {
        let (_hub, events, address) = listen("a").await;
        let (peer, peer_events) = start_hub("c");
        peer.connect(LinkTarget { name: "a".into(), address });
        assert_eq!(next_event(&events).await, "up c");
        assert_eq!(next_event(&peer_events).await, "up a");
        let mut socket = open_socket(address).await;
        socket.send(hello_message("b")).await.unwrap();
        assert_eq!(next_event(&events).await, "up b");
        let sender_task = task::spawn(async move {
            while socket.send(hello_message("b")).await.is_ok() {
                task::sleep(Duration::from_millis(50)).await;
            }
        });
        loop {
            match &*next_event(&events).await {
                "message b" => continue,
                other => break assert_eq!(other, "down b"),
            }
        }
        sender_task.await;
        assert!(peer_events.is_empty() && events.is_empty());
    });
}

/// Guards against a link that is not reopened after its connection was closed.
#[test]
fn link_reopens_after_disconnect() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (hub, events) = start_hub("a");
        hub.connect(LinkTarget { name: "b".into(), address });
        for _ in 0..3 {
            let (stream, _) = listener.accept().await.unwrap();
            let mut socket = accept_async(stream.clone().compat()).await.unwrap();
            socket.send(hello_message("b")).await.unwrap();
            assert_eq!(next_event(&events).await, "up b");
            assert!(hub.send("b", WireMessage::Ping));
            stream.shutdown(async_std::net::Shutdown::Both).unwrap();
            assert_eq!(next_event(&events).await, "down b");
            assert!(!hub.send("b", WireMessage::Ping));
        }
    });
}

/// Guards against messages that are lost or reordered on an open link.
#[test]
fn messages_arrive_in_order() {
    block_on(async {
        let (_hub, events, address) = listen("a").await;
        let (peer, peer_events) = start_hub("b");
        peer.connect(LinkTarget { name: "a".into(), address });
        assert_eq!(next_event(&peer_events).await, "up a");
        assert_eq!(next_event(&events).await, "up b");
        for number in 0..200 {
            assert!(peer.send("a", WireMessage::Hello(hello(&number.to_string()))));
        }
        for number in 0..200 {
            let event = timeout(TEST_TIMEOUT, events.recv()).await.unwrap().unwrap();
            let LinkEvent::Message(from, message) = event else {
                panic!("unexpected {event:?}");
            };
            let WireMessage::Hello(hello) = *message else {
                panic!("unexpected {message:?}");
            };
            assert_eq!((&*from, &*hello.name), ("b", &*number.to_string()));
        }
    });
}

/// Guards against two connection tasks for one peer, whose links would replace each other forever:
/// the address of the peer is replaced and then set again.
#[test]
fn restored_address_has_one_connection_task() {
    block_on(async {
        let (_first, first_events, address) = listen("b").await;
        let (_second, _second_events, second_address) = listen("b").await;
        let (hub, _events) = start_hub("a");
        hub.connect(LinkTarget { name: "b".into(), address });
        assert_eq!(next_event(&first_events).await, "up a");
        hub.connect(LinkTarget { name: "b".into(), address: second_address });
        hub.connect(LinkTarget { name: "b".into(), address });
        // The reconnect backoff starts at 50 ms, so this allows several reconnects.
        task::sleep(Duration::from_millis(600)).await;
        let mut reopened_count = 0;
        while let Ok(event) = first_events.try_recv() {
            reopened_count += usize::from(matches!(event, LinkEvent::Up(_)));
        }
        assert!(reopened_count <= 2, "{reopened_count} additional links");
    });
}

/// Guards against a stopped hub that still accepts links on its port.
#[test]
fn stop_closes_links_and_listener() {
    block_on(async {
        let (hub, events, address) = listen("a").await;
        let mut socket = open_socket(address).await;
        socket.send(hello_message("b")).await.unwrap();
        assert_eq!(next_event(&events).await, "up b");
        hub.stop();
        assert_eq!(next_event(&events).await, "down b");
        read_to_end(&mut socket).await;
        // Binds instead of connecting, because a connection would wake up a listener that is still
        // waiting.
        let port_released = async {
            while TcpListener::bind(address).await.is_err() {
                task::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TEST_TIMEOUT, port_released).await.expect("the port is released");
    });
}

/// Guards against frames that exhaust memory or stack, and against an unspecific error for frames
/// of another version.
#[test]
fn frame_errors_are_distinguished() {
    let decode = |bytes: &[u8]| WireFrame::decode(bytes).unwrap_err();
    assert!(matches!(decode(&vec![0; MAX_FRAME_BYTES + 1]), FrameError::TooLarge(_)));
    assert!(matches!(decode(&[0x81; 100_000]), FrameError::Malformed(_)));
    assert!(matches!(decode(b""), FrameError::Malformed(_)));
    let Message::Binary(bytes) = unsupported_frame() else {
        panic!("frames are binary");
    };
    assert!(matches!(decode(&bytes), FrameError::UnsupportedVersion(2)));
    let large = HelloMessage { name: "x".repeat(MAX_FRAME_BYTES).into(), ..hello("b") };
    let error = frame("b", WireMessage::Hello(large)).encode().unwrap_err();
    assert!(matches!(error, FrameError::TooLarge(_)));
}

/// Guards against panics on corrupted frames.
#[test]
fn corrupted_frames_never_panic() {
    let valid = frame("b", WireMessage::Hello(hello("b"))).encode().unwrap();
    let mut random = fastrand::Rng::with_seed(9);
    for _ in 0..20_000 {
        let mut bytes = valid.clone();
        for _ in 0..random.usize(1..4) {
            let position = random.usize(0..bytes.len());
            bytes[position] = random.u8(..);
        }
        bytes.truncate(random.usize(0..=bytes.len()));
        let _ = WireFrame::decode(&bytes);
    }
}

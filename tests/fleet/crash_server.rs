//! Stand-in server that a request can crash.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;

use crate::harness::{
    HEALTH_PAGE, TEST_TIMEOUT, VALID_RESPONSE, header_value, read_request, wait_for,
};

/// Part of a request that crashes its server.
pub const DEADLY: &str = "deadly";

/// Part of a request whose connection is reset, although the server goes on.
pub const RESET: &str = "reset";

/// Part of a request that gets an invalid response, after which the server goes away.
pub const GARBAGE: &str = "garbage";

/// Part of a request that runs until its server crashes, or for [`LONG_RUN`].
pub const LONG: &str = "long";

/// Part of a deadly request that runs for [`SLOW_RUN`] until it crashes its server.
pub const SLOW: &str = "slow";

/// Duration of a slow request; a hedged send starts before.
const SLOW_RUN: Duration = Duration::from_millis(1200);

/// Part of a deadly request whose server sends interim responses before it crashes.
pub const INTERIM: &str = "interim";

/// Part of a request that crashes its server when a half of its response is sent. [`BodyStyle::word`] names
/// the framing.
pub const TORN: &str = "torn";

/// Part of a request whose server sends a half of its response and then nothing until it crashes.
pub const STALLED: &str = "stalled";

/// Part of a request with a response that does not fit into the buffers between server and caller.
pub const HUGE: &str = "huge";

/// Bytes of a half of a response; an entry relays what is longer than 128 KiB before it is complete.
const HALF_BYTES: usize = 300 << 10;

/// Bytes of a half of a huge response.
const HUGE_HALF_BYTES: usize = 24 << 20;

/// Time that the first half of a response has to arrive before its server crashes.
const HALF_TIME: Duration = Duration::from_millis(200);

/// Framing of a long response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyStyle {
    Length,
    Chunks,
    /// The body ends with the connection.
    Close,
    /// As [`Self::Close`], but a crash resets the connection.
    Abort,
}

impl BodyStyle {
    /// Part of a request that asks for this framing.
    pub fn word(self) -> &'static str {
        match self {
            Self::Length => "by length",
            Self::Chunks => "by chunks",
            Self::Close => "by close",
            Self::Abort => "by abort",
        }
    }

    fn of(request: &str) -> Self {
        let styles = [Self::Length, Self::Chunks, Self::Close, Self::Abort];
        styles.into_iter().find(|style| request.contains(style.word())).unwrap_or(Self::Length)
    }

    fn header(self, half_bytes: usize) -> String {
        match self {
            Self::Length => format!("content-length: {}", 2 * half_bytes),
            Self::Chunks => "transfer-encoding: chunked".to_owned(),
            Self::Close | Self::Abort => "connection: close".to_owned(),
        }
    }

    fn half(self, half_bytes: usize) -> Vec<u8> {
        let data = "x".repeat(half_bytes);
        match self {
            Self::Chunks => format!("{half_bytes:x}\r\n{data}\r\n").into_bytes(),
            _ => data.into_bytes(),
        }
    }
}

/// Time for which the address of a server that has crashed answers no handshakes before it refuses them.
const SILENT_TIME: Duration = Duration::from_millis(300);

/// Duration of a long request.
const LONG_RUN: Duration = Duration::from_millis(700);

/// Server that closes its listener and then all its connections once it gets a deadly request.
pub struct CrashServer {
    pub address: SocketAddr,
    state: Arc<ServerState>,
}

#[derive(Default)]
struct ServerState {
    requests: Mutex<Vec<String>>,
    streams: Mutex<Vec<TcpStream>>,
    crashed: AtomicBool,
    tame: AtomicBool,
    /// Whether the address is silent for [`SILENT_TIME`] after the crash.
    silent: AtomicBool,
    listener_silent: AtomicBool,
    listener_closed: AtomicBool,
}

impl CrashServer {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a listener has an address");
        let state = Arc::new(ServerState::default());
        let server_state = Arc::clone(&state);
        std::thread::spawn(move || accept(listener, &server_state));
        Self { address, state }
    }

    /// Requests other than health probes whose text contains `part`.
    pub fn count(&self, part: &str) -> usize {
        let requests = self.state.requests.lock().expect("no thread panics with the lock");
        requests.iter().filter(|request| request.contains(part)).count()
    }

    pub fn is_running(&self) -> bool {
        !self.state.crashed.load(Ordering::SeqCst)
    }

    /// Ends the server as a deadly request does.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Ends the server; its address refuses connections only after [`SILENT_TIME`].
    pub fn crash_silently(&self) {
        self.state.silent.store(true, Ordering::SeqCst);
        self.state.crashed.store(true, Ordering::SeqCst);
        let is_silent = || self.state.listener_silent.load(Ordering::SeqCst);
        wait_for("the listener to be silent", is_silent);
        self.state.close_streams();
    }

    /// Sets whether requests that would crash the server are served.
    pub fn set_tame(&self, is_tame: bool) {
        self.state.tame.store(is_tame, Ordering::SeqCst);
    }
}

impl ServerState {
    fn is_tame(&self) -> bool {
        self.tame.load(Ordering::SeqCst)
    }

    /// Crashes so that the peers get resets.
    fn abort(&self) {
        let streams = std::mem::take(&mut *self.streams.lock().expect("no thread panics"));
        for stream in &streams {
            let linger = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            linger.expect("a stream can be reset");
        }
        self.crashed.store(true, Ordering::SeqCst);
        wait_for("the listener to close", || self.listener_closed.load(Ordering::SeqCst));
    }

    fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        wait_for("the listener to close", || self.listener_closed.load(Ordering::SeqCst));
        self.close_streams();
    }

    fn close_streams(&self) {
        for stream in &*self.streams.lock().expect("no thread panics with the lock") {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Fills the queue of a listener, so that further handshakes get no answer. The queue stays full while the
/// returned connections exist.
fn fill_queue(listener: &TcpListener) -> Vec<TcpStream> {
    SockRef::from(listener).listen(0).expect("the queue can be shortened");
    let address = listener.local_addr().expect("a listener has an address");
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok();
    std::iter::from_fn(connect).collect()
}

fn accept(listener: TcpListener, state: &Arc<ServerState>) {
    listener.set_nonblocking(true).expect("a listener can be non-blocking");
    while !state.crashed.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(Duration::from_millis(1));
            continue;
        };
        stream.set_nonblocking(false).expect("a stream can be blocking");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
        let registered = stream.try_clone().expect("a stream can be cloned");
        state.streams.lock().expect("no thread panics with the lock").push(registered);
        let state = Arc::clone(state);
        std::thread::spawn(move || serve(stream, &state));
    }
    if state.silent.load(Ordering::SeqCst) {
        let _queued = fill_queue(&listener);
        state.listener_silent.store(true, Ordering::SeqCst);
        std::thread::sleep(SILENT_TIME);
    }
    drop(listener);
    state.listener_closed.store(true, Ordering::SeqCst);
}

fn serve(mut stream: TcpStream, state: &ServerState) {
    let mut input = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut input) {
        if request.starts_with("GET /health") {
            if stream.write_all(HEALTH_PAGE.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let id = header_value(&request, "x-request-id").unwrap_or_default();
        state.requests.lock().expect("no thread panics with the lock").push(request.clone());
        if request.contains(DEADLY) && !state.is_tame() {
            if request.contains(SLOW) {
                std::thread::sleep(SLOW_RUN);
            }
            if request.contains(INTERIM) {
                let _ = stream.write_all(&b"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(2));
                std::thread::sleep(HALF_TIME);
            }
            return state.crash();
        }
        if request.contains(TORN) || request.contains(STALLED) {
            let style = BodyStyle::of(&request);
            if respond_in_halves(&mut stream, state, &request, style).is_err() {
                return;
            }
            if matches!(style, BodyStyle::Close | BodyStyle::Abort) {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            continue;
        }
        if request.contains(GARBAGE) {
            let _ = stream.write_all(b"no response at all\r\n\r\n");
            return state.crash();
        }
        if request.contains(RESET) {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
        if request.contains(LONG) {
            std::thread::sleep(LONG_RUN);
        }
        if stream.write_all(VALID_RESPONSE.replace("ID", &id).as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends a long response; fails if the server crashes before it is complete.
fn respond_in_halves(
    stream: &mut TcpStream,
    state: &ServerState,
    request: &str,
    style: BodyStyle,
) -> std::io::Result<()> {
    let half_bytes = if request.contains(HUGE) { HUGE_HALF_BYTES } else { HALF_BYTES };
    let id = header_value(request, "x-request-id").unwrap_or_default();
    let head = VALID_RESPONSE.replace("ID", &id);
    let head = head.replace("content-length: 2", &style.header(half_bytes));
    stream.write_all(head.trim_end_matches("ok").as_bytes())?;
    stream.write_all(&style.half(half_bytes))?;
    std::thread::sleep(HALF_TIME);
    if request.contains(STALLED) {
        wait_for("the server to crash", || state.crashed.load(Ordering::SeqCst));
        return Err(std::io::ErrorKind::ConnectionAborted.into());
    }
    if !state.is_tame() {
        match style {
            BodyStyle::Abort => state.abort(),
            _ => state.crash(),
        }
        return Err(std::io::ErrorKind::ConnectionAborted.into());
    }
    stream.write_all(&style.half(half_bytes))?;
    match style {
        BodyStyle::Chunks => stream.write_all(b"0\r\n\r\n"),
        _ => Ok(()),
    }
}

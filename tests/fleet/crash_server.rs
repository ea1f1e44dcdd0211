//! Stand-in server that a request can crash.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

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
}

impl ServerState {
    fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        wait_for("the listener to close", || self.listener_closed.load(Ordering::SeqCst));
        for stream in &*self.streams.lock().expect("no thread panics with the lock") {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
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
        if request.contains(DEADLY) {
            return state.crash();
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

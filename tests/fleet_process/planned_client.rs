//! Client of the soak test of planned work: draws requests, sends them and verifies how each ends.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::harness::header_value;
use crate::work_server::response_body;

/// Timeout of the routes in the document.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a missing response counts as lost: longer than any response may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between a send and the end of its connection within which the two may have crossed: the entry
/// closed the connection before it read the request. Leaves room for the run queue of a busy machine.
const CROSSING_TIME: Duration = Duration::from_millis(250);

/// Number of pieces in which a body is sent.
const UPLOAD_PIECES: u32 = 10;

/// Every fourth client requests long responses, so that those of all clients on one slow line end
/// within the time that an entry allows for the relay of a response.
const LONG_RESPONSE_CLIENTS: usize = 4;

/// How a request ended for its client.
#[derive(Debug)]
pub enum RequestEnd {
    Served,
    /// Refused as not executed.
    Refused,
    /// 504 after the timeout of the route.
    TimedOut,
    /// The entry closed the idle connection before it read the request.
    Crossed,
    /// The connection ended within `CROSSING_TIME` after the last byte of a slow upload.
    CrossedUpload,
    /// Sent behind a response that closed the connection.
    Behind,
    /// The connection ended before the request was sent completely.
    Unsent,
    /// Contradicts the contract.
    Broken(String),
}

/// Request as drawn by a client.
#[derive(Debug)]
pub struct SoakRequest {
    pub id: String,
    pub at_most_once: bool,
    service_ms: u64,
    response_bytes: usize,
    body_bytes: usize,
    /// Time over which the body is sent.
    upload_time: Duration,
    closes: bool,
}

impl SoakRequest {
    fn head(&self) -> String {
        let route = if self.at_most_once { "book" } else { "read" };
        let connection = if self.closes { "connection: close\r\n" } else { "" };
        format!(
            "POST /{route}/w/{}/{} HTTP/1.1\r\nhost: shop\r\nx-request-id: {}\r\n{connection}\
             content-length: {}\r\n\r\n",
            self.service_ms, self.response_bytes, self.id, self.body_bytes
        )
    }

    /// Classifies a response; `complete` states whether the request was sent completely.
    fn end(&self, (head, body): (&str, &[u8]), complete: bool, elapsed: Duration) -> RequestEnd {
        let expected = || response_body(&self.id, self.response_bytes);
        match head.get(9..12).unwrap_or_default() {
            "503" | "429" => RequestEnd::Refused,
            "200" if complete && body == expected().as_bytes() => RequestEnd::Served,
            "504" if elapsed >= ROUTE_TIMEOUT => RequestEnd::TimedOut,
            _ => RequestEnd::Broken(format!("{head} ({} bytes)", body.len())),
        }
    }
}

/// Connection of a client.
pub struct ClientConnection {
    entry: usize,
    stream: TcpStream,
    input: Vec<u8>,
}

impl ClientConnection {
    /// Connects to entry number `entry`; `None` if it does not accept.
    pub fn open(entry: usize, address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).expect("the socket is open");
        stream.set_nodelay(true).expect("the socket is open");
        Some(Self { entry, stream, input: Vec::new() })
    }

    /// Sends a request and reads head and body of its response; `None` if there is no complete one.
    pub fn exchange(&mut self, request: &str) -> Option<(String, Vec<u8>)> {
        self.stream.write_all(request.as_bytes()).ok()?;
        self.read_response().ok()
    }

    /// Reads head and body of a response. The error is whether a part of it arrived, and why it ended.
    fn read_response(&mut self) -> Result<(String, Vec<u8>), (bool, String)> {
        loop {
            if let Some(end) = self.input.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.input[..end]).into_owned();
                let length = header_value(&head, "content-length").unwrap_or_default();
                let Ok(length) = length.parse::<usize>() else { return Err((true, head)) };
                let size = end + 4 + length;
                if self.input.len() >= size {
                    return Ok((head, self.input.drain(..size).skip(end + 4).collect()));
                }
            }
            let mut bytes = [0; 16 << 10];
            let reason = match self.stream.read(&mut bytes) {
                Ok(0) => "closed".to_owned(),
                Ok(count) => {
                    self.input.extend_from_slice(&bytes[..count]);
                    continue;
                }
                Err(error) => error.to_string(),
            };
            return Err((!self.input.is_empty(), format!("{reason} after {}", self.input.len())));
        }
    }

    /// Sends a body in pieces until a response begins or the connection ends; returns whether all of
    /// it was sent.
    fn send_body(&mut self, request: &SoakRequest) -> bool {
        for _ in 0..UPLOAD_PIECES {
            std::thread::sleep(request.upload_time / UPLOAD_PIECES);
            self.stream.set_nonblocking(true).expect("the socket is open");
            let peeked = self.stream.peek(&mut [0]);
            self.stream.set_nonblocking(false).expect("the socket is open");
            let is_silent = peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
            let piece = vec![b'u'; request.body_bytes / UPLOAD_PIECES as usize];
            if !is_silent || self.stream.write_all(&piece).is_err() {
                return false;
            }
        }
        true
    }
}

/// Client that keeps using its connections.
pub struct SoakClient {
    pub number: usize,
    pub entries: Vec<SocketAddr>,
    pub random: fastrand::Rng,
    pub sent: Vec<(SoakRequest, RequestEnd)>,
}

impl SoakClient {
    /// Sends requests until `stop` is set, on each connection until it ends.
    pub fn run(mut self, stop: &AtomicBool) -> Vec<(SoakRequest, RequestEnd)> {
        while !stop.load(Ordering::Relaxed) {
            let entry = self.random.usize(0..self.entries.len());
            let Some(mut connection) = ClientConnection::open(entry, self.entries[entry]) else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            while !stop.load(Ordering::Relaxed) && self.send_batch(&mut connection) {
                let pause_ms = if self.random.u32(0..10) == 0 { 1500 } else { 150 };
                std::thread::sleep(Duration::from_millis(self.random.u64(0..pause_ms)));
            }
        }
        self.sent
    }

    fn draw_request(&mut self, number: usize) -> SoakRequest {
        let service_ms = match self.random.u32(0..100) {
            0..60 => self.random.u64(0..50),
            60..85 => self.random.u64(50..500),
            _ => self.random.u64(500..1800),
        };
        SoakRequest {
            id: format!("c{}-{}-{number}", self.number, self.sent.len()),
            at_most_once: self.random.u32(0..10) < 6,
            service_ms,
            response_bytes: self.random.usize(1..2000),
            body_bytes: 0,
            upload_time: Duration::ZERO,
            closes: false,
        }
    }

    /// Requests that are sent together: one of any kind, or a pipeline of idempotent ones.
    fn draw_batch(&mut self) -> Vec<SoakRequest> {
        let mut batch = vec![self.draw_request(0)];
        let request = &mut batch[0];
        match self.random.u32(0..100) {
            0..20 => {
                request.body_bytes = UPLOAD_PIECES as usize * self.random.usize(2_000..20_000);
                request.upload_time = Duration::from_millis(self.random.u64(50..1500));
            }
            20..35 => request.closes = true,
            35..50 => {
                for number in 1..self.random.usize(2..5) {
                    batch.push(self.draw_request(number));
                }
                batch.iter_mut().for_each(|request| request.at_most_once = false);
            }
            50..90 if self.number.is_multiple_of(LONG_RESPONSE_CLIENTS) => {
                request.response_bytes = self.random.usize(100_000..500_000);
            }
            _ => {}
        }
        batch
    }

    /// Sends a batch and reads its responses; returns whether the connection is still open.
    fn send_batch(&mut self, connection: &mut ClientConnection) -> bool {
        let batch = self.draw_batch();
        let started = Instant::now();
        let text: String = batch.iter().map(SoakRequest::head).collect();
        let mut complete = connection.stream.write_all(text.as_bytes()).is_ok();
        if batch[0].body_bytes > 0 {
            complete = complete && connection.send_body(&batch[0]);
        }
        let sent_at = Instant::now();
        let (mut open, mut answered) = (true, 0);
        for request in batch {
            if !open {
                let end = if answered > 0 { RequestEnd::Behind } else { RequestEnd::Crossed };
                self.sent.push((request, end));
                continue;
            }
            let mut end = match connection.read_response() {
                Ok((head, body)) => {
                    answered += 1;
                    // After an early response, the rest of the upload is not sent.
                    open = complete && header_value(&head, "connection").is_none();
                    request.end((&head, &body), complete, started.elapsed())
                }
                Err((partial, reason)) => {
                    open = false;
                    let crossed = !partial && answered == 0 && sent_at.elapsed() < CROSSING_TIME;
                    match (complete, request.body_bytes) {
                        (false, _) if !partial => RequestEnd::Unsent,
                        (true, 0) if crossed => RequestEnd::Crossed,
                        (true, _) if crossed => RequestEnd::CrossedUpload,
                        _ => RequestEnd::Broken(reason),
                    }
                }
            };
            if let RequestEnd::Broken(reason) = &mut end {
                let (entry, now) = (connection.entry, SystemTime::now());
                let times = (sent_at - started, started.elapsed(), now.duration_since(UNIX_EPOCH));
                *reason += &format!("; entry {entry}, sent, elapsed, time: {times:?}");
            }
            self.sent.push((request, end));
        }
        open
    }
}

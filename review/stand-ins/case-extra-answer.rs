//! Case: an extra answer to a rejected health check stands where the answer of the next request is due.
//!
//! Servers that don't tell their load run near their limit and reject what doesn't fit, health checks too.
//! With the disruption, a part of them also sends a second answer for some answers, late.

#[path = "harness.rs"]
mod harness;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::{Connection, Deployment, Random, Record, Upstream, has_trouble, unix_ms};

const SERVERS: usize = 8;
const SLOTS: usize = 6;
const QUEUE: usize = 12;
const CLIENTS: usize = 150;
const PLAY_TIME: Duration = Duration::from_secs(40);
/// Share of the servers that send extra answers, and share of their answers (`garble`, "extra late").
const FAULTY_SHARE: f64 = 0.6;
const EXTRA_SHARE: f64 = 0.03;
/// One way between zones.
const WAY: Duration = Duration::from_micros(500);

/// Slots and queue of one server.
#[derive(Default)]
struct Room {
    running: usize,
    waiting: usize,
}

struct Server {
    id: String,
    is_faulty: bool,
    room: Mutex<Room>,
    freed: Condvar,
    runs: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
    extras: Arc<AtomicU64>,
    record: Record,
}

impl Server {
    /// Takes a slot, waiting in the queue if it has room; false if the server is full.
    fn enter(&self) -> bool {
        let mut room = self.room.lock().unwrap();
        if room.running >= SLOTS {
            if room.waiting >= QUEUE {
                return false;
            }
            room.waiting += 1;
            while room.running >= SLOTS {
                room = self.freed.wait(room).unwrap();
            }
            room.waiting -= 1;
        }
        room.running += 1;
        true
    }

    fn leave(&self) {
        self.room.lock().unwrap().running -= 1;
        self.freed.notify_one();
    }

    fn serve(&self, stream: TcpStream, seed: u64) {
        let mut connection = Connection::new(stream);
        let mut random = Random::new(seed);
        let mut extra: Option<(&str, Vec<u8>)> = None;
        while let Ok(Some(request)) = connection.read_message(false) {
            thread::sleep(WAY);
            if let Some((kind, copy)) = extra.take() {
                self.extras.fetch_add(1, Ordering::Relaxed);
                self.record.line(&format!("extra  {} sends {kind} once more", self.id));
                if connection.stream.write_all(&copy).is_err() {
                    return;
                }
            }
            let attempt = request.header("x-attempt-id").to_owned();
            let (status, body) = if !self.enter() {
                (503, String::new())
            } else {
                let is_check = request.path() == "/healthz";
                if is_check {
                    thread::sleep(Duration::from_millis(1));
                } else {
                    self.record.line(&format!("run    {attempt} at {}", self.id));
                    self.runs.lock().unwrap().entry(attempt.clone()).or_default().push(self.id.clone());
                    let work = 50.0 + 52.0 * random.unit();
                    thread::sleep(Duration::from_micros((work * 1000.0) as u64));
                }
                self.leave();
                (200, if is_check { "ok".to_owned() } else { format!("done {attempt}") })
            };
            let mut head = if status == 200 {
                "HTTP/1.1 200 OK\r\n".to_owned()
            } else {
                "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: full\r\n".to_owned()
            };
            head += &format!("X-Instance-Id: {}\r\n", self.id);
            if !attempt.is_empty() {
                head += &format!("X-Attempt-Id: {attempt}\r\n");
                if status == 200 {
                    head += &format!("X-Upstream-Signature: s.{}.{attempt}\r\n", self.id);
                }
            }
            head += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
            thread::sleep(WAY);
            if connection.stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            if has_trouble() && self.is_faulty && random.unit() < EXTRA_SHARE {
                let kind = match (attempt.is_empty(), status) {
                    (true, 200) => "the answer to a health check",
                    (true, _) => "the rejection of a health check",
                    (false, 200) => "the answer to a request",
                    (false, _) => "the rejection of a request",
                };
                extra = Some((kind, head.into_bytes()));
            }
        }
    }
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case is given");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let mut deployment = Deployment::new("extra", 1, 3);
    deployment.start_all();
    let admins = deployment.admins();
    let runs = Arc::new(Mutex::new(BTreeMap::new()));
    let extras = Arc::new(AtomicU64::new(0));
    for number in 0..SERVERS {
        let ip = deployment.take_ip();
        let listener = TcpListener::bind((ip, 0)).expect("a loopback address can be bound");
        let server = Arc::new(Server {
            id: format!("i-{number}"),
            is_faulty: (number as f64) < FAULTY_SHARE * SERVERS as f64 - 0.5,
            room: Mutex::default(),
            freed: Condvar::new(),
            runs: Arc::clone(&runs),
            extras: Arc::clone(&extras),
            record: record.clone(),
        });
        let upstream = Upstream {
            id: server.id.clone(), service: "ledger".into(), address: listener.local_addr().unwrap(),
            zone: format!("zone-{}", number % 3), slots: SLOTS as u32, born: unix_ms(),
        };
        thread::spawn(move || {
            for (count, stream) in listener.incoming().flatten().enumerate() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream, (number * 100_003 + count + 1) as u64));
            }
        });
        upstream.keep_beating(admins.clone());
    }
    let config = r#"{"version":"00000001","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"a.example","route_rules":[{"name":"sign","route_type":"unsafe","target_latency":"300ms","priority":1,"match":{"path_prefix":"/sign/"},"action":{"service":"ledger","timeout":"1000ms","max_attempts":2}}]}],"clusters":[{"name":"ledger","health_path":"/healthz","max_conns":220,"protocol":"h1","tls":false}]}"#;
    if !deployment.put_config(config) || !deployment.wait_until_ready() {
        eprintln!("the deployment did not start");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(3));
    record.line(&format!("trouble={}", has_trouble()));
    let answers: Arc<Mutex<BTreeMap<String, u16>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let entries: Vec<SocketAddr> = deployment.entries.iter().map(|entry| entry.address).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (entry, record) = (entries[number % entries.len()], record.clone());
            let (answers, stop) = (Arc::clone(&answers), Arc::clone(&stop));
            thread::spawn(move || run_client(number, entry, &record, &answers, &stop))
        })
        .collect();
    thread::sleep(PLAY_TIME);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(1500));
    judge(&record, &runs.lock().unwrap(), &answers.lock().unwrap(), extras.load(Ordering::Relaxed))
}

/// Sends one request after another on kept connections, each with its own id, and none again.
fn run_client(
    number: usize, entry: SocketAddr, record: &Record, answers: &Mutex<BTreeMap<String, u16>>,
    stop: &AtomicBool,
) {
    let mut connection: Option<Connection> = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("{number:04x}{count:08x}");
        let open = connection.take().map_or_else(
            || TcpStream::connect_timeout(&entry, Duration::from_secs(1)).map(Connection::new),
            Ok,
        );
        let Ok(mut open) = open else { continue };
        let _ = open.stream.set_read_timeout(Some(Duration::from_secs(3)));
        let body = format!("cabinet {id}");
        let request = format!(
            "POST /sign/{id} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1000\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        record.line(&format!("sent   {id}"));
        let sent_at = Instant::now();
        let answer = open.stream.write_all(request.as_bytes()).and_then(|()| open.read_message(false));
        let status = match &answer {
            Ok(Some(message)) => message.status(),
            _ => 0,
        };
        record.line(&format!("answer {id} {status} after {} ms", sent_at.elapsed().as_millis()));
        answers.lock().unwrap().insert(id, status);
        if let Ok(Some(message)) = answer
            && message.header("connection") != "close"
        {
            if status == 503 {
                let pause = message.header("retry-after").parse().unwrap_or(0.05_f64);
                thread::sleep(Duration::from_secs_f64(pause.clamp(0.0, 0.3)));
            }
            connection = Some(open);
        }
    }
}

fn judge(
    record: &Record, runs: &BTreeMap<String, Vec<String>>, answers: &BTreeMap<String, u16>, extras: u64,
) -> ExitCode {
    let twice: Vec<_> = runs.iter().filter(|(_, servers)| servers.len() > 1).collect();
    let refused: Vec<_> = answers
        .iter()
        .filter(|(id, status)| matches!(**status, 408 | 421 | 429 | 503) && runs.contains_key(*id))
        .collect();
    for (id, servers) in &twice {
        record.line(&format!("TWICE  {id} ran at {}", servers.join(" and ")));
    }
    for (id, status) in &refused {
        record.line(&format!("REFUSED {id} was answered {status} and has run"));
    }
    let served = answers.values().filter(|status| **status == 200).count();
    let summary = format!(
        "requests={} served={served} extra_answers={extras} ran_twice={} refused_and_run={}",
        answers.len(), twice.len(), refused.len()
    );
    record.line(&summary);
    println!("{summary}");
    if served < answers.len() / 4 {
        eprintln!("too little was served to judge");
        return ExitCode::from(2);
    }
    if twice.is_empty() && refused.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

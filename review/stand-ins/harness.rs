//! Starts the project's programs as processes on loopback addresses, and helps the stand-ins of the cases:
//! settings files, HTTP/1.1 by hand, heartbeats, the operator, a record. Uses the standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Whether the case plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Numbers that need not be good, only cheap (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Text of `record.txt`: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = fs::File::create(path).expect("record.txt can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.started.elapsed().as_secs_f64());
        let _ = self.file.lock().expect("no writer panics").write_all(line.as_bytes());
    }
}

/// A small deployment: machines with loopback addresses of their own, in a temporary folder.
pub struct Deployment {
    pub folder: PathBuf,
    pub program: PathBuf,
    base: u8,
    next_host: u8,
    link_ports: (u16, u16),
    pub controls: Vec<Machine>,
    pub entries: Vec<Machine>,
}

pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub role: &'static str,
    /// `admin` of a core machine, `frontend` of an edge machine.
    pub address: SocketAddr,
    pub readiness: Option<SocketAddr>,
    settings: PathBuf,
    text: String,
    pub child: Option<Child>,
}

pub fn free_port(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a loopback address can be bound");
    listener.local_addr().expect("it is bound").port()
}

impl Deployment {
    /// `tolerated` core machines may be lost at once; `2 * tolerated + 1` are started.
    pub fn new(case: &str, tolerated: usize, entry_count: usize) -> Self {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("curranthollow-review-{case}-{id}"));
        fs::create_dir_all(&folder).expect("the temporary folder can be written");
        let root = std::env::current_dir().expect("there is a current folder");
        let program = root.join("target/release/curranthollow-platform");
        let base = 10 + (id % 200) as u8;
        let mut deployment = Self {
            folder,
            program,
            base,
            next_host: 1,
            link_ports: (0, 0),
            controls: Vec::new(),
            entries: Vec::new(),
        };
        let first = deployment.ip(0);
        let port = free_port(first);
        deployment.link_ports = (port, port.saturating_add(15));
        let admin_port = free_port(first);
        let control_count = 2 * tolerated + 1;
        let ips: Vec<_> = (0..control_count).map(|_| deployment.take_ip()).collect();
        let seeds: Vec<_> =
            ips.iter().take(3).map(|ip| format!("\"{ip}:{admin_port}\"")).collect();
        let seeds = seeds.join(",");
        for (number, ip) in ips.iter().enumerate() {
            let name = format!("core-z{}-{}", number % 3, number + 1);
            let data = deployment.folder.join(format!("data-{name}"));
            fs::create_dir_all(&data).expect("the temporary folder can be written");
            let text = deployment.settings_text(
                &name, "control", "core", *ip, number % 3, &seeds, tolerated,
                &format!("data_dir = \"{}\"", data.display()),
                &format!("admin = \"{ip}:{admin_port}\""),
            );
            let address = SocketAddr::from((*ip, admin_port));
            deployment.controls.push(Machine {
                settings: deployment.folder.join(format!("{name}.toml")),
                name, ip: *ip, role: "control", address, readiness: None, text, child: None,
            });
        }
        for number in 0..entry_count {
            let ip = deployment.take_ip();
            let name = format!("edge-z{}-{}", number % 3, number + 1);
            let (front, ready) = (free_port(ip), free_port(ip));
            let text = deployment.settings_text(
                &name, "entry", "edge", ip, number % 3, &seeds, tolerated, "",
                &format!("frontend = \"{ip}:{front}\"\nreadiness = \"{ip}:{ready}\""),
            );
            deployment.entries.push(Machine {
                settings: deployment.folder.join(format!("{name}.toml")),
                name, ip, role: "entry", address: SocketAddr::from((ip, front)),
                readiness: Some(SocketAddr::from((ip, ready))), text, child: None,
            });
        }
        deployment
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 77, self.base, host + 1)
    }

    /// An address for one more machine or server.
    pub fn take_ip(&mut self) -> Ipv4Addr {
        self.next_host += 1;
        self.ip(self.next_host)
    }

    #[allow(clippy::too_many_arguments)]
    fn settings_text(
        &self, name: &str, role: &str, class: &str, ip: Ipv4Addr, zone: usize, seeds: &str,
        tolerated: usize, data: &str, bind: &str,
    ) -> String {
        let (low, high) = self.link_ports;
        let serves = if role == "entry" { "edge" } else { "control_plane" };
        let counts = role == "control";
        format!(
            "node_name = \"{name}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\n\
             serves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"zone-{zone}\"\nregion = \"r\"\n\
             internal_ports = [{low},{high}]\nseed_nodes = [{seeds}]\nbootstrap = true\n\
             counts_as_loss = {counts}\n{data}\ndiscovery = \"registration\"\nentry = \"vip\"\n\
             heartbeat = \"1500ms\"\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\"]\n\
             config_mode = \"highest\"\n[zones]\nzone-0 = \"r\"\nzone-1 = \"r\"\nzone-2 = \"r\"\n\
             [bind]\n{bind}\n[limits]\ncpu_fraction = 1.0\ncpu_speedup = 1\nmemory_mb = 260\n\
             max_fds = 4100\nbandwidth_mbps = 1000.0\ndisk_mb = 256\n[fault_tolerance]\n\
             machines = {tolerated}\nzones = 0\nregions = 0\n[bounds]\nseed_lag = \"3s\"\n\
             reuse_after = \"2s\"\nstable_window = \"3000ms\"\nack = \"4000ms\"\n\
             sync_time = \"4s\"\ndrain = \"2000ms\"\ngrace = \"6s\"\nloss_slack = \"200ms\"\n\
             config_apply = \"2000ms\"\ndowngrade = \"250ms\"\nmax_skew = \"5000ms\"\n\
             retry_budget_ratio = 0.2\nretry_window = \"10s\"\nbudget_slack = 56\n\
             recovery = \"15s\"\nprobes_per_s = 60\n"
        )
    }

    pub fn start_all(&mut self) {
        let program = self.program.clone();
        for machine in self.controls.iter_mut().chain(&mut self.entries) {
            machine.start(&program, true);
        }
    }

    /// The admin addresses, as the operator and the servers know them.
    pub fn admins(&self) -> Vec<SocketAddr> {
        self.controls.iter().map(|machine| machine.address).collect()
    }

    /// Waits until all entries are ready; false after 20 s.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        for entry in &self.entries {
            let readiness = entry.readiness.expect("entries have one");
            while !matches!(call(readiness, "GET", "/curranthollow/readyz", ""), Ok((200, _))) {
                if Instant::now() > end {
                    return false;
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        true
    }

    /// Sends a configuration as the operator does; false if nobody acknowledges it within 20 s.
    pub fn put_config(&self, body: &str) -> bool {
        put_config(&self.admins(), body)
    }
}

pub fn put_config(admins: &[SocketAddr], body: &str) -> bool {
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        for admin in admins {
            match call(*admin, "PUT", "/curranthollow/config", body) {
                Ok((200, _)) => return true,
                Ok((400, text)) => panic!("the configuration was refused: {text}"),
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
    }
    false
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in self.controls.iter_mut().chain(&mut self.entries) {
            machine.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Machine {
    pub fn start(&mut self, program: &Path, bootstrap: bool) {
        let text = self.text.replace("bootstrap = true", &format!("bootstrap = {bootstrap}"));
        fs::write(&self.settings, text).expect("the temporary folder can be written");
        let path = self.settings.with_extension("log");
        let log = fs::File::options().create(true).append(true).open(path);
        let log = log.expect("the temporary folder can be written");
        let child = Command::new(program)
            .arg(self.role)
            .env("CURRANTHOLLOW_SETTINGS", &self.settings)
            .stdout(Stdio::from(log.try_clone().expect("a file can be shared")))
            .stderr(Stdio::from(log))
            .spawn();
        self.child = Some(child.expect("the build of the deploy file has run"));
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by its name to the process.
    pub fn signal(&self, name: &str) {
        let id = self.child.as_ref().expect("the process runs").id();
        // A builtin of the shell: the program `kill` is not on every machine.
        let _ = Command::new("sh").args(["-c", &format!("kill -{name} {id}")]).status();
    }
}

/// One HTTP call on a connection of its own, within a second.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<(u16, String)> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    let mut connection = Connection::new(stream);
    connection.stream.set_read_timeout(Some(Duration::from_millis(1500)))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    connection.stream.write_all(head.as_bytes())?;
    let message = connection.read_message(false)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok((message.status(), String::from_utf8_lossy(&message.body).into_owned()))
}

/// HTTP message: first line, headers in lower case, body.
pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body came whole.
    pub complete: bool,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads one message with a length or in chunks; `None` if the peer closed before it.
    pub fn read_message(&mut self, bodiless: bool) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let headers: BTreeMap<_, _> =
            fields.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned())).collect();
        let mut message = Message { first, headers, body: Vec::new(), complete: true };
        if bodiless {
            return Ok(Some(message));
        }
        if message.header("transfer-encoding") == "chunked" {
            message.complete = self.read_chunks(&mut message.body)?;
        } else if let Ok(length) = message.header("content-length").parse::<usize>() {
            message.complete = self.take(length, &mut message.body)?;
        }
        Ok(Some(message))
    }

    fn take(&mut self, length: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.buffer.len() < length {
            if !matches!(self.fill(), Ok(true)) {
                body.append(&mut self.buffer);
                return Ok(false);
            }
        }
        body.extend(self.buffer.drain(..length));
        Ok(true)
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let end = loop {
                if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                    break end;
                }
                if !matches!(self.fill(), Ok(true)) {
                    return Ok(false);
                }
            };
            let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            self.buffer.drain(..end + 2);
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            if !self.take(size, body)? {
                return Ok(false);
            }
            let mut line_end = Vec::new();
            if !self.take(2, &mut line_end)? {
                return Ok(false);
            }
            if size == 0 {
                return Ok(true);
            }
        }
    }
}

/// What a server says about itself.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub born: u64,
}

static SEQUENCE: AtomicU64 = AtomicU64::new(1);

impl Upstream {
    pub fn heartbeat_body(&self, state: &str) -> String {
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"concurrency_limit\":{}}},\"status\":{{\"state\":\"{state}\",\
             \"sequence\":{},\"warmup_left\":\"0ms\"}}}}",
            self.address, self.born, self.service, self.zone, self.slots,
            SEQUENCE.fetch_add(1, Ordering::Relaxed)
        )
    }

    /// Sends a heartbeat to one member after another; returns whether it was acknowledged.
    pub fn beat(&self, admins: &[SocketAddr], state: &str) -> bool {
        let body = self.heartbeat_body(state);
        let path = format!("/curranthollow/instances/{}", self.id);
        let sent = admins.iter().map(|admin| call(*admin, "PUT", &path, &body));
        sent.into_iter().any(|result| matches!(result, Ok((200..=299, _))))
    }

    /// Sends heartbeats every 1.5 s in the background.
    pub fn keep_beating(self, admins: Vec<SocketAddr>) {
        thread::spawn(move || {
            loop {
                self.beat(&admins, "ready");
                thread::sleep(Duration::from_millis(1500));
            }
        });
    }
}

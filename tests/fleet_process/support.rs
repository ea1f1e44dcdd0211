//! Fleets of child processes, shared by the tests.

use std::fs::File;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, kill_process, prlimit};

use crate::harness::{call, free_address, unique_path};
use crate::work_server::WorkServer;

/// Starts an entry without members, with its log in a pipe.
pub fn start_lone_entry(traffic: SocketAddr, readiness: SocketAddr) -> Child {
    let seed = free_address();
    let config_text = format!(
        r#"{{"name":"e","availability_zone":"a","seeds":["{seed}"],"grace":"1s","entry":{{
        "traffic":"{traffic}","readiness":"{readiness}","retry_ratio":0.2,"retry_slack":1,
        "retry_window":"10s"}}}}"#
    );
    let config_path = unique_path().with_extension("jsonc");
    std::fs::write(&config_path, config_text).expect("the test folder is writable");
    let mut command = Command::new(env!("CARGO_BIN_EXE_curranthollow"));
    command.arg("fleet").arg("--config").arg(&config_path).stdout(Stdio::piped());
    command.spawn().expect("the binary starts")
}

/// Fleet process with its config file; killed on drop.
pub struct FleetChild {
    config: PathBuf,
    /// Config with the placeholders `SEEDS` and `FORM`.
    text: String,
    child: Option<Child>,
    /// Data folder of a member.
    folder: Option<PathBuf>,
    /// Operator address of a member, traffic address of an entry.
    pub address: SocketAddr,
}

impl FleetChild {
    fn new(text: String, address: SocketAddr, folder: Option<PathBuf>) -> Self {
        let config = unique_path().with_extension("jsonc");
        Self { config, text, child: None, folder, address }
    }

    pub fn write_config(&self, seeds: &[SocketAddr], form: bool) {
        let seeds = serde_json::json!(seeds).to_string();
        let text = self.text.replace("SEEDS", &seeds).replace("FORM", &form.to_string());
        // Renamed, so that a process that starts meanwhile reads either text and no part of one.
        let written = self.config.with_extension("new");
        std::fs::write(&written, text).expect("the folder can be written");
        std::fs::rename(&written, &self.config).expect("the folder can be written");
    }

    /// Starts the process. It ignores the signal of [`Self::limit_files`]: a full disk sends none.
    pub fn start(&mut self) {
        let mut command = Command::new("sh");
        command.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""]);
        command.arg(env!("CARGO_BIN_EXE_curranthollow"));
        let log = File::options().create(true).append(true).open(self.log_path());
        let log = log.expect("the folder can be written");
        command.arg("fleet").arg("--config").arg(&self.config).stdout(log);
        self.child = Some(command.spawn().expect("the binary starts"));
    }

    pub fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("the process runs");
        let pid = Pid::from_raw(child.id().cast_signed()).expect("the process id is valid");
        kill_process(pid, signal).expect("the process exists");
    }

    /// Lets each write to a file fail beyond `bytes`, or none.
    pub fn limit_files(&self, bytes: Option<u64>) {
        let child = self.child.as_ref().expect("the process runs");
        let pid = Pid::from_raw(child.id().cast_signed()).expect("the process id is valid");
        let limit = Rlimit { current: bytes, maximum: getrlimit(Resource::Fsize).maximum };
        prlimit(Some(pid), Resource::Fsize, limit).expect("the process exists");
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended; afterwards it counts as not running.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        let ended = child.is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()));
        if ended {
            self.child = None;
        }
        ended
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Whether the process accepts connections, so that it also handles signals.
    pub fn is_listening(&self) -> bool {
        self.is_running() && TcpStream::connect(self.address).is_ok()
    }

    /// Size of the largest file that the member writes.
    pub fn largest_file(&self) -> u64 {
        let folder = self.folder.as_ref().expect("a member has a data folder");
        let files = std::fs::read_dir(folder).expect("the folder exists").flatten();
        let files = files.filter_map(|file| file.metadata().ok()).map(|metadata| metadata.len());
        files.max().unwrap_or_default()
    }

    pub fn log_path(&self) -> PathBuf {
        self.config.with_extension("log")
    }

    /// Lines of `event` in the log of all starts.
    pub fn log_lines(&self, event: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.log_path()).unwrap_or_default();
        let is_event = |line: &&str| line.contains(&format!("event={event} "));
        log.lines().filter(is_event).map(str::to_owned).collect()
    }
}

impl Drop for FleetChild {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Members and entries as processes.
pub struct FleetProcesses {
    pub members: Vec<FleetChild>,
    pub entries: Vec<FleetChild>,
    /// Link addresses of the members.
    pub links: Vec<SocketAddr>,
    /// Metrics addresses of the members.
    pub member_metrics: Vec<SocketAddr>,
    /// Metrics addresses of the entries.
    pub entry_metrics: Vec<SocketAddr>,
}

impl FleetProcesses {
    /// Starts a fleet whose first three members are seeds. `line_mbps` gives the line speed of each
    /// entry, `None` if it is not known.
    pub fn start(member_count: usize, line_mbps: &[Option<u32>], grace: Duration) -> Self {
        Self::start_in_zones(member_count, line_mbps, grace, &["a"])
    }

    /// Starts a fleet whose processes are in these availability zones in turn.
    pub fn start_in_zones(
        member_count: usize,
        line_mbps: &[Option<u32>],
        grace: Duration,
        zones: &[&str],
    ) -> Self {
        let links: Vec<_> = (0..member_count).map(|_| free_address()).collect();
        let member_metrics: Vec<_> = links.iter().map(|_| free_address()).collect();
        let grace_ms = grace.as_millis();
        let common = |number: usize| {
            let zone = zones[number % zones.len()];
            format!(r#""availability_zone":"{zone}","seeds":SEEDS,"grace":"{grace_ms}ms""#)
        };
        let mut members = Vec::new();
        for (number, (link, metrics)) in links.iter().zip(&member_metrics).enumerate() {
            let common = common(number);
            let (operator, folder) = (free_address(), unique_path());
            let text = format!(
                r#"{{"name":"m",{common},"metrics":"{metrics}","control":{{"operator":"{operator}",
                "link":"{link}","data_folder":{folder:?},"form":FORM,"survivable_losses":2,
                "heartbeat":"60s"}}}}"#
            );
            members.push(FleetChild::new(text, operator, Some(folder)));
        }
        let entry_metrics: Vec<_> = line_mbps.iter().map(|_| free_address()).collect();
        let mut entries = Vec::new();
        for (number, mbps) in line_mbps.iter().enumerate() {
            let (common, metrics) = (common(number), entry_metrics[number]);
            let (traffic, readiness) = (free_address(), free_address());
            let line = mbps.map_or(String::new(), |mbps| format!(r#","line_mbps":{mbps}"#));
            let text = format!(
                r#"{{"name":"e{number}",{common},"metrics":"{metrics}","entry":{{
                "traffic":"{traffic}",
                "readiness":"{readiness}","retry_ratio":0.2,"retry_slack":50,
                "retry_window":"10s"{line}}}}}"#
            );
            entries.push(FleetChild::new(text, traffic, None));
        }
        let mut fleet = Self { members, entries, links, member_metrics, entry_metrics };
        fleet.write_configs(fleet.seeds(), true);
        for child in fleet.members.iter_mut().chain(&mut fleet.entries) {
            child.start();
        }
        fleet
    }

    /// Writes the config files of all processes.
    pub fn write_configs(&self, seeds: &[SocketAddr], form: bool) {
        for child in self.members.iter().chain(&self.entries) {
            child.write_config(seeds, form);
        }
    }

    /// Rewrites all config files with other seeds and sends SIGHUP; returns the number of seeds.
    pub fn reload_seeds(&mut self, random: &mut fastrand::Rng) -> usize {
        let mut seeds = self.links.clone();
        random.shuffle(&mut seeds);
        seeds.truncate(random.usize(1..=seeds.len()));
        self.write_configs(&seeds, false);
        for process in 0..self.process_count() {
            let child = self.child(process);
            if child.is_listening() {
                child.signal(Signal::HUP);
            }
        }
        seeds.len()
    }

    pub fn seeds(&self) -> &[SocketAddr] {
        &self.links[..self.links.len().min(3)]
    }

    /// Restarts a member, which must not form a second cluster.
    pub fn restart_member(&mut self, member: usize) {
        self.members[member].write_config(self.seeds(), false);
        self.members[member].start();
    }

    /// Process by number: entries first, then members.
    pub fn child(&mut self, number: usize) -> &mut FleetChild {
        match number.checked_sub(self.entries.len()) {
            Some(member) => &mut self.members[member],
            None => &mut self.entries[number],
        }
    }

    pub fn process_count(&self) -> usize {
        self.entries.len() + self.members.len()
    }

    /// Calls the running members in turn until one accepts.
    pub fn call(&self, method: &str, path: &str, body: &str) -> bool {
        let mut running = self.members.iter().filter(|member| member.is_running());
        running.any(|member| call(member.address, method, path, body).0 == 200)
    }

    /// Reads the document from a member that can confirm it.
    pub fn read_document(&self) -> Option<String> {
        let running = self.members.iter().filter(|member| member.is_running());
        let mut answers =
            running.map(|member| call(member.address, "GET", "/.curranthollow/document", ""));
        answers.find(|(status, _)| *status == 200).map(|(_, body)| body)
    }

    /// Starts servers and announces them.
    pub fn start_servers(&self, count: usize) -> Vec<WorkServer> {
        self.start_servers_in_zones(count, &["a"])
    }

    /// Starts servers in these availability zones in turn and announces them.
    pub fn start_servers_in_zones(&self, count: usize, zones: &[&'static str]) -> Vec<WorkServer> {
        let operators: Vec<_> = self.members.iter().map(|member| member.address).collect();
        let start = |number: usize| {
            let zone = zones[number % zones.len()];
            WorkServer::start(format!("s{number}"), zone, operators.clone())
        };
        (0..count).map(start).collect()
    }
}

/// Runs `run` with each seed of the range in the environment variable `variable`, such as `10..60`, each in a
/// thread of its own; without the variable, none. Panics with the seeds that failed.
pub fn run_given_seeds(variable: &str, run: impl Fn(u64) + Copy + Send + 'static) {
    let Ok(range) = std::env::var(variable) else { return };
    let (first, end) = range.split_once("..").expect("a range such as 10..60");
    let number = |text: &str| text.parse::<u64>().expect("a range such as 10..60");
    let mut failed = Vec::new();
    for seed in number(first)..number(end) {
        if std::thread::spawn(move || run(seed)).join().is_err() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}

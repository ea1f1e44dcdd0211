//! Faults of processes and servers that come in series and overlap.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::support::FleetProcesses;
use crate::work_server::WorkServer;

/// Fault of a process that has not ended yet.
#[derive(Debug, Clone, Copy)]
enum ProcessFault {
    PausedUntil(Instant),
    DownUntil(Instant),
    /// SIGTERM was sent.
    StoppingSince(Instant),
}

/// Faults of a fleet and its servers that come in series and overlap.
pub struct FaultSeries<'a> {
    pub fleet: FleetProcesses,
    servers: &'a [WorkServer],
    random: fastrand::Rng,
    /// Time in which faults begin.
    fault_time: Duration,
    /// Maximum number of faults that begin at the same time.
    max_together: usize,
    /// Grace period of the processes.
    grace: Duration,
    /// Faults by process number.
    faults: BTreeMap<usize, ProcessFault>,
    /// Ends of faults by server number.
    broken_servers: BTreeMap<usize, Instant>,
    /// What was injected, with the time since the start.
    pub events: Vec<(Duration, String)>,
    pub broken: Vec<String>,
}

impl<'a> FaultSeries<'a> {
    pub fn new(
        fleet: FleetProcesses,
        servers: &'a [WorkServer],
        random: fastrand::Rng,
        (fault_time, max_together): (Duration, usize),
        grace: Duration,
    ) -> Self {
        let (faults, broken_servers, events, broken) = Default::default();
        Self {
            fleet,
            servers,
            random,
            fault_time,
            max_together,
            grace,
            faults,
            broken_servers,
            events,
            broken,
        }
    }

    pub fn run(&mut self) {
        let started = Instant::now();
        let end = started + self.fault_time;
        while Instant::now() < end || !self.faults.is_empty() || !self.broken_servers.is_empty() {
            if Instant::now() < end {
                for _ in 0..self.random.usize(1..=self.max_together) {
                    let event = self.inject_fault();
                    self.events.push((started.elapsed(), event));
                }
                self.check_processes();
            }
            let next_at = Instant::now() + Duration::from_millis(self.random.u64(0..1200));
            while Instant::now() < next_at {
                self.follow_faults();
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }

    /// Begins a random fault; returns its description, empty if the process has a fault already.
    fn inject_fault(&mut self) -> String {
        let now = Instant::now();
        let pause = Duration::from_millis(self.random.u64(50..400));
        let entries = self.fleet.entries.len();
        let member = entries + self.random.usize(0..self.fleet.members.len());
        let entry = self.random.usize(0..entries);
        match self.random.u32(0..9) {
            0 => self.kill(member, now + pause),
            1 => self.pause(member, now + pause * 3),
            2 => {
                for member in entries..self.fleet.process_count() {
                    self.fleet.child(member).kill();
                    self.faults.insert(member, ProcessFault::DownUntil(now + pause));
                }
                format!("kill all members for {pause:?}")
            }
            3 => self.kill(entry, now + pause),
            4 => self.pause(entry, now + pause * 3),
            5 | 6 => {
                let process = if self.random.bool() { member } else { entry };
                if self.faults.contains_key(&process) || !self.fleet.child(process).is_listening() {
                    return String::new();
                }
                self.fleet.child(process).signal(Signal::TERM);
                self.faults.insert(process, ProcessFault::StoppingSince(now));
                format!("stop {process}")
            }
            7 => format!("reload {} seeds", self.fleet.reload_seeds(&mut self.random)),
            _ => {
                let server = self.random.usize(0..self.servers.len());
                self.servers[server].set_broken(true);
                self.broken_servers.insert(server, now + pause * 2);
                format!("break server {server} for {:?}", pause * 2)
            }
        }
    }

    fn kill(&mut self, process: usize, until: Instant) -> String {
        if self.faults.contains_key(&process) {
            return String::new();
        }
        self.fleet.child(process).kill();
        self.faults.insert(process, ProcessFault::DownUntil(until));
        format!("kill {process}")
    }

    fn pause(&mut self, process: usize, until: Instant) -> String {
        if self.faults.contains_key(&process) {
            return String::new();
        }
        self.fleet.child(process).signal(Signal::STOP);
        self.faults.insert(process, ProcessFault::PausedUntil(until));
        format!("pause {process}")
    }

    /// Ends faults whose time is over.
    fn follow_faults(&mut self) {
        let now = Instant::now();
        for (process, fault) in self.faults.clone() {
            let child = self.fleet.child(process);
            match fault {
                ProcessFault::PausedUntil(at) if now >= at => {
                    child.signal(Signal::CONT);
                    self.faults.remove(&process);
                }
                ProcessFault::DownUntil(at) if now >= at => {
                    child.start();
                    self.faults.remove(&process);
                }
                ProcessFault::StoppingSince(at) if child.has_ended() || now > at + self.grace => {
                    if child.is_running() {
                        self.broken.push(format!("process {process} outlives its grace period"));
                        child.kill();
                    }
                    let pause = Duration::from_millis(self.random.u64(0..600));
                    self.faults.insert(process, ProcessFault::DownUntil(now + pause));
                }
                _ => {}
            }
        }
        for (server, until) in self.broken_servers.clone() {
            if now >= until {
                self.servers[server].set_broken(false);
                self.broken_servers.remove(&server);
            }
        }
    }

    /// Verifies that no process ended by itself.
    fn check_processes(&mut self) {
        for process in 0..self.fleet.process_count() {
            if !self.faults.contains_key(&process) && self.fleet.child(process).has_ended() {
                self.broken.push(format!("process {process} ended by itself"));
                self.faults.insert(process, ProcessFault::DownUntil(Instant::now()));
            }
        }
    }
}

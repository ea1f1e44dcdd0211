//! Measures consensus: proposals per second and commit latency of three hosts in one process, with
//! their logs in the system's temporary folder.
//!
//! Usage: `cargo run --release --example consensus_cost`

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use async_std::task::{block_on, sleep};
use curranthollow::consensus::Role;
use curranthollow::consensus::host::{
    ConsensusHost, GroupSpec, HostConfig, HostHandle, RestoreError, StateMachine,
};
use curranthollow::consensus::members::MemberSet;
use curranthollow::storage::LogStorage;
use curranthollow::timer::TimerService;
use futures_util::future::join_all;
use hdrhistogram::Histogram;

const RUNS: usize = 3;
const RUN_TIME: Duration = Duration::from_millis(1500);
const PAYLOAD_BYTES: usize = 200;

/// Numbers of groups and of callers per group; each caller has one proposal in flight.
const CASES: [(u32, usize); 6] = [(1, 1), (1, 16), (1, 256), (8, 1), (8, 32), (8, 128)];

/// State machine without state.
struct NullMachine;

impl StateMachine for NullMachine {
    fn apply(&mut self, _index: u64, _payload: &[u8]) -> Vec<u8> {
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _data: &[u8]) -> Result<(), RestoreError> {
        Ok(())
    }
}

struct RunResult {
    proposals_per_second: f64,
    p50_us: f64,
    p99_us: f64,
    refused_count: u64,
}

/// Starts three hosts, each with all groups, and delivers their messages to each other.
fn start_hosts(folder: &std::path::Path, groups: u32, timers: &TimerService) -> Vec<ConsensusHost> {
    let initial_members =
        MemberSet::of_voters((1..=3).map(|id| (id, format!("control-{id}").into())));
    let mut hosts = Vec::new();
    for member in 1..=3 {
        let (storage, _) =
            LogStorage::open(&folder.join(member.to_string())).expect("the folder opens");
        let name = format!("control-{member}").into();
        let config = HostConfig::new(name, member, initial_members.clone(), member);
        let group_specs = (0..groups).map(|group| GroupSpec {
            group,
            machine: Box::new(NullMachine),
            recovered: Default::default(),
        });
        let host = ConsensusHost::start(config, storage, group_specs.collect(), timers);
        hosts.push(host.expect("the host starts"));
    }
    let handles: BTreeMap<u64, HostHandle> =
        (1..=3).zip(hosts.iter().map(|host| host.handle())).collect();
    let handles = Arc::new(handles);
    for (member, host) in (1..=3).zip(&hosts) {
        let (outgoing, handles) = (host.outgoing(), Arc::clone(&handles));
        thread::spawn(move || {
            while let Ok((to, message)) = outgoing.recv_blocking() {
                handles[&to].deliver(member, message);
            }
        });
    }
    hosts
}

/// Waits until one of the hosts is the confirmed leader of a group.
async fn wait_for_leader(hosts: &[HostHandle], group: u32) -> HostHandle {
    loop {
        for handle in hosts {
            let is_leader = handle.status().await[group as usize].role == Role::Leader;
            if is_leader && handle.confirm_leadership(group).await.is_ok() {
                return handle.clone();
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Proposes one payload after the other until `end`; returns the latencies in microseconds of the
/// accepted proposals, and the number of refused ones.
async fn propose_until(leader: HostHandle, group: u32, end: Instant) -> (Vec<u64>, u64) {
    let mut latencies_us = Vec::new();
    let mut refused_count = 0;
    while Instant::now() < end {
        let start = Instant::now();
        match leader.propose(group, vec![7; PAYLOAD_BYTES]).await {
            Ok(_) => latencies_us.push(start.elapsed().as_micros() as u64),
            Err(_) => refused_count += 1,
        }
    }
    (latencies_us, refused_count)
}

fn measure_case(number: usize, groups: u32, callers: usize) -> RunResult {
    let name = format!("consensus-cost-{}-{number}-{groups}-{callers}", std::process::id());
    let folder: PathBuf = std::env::temp_dir().join(name);
    let timers = TimerService::start();
    let hosts = start_hosts(&folder, groups, &timers);
    let handles: Vec<_> = hosts.iter().map(ConsensusHost::handle).collect();
    let mut latencies_us = Histogram::<u64>::new(3).expect("three digits are supported");
    let mut refused_count = 0;
    let elapsed = block_on(async {
        let mut leaders = Vec::new();
        for group in 0..groups {
            leaders.push(wait_for_leader(&handles, group).await);
        }
        let started = Instant::now();
        let end = started + RUN_TIME;
        let mut tasks = Vec::new();
        for group in 0..groups {
            for _ in 0..callers {
                let leader = leaders[group as usize].clone();
                tasks.push(async_std::task::spawn(propose_until(leader, group, end)));
            }
        }
        for (values_us, refused) in join_all(tasks).await {
            for value_us in values_us {
                // `saturating_record` would clip values at the initial range, about 2 ms, instead
                // of growing the histogram.
                latencies_us.record(value_us).expect("the histogram grows as needed");
            }
            refused_count += refused;
        }
        let elapsed = started.elapsed();
        for handle in &handles {
            handle.stop().await;
        }
        elapsed
    });
    for host in hosts {
        host.join().expect("the host ends without a failure");
    }
    timers.stop();
    let _ = fs::remove_dir_all(&folder);
    RunResult {
        proposals_per_second: latencies_us.len() as f64 / elapsed.as_secs_f64(),
        p50_us: latencies_us.value_at_quantile(0.5) as f64,
        p99_us: latencies_us.value_at_quantile(0.99) as f64,
        refused_count,
    }
}

/// Formats values as `minimum/median/maximum`.
fn format_spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    format!("{:.0}/{:.0}/{:.0}", values[0], values[values.len() / 2], values[values.len() - 1])
}

fn main() {
    println!("payload {PAYLOAD_BYTES} bytes, {RUNS} runs of {RUN_TIME:?}, min/median/max");
    println!("groups callers_per_group proposals_per_s p50_us p99_us refused");
    for (groups, callers_per_group) in CASES {
        let results: Vec<_> =
            (0..RUNS).map(|number| measure_case(number, groups, callers_per_group)).collect();
        let column =
            |value: fn(&RunResult) -> f64| format_spread(results.iter().map(value).collect());
        println!(
            "{groups} {callers_per_group} {} {} {} {}",
            column(|result| result.proposals_per_second),
            column(|result| result.p50_us),
            column(|result| result.p99_us),
            results.iter().map(|result| result.refused_count).sum::<u64>(),
        );
    }
}

//! Cost of consensus: proposals per second and commit latency through three hosts in one process,
//! with files in a folder under the system's temporary folder.
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

/// Groups, and callers per group that each have one proposal under way.
const CASES: [(u32, usize); 6] = [(1, 1), (1, 16), (1, 256), (8, 1), (8, 32), (8, 128)];

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
    per_second: f64,
    p50_us: f64,
    p99_us: f64,
    refused: u64,
}

fn start_hosts(folder: &std::path::Path, groups: u32, timers: &TimerService) -> Vec<ConsensusHost> {
    let initial = MemberSet::of_voters((1..=3).map(|id| (id, format!("control-{id}").into())));
    let mut hosts = Vec::new();
    for member in 1..=3 {
        let (storage, _) =
            LogStorage::open(&folder.join(member.to_string())).expect("the folder opens");
        let name = format!("control-{member}").into();
        let config = HostConfig::new(name, member, initial.clone(), member);
        let specs = (0..groups).map(|group| GroupSpec {
            group,
            machine: Box::new(NullMachine),
            recovered: Default::default(),
        });
        let host = ConsensusHost::start(config, storage, specs.collect(), timers);
        hosts.push(host.expect("the host starts"));
    }
    let routes: BTreeMap<u64, HostHandle> = (1..=3).zip(hosts.iter().map(|h| h.handle())).collect();
    let routes = Arc::new(routes);
    for (member, host) in (1..=3).zip(&hosts) {
        let (outgoing, routes) = (host.outgoing(), Arc::clone(&routes));
        thread::spawn(move || {
            while let Ok((to, message)) = outgoing.recv_blocking() {
                routes[&to].deliver(member, message);
            }
        });
    }
    hosts
}

async fn find_leader(hosts: &[HostHandle], group: u32) -> HostHandle {
    loop {
        for handle in hosts {
            let leads = handle.status().await[group as usize].role == Role::Leader;
            if leads && handle.confirm_leadership(group).await.is_ok() {
                return handle.clone();
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
}

async fn call(leader: HostHandle, group: u32, end: Instant) -> (Vec<u64>, u64) {
    let mut latencies = Vec::new();
    let mut refused = 0;
    while Instant::now() < end {
        let start = Instant::now();
        match leader.propose(group, vec![7; PAYLOAD_BYTES]).await {
            Ok(_) => latencies.push(start.elapsed().as_micros() as u64),
            Err(_) => refused += 1,
        }
    }
    (latencies, refused)
}

fn run(number: usize, groups: u32, callers: usize) -> RunResult {
    let name = format!("consensus-cost-{}-{number}-{groups}-{callers}", std::process::id());
    let folder: PathBuf = std::env::temp_dir().join(name);
    let timers = TimerService::start();
    let hosts = start_hosts(&folder, groups, &timers);
    let handles: Vec<_> = hosts.iter().map(ConsensusHost::handle).collect();
    let mut latencies = Histogram::<u64>::new(3).expect("three digits are supported");
    let mut refused = 0;
    let elapsed = block_on(async {
        let mut leaders = Vec::new();
        for group in 0..groups {
            leaders.push(find_leader(&handles, group).await);
        }
        let start = Instant::now();
        let end = start + RUN_TIME;
        let mut tasks = Vec::new();
        for group in 0..groups {
            for _ in 0..callers {
                let leader = leaders[group as usize].clone();
                tasks.push(async_std::task::spawn(call(leader, group, end)));
            }
        }
        for (values, failures) in join_all(tasks).await {
            for value in values {
                // `saturating_record` clips at the initial range, about 2 ms, instead of growing.
                latencies.record(value).expect("the histogram grows as needed");
            }
            refused += failures;
        }
        let elapsed = start.elapsed();
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
        per_second: latencies.len() as f64 / elapsed.as_secs_f64(),
        p50_us: latencies.value_at_quantile(0.5) as f64,
        p99_us: latencies.value_at_quantile(0.99) as f64,
        refused,
    }
}

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    format!("{:.0}/{:.0}/{:.0}", values[0], values[values.len() / 2], values[values.len() - 1])
}

fn main() {
    println!("payload {PAYLOAD_BYTES} bytes, {RUNS} runs of {RUN_TIME:?}, min/median/max");
    println!("groups callers_per_group proposals_per_s p50_us p99_us refused");
    for (groups, callers) in CASES {
        let results: Vec<_> = (0..RUNS).map(|number| run(number, groups, callers)).collect();
        let column = |get: fn(&RunResult) -> f64| spread(results.iter().map(get).collect());
        println!(
            "{groups} {callers} {} {} {} {}",
            column(|result| result.per_second),
            column(|result| result.p50_us),
            column(|result| result.p99_us),
            results.iter().map(|result| result.refused).sum::<u64>(),
        );
    }
}

//! Tests of the consensus host: three hosts with real files, connected in memory.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use async_std::task::block_on;
use curranthollow::consensus::host::{
    ConfirmError, ConsensusHost, GroupEvent, GroupSpec, GroupStatus, HostConfig, HostError,
    HostHandle, ProposeError, RestoreError, StateMachine,
};
use curranthollow::consensus::members::MemberSet;
use curranthollow::consensus::{RaftConfig, Role};
use curranthollow::storage::{LogStorage, StorageError, StorageOptions};
use curranthollow::timer::TimerService;
use futures_util::future::join_all;

/// Time limit for awaited conditions; tests do not depend on how soon a condition is reached.
const AWAIT_TIMEOUT: Duration = Duration::from_secs(15);

const GROUPS: u32 = 3;

/// State machine that counts payloads and sums up their bytes; the response contains both.
#[derive(Default)]
struct CounterMachine {
    count: u64,
    sum: u64,
}

impl StateMachine for CounterMachine {
    fn apply(&mut self, _index: u64, payload: &[u8]) -> Vec<u8> {
        self.count += 1;
        self.sum += payload.iter().map(|&byte| u64::from(byte)).sum::<u64>();
        [self.count.to_le_bytes(), self.sum.to_le_bytes()].concat()
    }

    fn snapshot(&self) -> Vec<u8> {
        [self.count.to_le_bytes(), self.sum.to_le_bytes()].concat()
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError> {
        let (count, sum) =
            data.split_first_chunk().ok_or_else(|| RestoreError("too short".into()))?;
        self.count = u64::from_le_bytes(*count);
        let sum = sum.try_into().map_err(|_| RestoreError("wrong length".into()))?;
        self.sum = u64::from_le_bytes(sum);
        Ok(())
    }
}

fn count_of(response: &[u8]) -> u64 {
    u64::from_le_bytes(response[..8].try_into().expect("8 bytes"))
}

type Routes = Arc<Mutex<BTreeMap<u64, HostHandle>>>;

struct TestCluster {
    folder: PathBuf,
    timers: TimerService,
    routes: Routes,
    hosts: BTreeMap<u64, ConsensusHost>,
    snapshot_interval_entries: u64,
}

fn name_of(member: u64) -> Box<str> {
    format!("control-{}", member % 10).into()
}

impl TestCluster {
    fn new(name: &str, snapshot_interval_entries: u64) -> Self {
        let folder = std::env::temp_dir().join(format!("chhost-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        let timers = TimerService::start();
        let hosts = BTreeMap::new();
        let mut cluster =
            Self { folder, timers, routes: Routes::default(), hosts, snapshot_interval_entries };
        (1..=3).for_each(|member| cluster.start(member, true));
        cluster
    }

    fn start(&mut self, member: u64, is_initial_member: bool) {
        let options = StorageOptions { segment_bytes: 16 << 10, ..StorageOptions::default() };
        let folder = self.folder.join(member.to_string());
        let (storage, mut groups) =
            LogStorage::open_with(&folder, options).expect("the folder opens");
        let initial = MemberSet::of_voters((1..=3).map(|id| (id, name_of(id))));
        let initial = if is_initial_member { initial } else { MemberSet::default() };
        let mut config = HostConfig::new(name_of(member), member, initial, member);
        config.join_targets = vec![1, 2, 3];
        config.tick_interval = Duration::from_millis(5);
        config.snapshot_interval_entries = self.snapshot_interval_entries;
        config.max_segments = 2;
        config.raft = RaftConfig {
            election_timeout: Duration::from_millis(250),
            heartbeat_interval: Duration::from_millis(30),
            retained_entries: 8,
            ..RaftConfig::default()
        };
        let specs = (0..GROUPS).map(|group| GroupSpec {
            group,
            machine: Box::new(CounterMachine::default()),
            recovered: groups.remove(&group).unwrap_or_default(),
        });
        let host = ConsensusHost::start(config, storage, specs.collect(), &self.timers)
            .expect("the host starts");
        self.routes.lock().expect("no panic").insert(member, host.handle());
        let (outgoing, routes) = (host.outgoing(), Arc::clone(&self.routes));
        thread::spawn(move || {
            while let Ok((to, message)) = outgoing.recv_blocking() {
                let route = routes.lock().expect("no panic").get(&to).cloned();
                if let Some(handle) = route {
                    handle.deliver(member, message);
                }
            }
        });
        self.hosts.insert(member, host);
    }

    fn stop(&mut self, member: u64) {
        let host = self.hosts.remove(&member).expect("the host runs");
        self.routes.lock().expect("no panic").remove(&member);
        block_on(host.handle().stop());
        host.join().expect("the host ends without a failure");
    }

    fn handle(&self, member: u64) -> HostHandle {
        self.hosts[&member].handle()
    }

    fn status(&self, member: u64, group: u32) -> GroupStatus {
        block_on(self.handle(member).status()).swap_remove(group as usize)
    }

    fn await_condition(&self, what: &str, mut done: impl FnMut(&Self) -> bool) {
        let deadline = Instant::now() + AWAIT_TIMEOUT;
        while !done(self) {
            assert!(Instant::now() < deadline, "condition not reached: {what}");
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn leader(&self, group: u32) -> Option<u64> {
        let mut members = self.hosts.keys().copied();
        members.find(|&member| self.status(member, group).role == Role::Leader)
    }

    /// Proposes until one attempt succeeds; failed attempts may have been applied too. Returns the
    /// count in the response.
    fn propose(&self, group: u32, payload: &[u8]) -> u64 {
        let mut result = None;
        self.await_condition("an accepted proposal", |cluster| {
            let Some(leader) = cluster.leader(group) else { return false };
            let answer = block_on(cluster.handle(leader).propose(group, payload.to_vec()));
            result = answer.ok();
            result.is_some()
        });
        count_of(&result.expect("the loop ended with a result"))
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        for member in self.hosts.keys().copied().collect::<Vec<_>>() {
            self.stop(member);
        }
        self.timers.stop();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Guards against lost or duplicate responses, and against acknowledged payloads that are missing
/// after all hosts restart.
#[test]
fn acknowledged_payloads_survive_restart_of_all() {
    let mut cluster = TestCluster::new("restart", 100);
    for group in 0..GROUPS {
        cluster.propose(group, &[1]);
        let leader = cluster.leader(group).expect("there is a leader");
        let handle = cluster.handle(leader);
        let waiting = (0..300).map(|_| handle.propose(group, vec![1]));
        let answers = block_on(join_all(waiting));
        let counts: Vec<_> =
            answers.iter().filter_map(|answer| answer.as_ref().ok()).map(|a| count_of(a)).collect();
        assert_eq!(counts.len(), 300, "{answers:?}");
        assert!(counts.windows(2).all(|pair| pair[1] == pair[0] + 1));
    }
    let before: Vec<_> = (0..GROUPS).map(|group| cluster.propose(group, &[1])).collect();
    (1..=3).for_each(|member| cluster.stop(member));
    (1..=3).for_each(|member| cluster.start(member, true));
    for group in 0..GROUPS {
        assert!(cluster.propose(group, &[1]) > before[group as usize]);
    }
}

/// Guards against restart time that grows with history, both by a busy group and by idle groups
/// whose few entries would pin old segments.
#[test]
fn segment_count_stays_bounded() {
    let cluster = TestCluster::new("segments", 50);
    for group in 0..GROUPS {
        cluster.propose(group, &[1]);
    }
    for _ in 0..150 {
        cluster.propose(0, &[0; 1000]);
    }
    cluster.await_condition("few segments on each member", |cluster| {
        (1..=3).all(|member| {
            let files = fs::read_dir(cluster.folder.join(member.to_string()));
            let names = files.expect("the folder is readable").flatten().map(|f| f.file_name());
            names.filter(|name| name.to_string_lossy().ends_with(".wal")).count() <= 3
        })
    });
}

/// Guards against a repair that does not complete, or that reports a loss as survivable too early.
#[test]
fn lost_disk_is_repaired_automatically() {
    let mut cluster = TestCluster::new("repair", 50);
    for _ in 0..120 {
        cluster.propose(0, &[1]);
    }
    cluster.stop(3);
    cluster.await_condition("a leader in each group that cannot survive another loss", |cluster| {
        (0..GROUPS).all(|group| {
            let leader = cluster.leader(group);
            leader.is_some_and(|id| cluster.status(id, group).survivable_losses == Some(0))
        })
    });
    cluster.start(13, false);
    cluster.await_condition("the repair of all groups", |cluster| {
        (0..GROUPS).all(|group| {
            let Some(leader) = cluster.leader(group) else { return false };
            let status = cluster.status(leader, group);
            let members = &status.members;
            members.is_voter(13) && !members.contains(3) && status.survivable_losses == Some(1)
        })
    });
    let before = cluster.propose(0, &[1]);
    cluster.stop(1);
    assert!(cluster.propose(0, &[1]) > before);
}

/// Guards against a member that serves proposals or confirmations without being the leader.
#[test]
fn follower_refuses_and_names_the_leader() {
    let cluster = TestCluster::new("follower", 1000);
    cluster.propose(0, &[1]);
    let leader = cluster.leader(0).expect("there is a leader");
    let follower = (1..=3).find(|&member| member != leader).expect("three members");
    cluster.await_condition("a follower that knows the leader", |cluster| {
        cluster.status(follower, 0).leader == Some(leader)
    });
    let handle = cluster.handle(follower);
    let refused = ProposeError::NotLeader { leader: Some(leader) };
    assert_eq!(block_on(handle.propose(0, vec![1])), Err(refused));
    let refused = ConfirmError::NotLeader { leader: Some(leader) };
    assert_eq!(block_on(handle.confirm_leadership(0)), Err(refused));
    let index =
        block_on(cluster.handle(leader).confirm_leadership(0)).expect("leadership is confirmed");
    assert!(index >= 2);
    assert_eq!(block_on(handle.confirm_leadership(99)), Err(ConfirmError::UnknownGroup(99)));
}

/// Guards against confirmation or commit without a quorum, and against callers that wait forever
/// when the host stops.
#[test]
fn minority_confirms_and_commits_nothing() {
    let mut cluster = TestCluster::new("minority", 1000);
    cluster.propose(0, &[1]);
    let leader = cluster.leader(0).expect("there is a leader");
    for other in (1..=3).filter(|&member| member != leader) {
        cluster.stop(other);
    }
    let handle = cluster.handle(leader);
    assert!(block_on(handle.propose(0, vec![1])).is_err());
    assert!(block_on(handle.confirm_leadership(0)).is_err());
    cluster.stop(leader);
    assert_eq!(block_on(handle.propose(0, vec![1])), Err(ProposeError::Stopped));
    assert!(block_on(handle.status()).is_empty());
}

/// Guards against a leadership transfer that skips groups led by the stopping member.
#[test]
fn transfer_moves_all_groups() {
    let cluster = TestCluster::new("transfer", 1000);
    for group in 0..GROUPS {
        cluster.propose(group, &[1]);
    }
    let leader = cluster.leader(0).expect("there is a leader");
    block_on(cluster.handle(leader).transfer_leadership(None));
    cluster.await_condition("other leaders", |cluster| {
        (0..GROUPS).all(|group| cluster.leader(group).is_some_and(|id| id != leader))
    });
}

/// Guards against missing or reordered events of committed payloads.
#[test]
fn subscriber_receives_every_payload_in_order() {
    let cluster = TestCluster::new("subscriber", 1000);
    cluster.propose(1, &[0]);
    let leader = cluster.leader(1).expect("there is a leader");
    let events = block_on(cluster.handle(leader).subscribe(1));
    for value in 1..=20 {
        cluster.propose(1, &[value]);
    }
    let mut payloads = Vec::new();
    // A leader change under load delays events on the subscribed member but loses none.
    while payloads.len() < 20 {
        let event = block_on(async_std::future::timeout(AWAIT_TIMEOUT, events.recv()));
        if let GroupEvent::Committed { payload, .. } = event.expect("in time").expect("open") {
            payloads.push(payload[0]);
        }
    }
    assert_eq!(payloads, (1..=20).collect::<Vec<u8>>());
}

static FAIL_SYNC: AtomicBool = AtomicBool::new(false);

fn failing_sync(file: &fs::File) -> std::io::Result<()> {
    if FAIL_SYNC.load(Ordering::SeqCst) {
        return Err(std::io::Error::other("injected failure"));
    }
    file.sync_data()
}

/// Guards against a successful response after a failed sync, and against a host that keeps running.
#[test]
fn failed_sync_stops_the_host() {
    let folder = std::env::temp_dir().join(format!("chhost-{}-sync", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    let options = StorageOptions { sync: failing_sync, ..StorageOptions::default() };
    let (storage, _) = LogStorage::open_with(&folder, options).expect("the folder opens");
    let timers = TimerService::start();
    let initial = MemberSet::of_voters([(1, name_of(1))]);
    let config = HostConfig::new(name_of(1), 1, initial, 1);
    let machine = Box::new(CounterMachine::default());
    let spec = GroupSpec { group: 0, machine, recovered: Default::default() };
    let host = ConsensusHost::start(config, storage, vec![spec], &timers).expect("it starts");
    let handle = host.handle();
    let deadline = Instant::now() + AWAIT_TIMEOUT;
    while block_on(handle.propose(0, vec![1])).is_err() {
        assert!(Instant::now() < deadline, "condition not reached: an accepted proposal");
        thread::sleep(Duration::from_millis(5));
    }
    FAIL_SYNC.store(true, Ordering::SeqCst);
    assert_eq!(block_on(handle.propose(0, vec![1])), Err(ProposeError::Stopped));
    let ended = host.join();
    let storage_failed =
        matches!(ended, Err(HostError::Storage(StorageError::Io { action: "sync", .. })));
    assert!(storage_failed, "{ended:?}");
    timers.stop();
    let _ = fs::remove_dir_all(&folder);
}

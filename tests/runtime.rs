//! Tests of a service runtime: slots, queue, credits and connections of one entry.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task;
use curranthollow::credit::{CreditCount, EntryMessage, HolderMessage, WorkClass, server_key};
use curranthollow::directory::{AnnouncedState, LifeState, ServerAnnouncement, ServiceKey};
use curranthollow::entry::{
    FailureReason, PoolMaintainer, RuntimeIdentity, ServiceRuntime, SlotPermit,
};
use curranthollow::http::{ConnectionPool, HttpLimits};
use curranthollow::settings::{RootSettings, ServiceSettings, SettingsTree, TeamSettings};
use futures_util::FutureExt;
use yare::parameterized;

const SHORT: WorkClass = WorkClass::Short;
const SLOTS: usize = 3;

/// Timeout of test steps, long enough for a busy machine; reached only when a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn settings(policy: &str, slots: usize) -> Arc<ServiceSettings> {
    let root = Arc::new(
        RootSettings::parse(r#"{ "defaults": {} }"#, 1).expect("the root settings are valid"),
    );
    let text = format!(
        r#"{{ "team": "blue", "services": {{ "books": {{
            "match": {{ "path_prefix": "/" }},
            "servers": {{ "slots": {slots}, "queue": 64 }},
            "drain": {{ "slow_start": "0ms" }},
            "policy": "{policy}" }} }} }}"#
    );
    let team = TeamSettings::parse("blue", &text, &root).expect("the team's settings are valid");
    let teams = BTreeMap::from([("blue".into(), Arc::new(team))]);
    let tree = SettingsTree::assemble(1, root, teams).expect("the tree is valid");
    Arc::clone(tree.service("blue", "books").expect("the service exists"))
}

/// Messages sent to the account holder.
type SentMessages = Arc<Mutex<Vec<EntryMessage>>>;

fn new_runtime(policy: &str) -> (Arc<ServiceRuntime>, SentMessages) {
    let sent = SentMessages::default();
    let outbox = Arc::clone(&sent);
    let identity = RuntimeIdentity {
        name: "e1".into(),
        availability_zone: "a".into(),
        seed: 1,
        outbox: Box::new(move |_, message| outbox.lock().expect("no panic").push(message)),
    };
    let key = ServiceKey { team: "blue".into(), service: "books".into() };
    let runtime = ServiceRuntime::new(key, settings(policy, SLOTS), identity, Instant::now());
    // The only entry has no reachable account holder, so it assigns slots by its local count.
    runtime.update_holder(1, vec!["e1".into()], false);
    (runtime, sent)
}

fn announcement(server: &str) -> ServerAnnouncement {
    ServerAnnouncement {
        team: "blue".into(),
        service: "books".into(),
        server: server.into(),
        address: ([127, 0, 0, 1], 9).into(),
        availability_zone: "a".into(),
        region: "r".into(),
        slots: SLOTS as u32,
        connections: 220,
        state: AnnouncedState::Ready,
        load: 0,
        incarnation: 1,
        sequence: 1,
    }
}

fn set_server(runtime: &Arc<ServiceRuntime>, server: &str, life: LifeState) {
    runtime.update_server(Instant::now(), &announcement(server), life);
}

fn deadline() -> Instant {
    Instant::now() + TEST_TIMEOUT
}

/// Acquires a slot that must be free immediately.
fn acquire_now(runtime: &Arc<ServiceRuntime>) -> SlotPermit {
    let permit = runtime.acquire(SHORT, &[], deadline()).now_or_never();
    permit.expect("a slot is free").expect("a server is ready")
}

fn acquire_all(runtime: &Arc<ServiceRuntime>) -> Vec<SlotPermit> {
    let permits = (0..SLOTS).map(|_| acquire_now(runtime)).collect();
    let next = runtime.acquire(SHORT, &[], deadline()).now_or_never();
    assert!(next.is_none(), "more slots than the server has");
    permits
}

fn assert_idle(runtime: &Arc<ServiceRuntime>) {
    assert_eq!(runtime.occupied_slots(), 0);
    assert_eq!(runtime.waiting(), [0, 0]);
    drop(acquire_all(runtime));
    assert_eq!(runtime.occupied_slots(), 0);
}

/// Runs `work` and panics if it does not end in time, for example because of a deadlock.
fn run_with_timeout<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || sender.send(work()));
    receiver.recv_timeout(TEST_TIMEOUT).expect("the work ends")
}

fn block_on_with_timeout<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> T {
    run_with_timeout(move || task::block_on(future))
}

/// Way in which the permits of a test end.
#[derive(Clone, Copy)]
enum PermitEnd {
    Finish,
    FinishFailed,
    Drop,
    DropAfterServerLeft,
    DropAfterPolicyChange,
    DropAfterSlotsChange,
}

/// Guards against slots that leak in one of the ways in which a permit can end.
#[parameterized(
    finish = { "least_in_flight", PermitEnd::Finish },
    failed = { "least_in_flight", PermitEnd::FinishFailed },
    dropped = { "least_in_flight", PermitEnd::Drop },
    server_left = { "least_in_flight", PermitEnd::DropAfterServerLeft },
    slots_changed = { "least_in_flight", PermitEnd::DropAfterSlotsChange },
    to_credits = { "least_in_flight", PermitEnd::DropAfterPolicyChange },
    finish_credit = { "credits", PermitEnd::Finish },
    failed_credit = { "credits", PermitEnd::FinishFailed },
    dropped_credit = { "credits", PermitEnd::Drop },
    server_left_credit = { "credits", PermitEnd::DropAfterServerLeft },
    slots_changed_credit = { "credits", PermitEnd::DropAfterSlotsChange },
    from_credits = { "credits", PermitEnd::DropAfterPolicyChange },
)]
fn ended_permits_release_slots(policy: &str, end: PermitEnd) {
    let (runtime, _) = new_runtime(policy);
    set_server(&runtime, "s1", LifeState::Ready);
    let permits = acquire_all(&runtime);
    assert_eq!(runtime.occupied_slots(), SLOTS);
    match end {
        PermitEnd::DropAfterServerLeft => set_server(&runtime, "s1", LifeState::Gone),
        PermitEnd::DropAfterPolicyChange => {
            let other = if policy == "credits" { "two_choices" } else { "credits" };
            runtime.update_settings(settings(other, SLOTS));
        }
        PermitEnd::DropAfterSlotsChange => runtime.update_settings(settings(policy, 1)),
        _ => (),
    }
    for permit in permits {
        match end {
            PermitEnd::Finish => permit.finish(false),
            PermitEnd::FinishFailed => permit.finish(true),
            _ => drop(permit),
        }
    }
    set_server(&runtime, "s1", LifeState::Ready);
    runtime.update_settings(settings(policy, SLOTS));
    if matches!(end, PermitEnd::FinishFailed) {
        wait_until_usable(&runtime);
    }
    assert_idle(&runtime);
}

/// Guards against a pause that outlives its server: one that left and announced itself again starts
/// afresh, also while credits of its earlier life are still to be returned.
#[parameterized(
    baseline = { "least_in_flight" },
    credits = { "credits" },
)]
fn returned_server_is_used_at_once(policy: &str) {
    let (runtime, _) = new_runtime(policy);
    set_server(&runtime, "s1", LifeState::Ready);
    for _ in 0..3 {
        for permit in acquire_all(&runtime) {
            permit.finish(true);
        }
        set_server(&runtime, "s1", LifeState::Gone);
        set_server(&runtime, "s1", LifeState::Ready);
        assert_idle(&runtime);
    }
}

/// Waits until a server that just failed is used again; with credits it is paused briefly.
fn wait_until_usable(runtime: &Arc<ServiceRuntime>) {
    let end = deadline();
    while runtime.acquire(SHORT, &[], end).now_or_never().is_none() {
        assert!(Instant::now() < end, "the slots stay unused after a failure");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Guards against a slot that stays free while a request waits for one.
#[parameterized(
    baseline = { "least_in_flight" },
    credits = { "credits" },
)]
fn freed_slot_is_granted_to_waiting_request(policy: &str) {
    let (runtime, _) = new_runtime(policy);
    set_server(&runtime, "s1", LifeState::Ready);
    let mut permits = acquire_all(&runtime);
    let mut waiting = Box::pin(runtime.acquire(SHORT, &[], deadline()));
    assert!(waiting.as_mut().now_or_never().is_none());
    assert_eq!(runtime.waiting(), [1, 0]);
    permits.pop().expect("permits are held").finish(false);
    let permit = waiting.as_mut().now_or_never().expect("the slot is passed on");
    drop((permit.expect("the server is ready"), permits));
    drop(waiting);
    assert_idle(&runtime);
}

/// Guards against cancelled requests that keep their place in the queue or a permit already sent.
#[parameterized(
    while_queued = { false },
    after_permit_was_sent = { true },
)]
fn cancelled_wait_releases_queue_place_and_slot(is_granted: bool) {
    let (runtime, _) = new_runtime("least_in_flight");
    set_server(&runtime, "s1", LifeState::Ready);
    let permits = acquire_all(&runtime);
    let mut waiting = Box::pin(runtime.acquire(SHORT, &[], deadline()));
    assert!(waiting.as_mut().now_or_never().is_none());
    if is_granted {
        drop(permits);
        drop(waiting);
    } else {
        drop(waiting);
        assert_eq!(runtime.waiting(), [0, 0]);
        drop(permits);
    }
    assert_idle(&runtime);
}

/// Guards against requests that wait until their deadline although no server is left.
#[parameterized(
    gone = { LifeState::Gone },
    draining = { LifeState::Draining },
    restarting = { LifeState::Starting },
)]
fn waiting_request_fails_when_no_server_is_left(life: LifeState) {
    let (runtime, _) = new_runtime("least_in_flight");
    set_server(&runtime, "s1", LifeState::Ready);
    let permits = acquire_all(&runtime);
    let waiting = Arc::clone(&runtime);
    let waiter = task::spawn(async move { waiting.acquire(SHORT, &[], deadline()).await.err() });
    while runtime.waiting() == [0, 0] {
        thread::yield_now();
    }
    set_server(&runtime, "s1", life);
    assert_eq!(block_on_with_timeout(waiter), Some(FailureReason::NoServer));
    drop(permits);
    assert_eq!(runtime.occupied_slots(), 0);
    let refused = runtime.acquire(SHORT, &[], deadline()).now_or_never();
    assert_eq!(refused.expect("there is an answer").err(), Some(FailureReason::NoServer));
}

/// Guards against deadlocks and leaked slots when permits, deadlines, cancelled requests, server
/// changes and settings changes coincide.
#[parameterized(
    baseline = { "least_in_flight" },
    credits = { "credits" },
)]
fn concurrent_use_loses_no_slot(policy: &str) {
    const WORKERS: u64 = 8;
    const REQUESTS: usize = 3000;
    let (runtime, _) = new_runtime(policy);
    set_server(&runtime, "s1", LifeState::Ready);
    let policy = policy.to_owned();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut workers = Vec::new();
    for seed in 0..WORKERS {
        let runtime = Arc::clone(&runtime);
        workers.push(thread::spawn(move || {
            let mut random = fastrand::Rng::with_seed(seed);
            for _ in 0..REQUESTS {
                task::block_on(acquire_and_release(&runtime, &mut random));
            }
        }));
    }
    let changer = {
        let (runtime, is_over) = (Arc::clone(&runtime), Arc::clone(&is_over));
        thread::spawn(move || {
            let mut random = fastrand::Rng::with_seed(99);
            while !is_over.load(Ordering::Relaxed) {
                apply_random_change(&runtime, &policy, &mut random);
            }
            runtime.update_settings(settings(&policy, SLOTS));
        })
    };
    run_with_timeout(move || {
        for worker in workers {
            worker.join().expect("no worker panics");
        }
        is_over.store(true, Ordering::Relaxed);
        changer.join().expect("the changer does not panic");
    });
    set_server(&runtime, "s2", LifeState::Gone);
    set_server(&runtime, "s1", LifeState::Gone);
    set_server(&runtime, "s1", LifeState::Ready);
    assert_idle(&runtime);
}

async fn acquire_and_release(runtime: &Arc<ServiceRuntime>, random: &mut fastrand::Rng) {
    let wait_limit = Duration::from_micros(random.u64(..200));
    let deadline = Instant::now() + Duration::from_micros(random.u64(..2000));
    let Ok(Ok(permit)) = timeout(wait_limit, runtime.acquire(SHORT, &[], deadline)).await else {
        return;
    };
    if random.bool() {
        thread::yield_now();
    }
    match random.u8(..3) {
        0 => permit.finish(false),
        1 => permit.finish(true),
        _ => drop(permit),
    }
}

fn apply_random_change(runtime: &Arc<ServiceRuntime>, policy: &str, random: &mut fastrand::Rng) {
    let server = if random.bool() { "s1" } else { "s2" };
    match random.u8(..8) {
        0 => set_server(runtime, server, LifeState::Gone),
        1 => set_server(runtime, server, LifeState::Draining),
        2 => runtime.update_settings(settings(policy, random.usize(1..4))),
        3 => runtime.tick(Instant::now()),
        _ => set_server(runtime, server, LifeState::Ready),
    }
}

/// Answers the last wallet report with credits for all slots of `s1`.
fn grant_all(runtime: &Arc<ServiceRuntime>, sent: &SentMessages) {
    let report = sent.lock().expect("no panic").last().cloned().expect("a report was sent");
    assert!(report.report.is_some(), "{report:?}");
    let server = server_key("s1");
    let line = CreditCount { server, class: SHORT, count: SLOTS as u32 };
    runtime.receive(HolderMessage {
        epoch: report.epoch,
        session: report.session,
        acknowledged: report.sequence,
        lease: Duration::from_secs(2),
        idle_allowance: SLOTS as u32,
        is_scarce: false,
        grants: vec![line],
        recalls: Vec::new(),
        probes: Vec::new(),
    });
}

/// Ticks once and returns the number of credits that were returned to the holder.
fn tick_and_count_returned_credits(
    runtime: &Arc<ServiceRuntime>,
    sent: &SentMessages,
    now: Instant,
) -> u32 {
    sent.lock().expect("no panic").clear();
    runtime.tick(now);
    let messages = std::mem::take(&mut *sent.lock().expect("no panic"));
    messages.iter().flat_map(|message| &message.returns).map(|line| line.count).sum()
}

fn credit_runtime() -> (Arc<ServiceRuntime>, SentMessages) {
    let (runtime, sent) = new_runtime("credits");
    set_server(&runtime, "s1", LifeState::Ready);
    runtime.update_holder(2, vec!["e1".into()], true);
    grant_all(&runtime, &sent);
    assert!(!runtime.uses_local_count());
    (runtime, sent)
}

/// Guards against credits kept by an entry whose service no longer uses them, which would withhold
/// slots from other entries, and against a service that gets no credits after it is switched back.
#[test]
fn policy_change_returns_credits() {
    let (runtime, sent) = credit_runtime();
    let permit = acquire_now(&runtime);
    runtime.update_settings(settings("two_choices", SLOTS));
    let mut now = Instant::now();
    let mut returned = [0; 3];
    let mut permit = Some(permit);
    for count in &mut returned {
        now += Duration::from_millis(10);
        *count = tick_and_count_returned_credits(&runtime, &sent, now);
        permit = permit.take().and_then(|permit| {
            permit.finish(false);
            None
        });
    }
    assert_eq!(returned, [SLOTS as u32 - 1, 1, 0]);
    for _ in 0..100 {
        now += Duration::from_millis(10);
        runtime.tick(now);
    }
    assert!(sent.lock().expect("no panic").is_empty(), "a wallet without credits sends nothing");
    drop(acquire_all(&runtime));
    runtime.update_settings(settings("credits", SLOTS));
    let early = runtime.acquire(SHORT, &[], deadline()).now_or_never();
    assert!(early.is_none(), "work starts only with the holder's answer");
    grant_all(&runtime, &sent);
    assert!(!runtime.uses_local_count());
    assert_idle(&runtime);
}

/// Guards against connections that are opened only after load has risen, that exceed this entry's
/// share of the server's connections, or that stay open when their server leaves.
#[test]
fn connections_follow_servers_and_credits() {
    let (runtime, sent) = new_runtime("credits");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let set = |life| {
        let announced = ServerAnnouncement { address, connections: 4, ..announcement("s1") };
        runtime.update_server(Instant::now(), &announced, life);
    };
    let pool = ConnectionPool::new(HttpLimits::default());
    let mut pool_maintainer = PoolMaintainer::new();
    let mut expect = |idle: usize| {
        let end = Instant::now() + TEST_TIMEOUT;
        while pool.counts(address).idle != idle {
            assert!(Instant::now() < end, "{:?} instead of {idle}", pool.counts(address));
            pool_maintainer.refresh(&pool, [&runtime].into_iter());
            thread::sleep(Duration::from_millis(1));
        }
    };
    set(LifeState::Starting);
    expect(0);
    set(LifeState::Ready);
    expect(1);
    runtime.update_holder(2, vec!["e1".into()], true);
    grant_all(&runtime, &sent);
    expect(SLOTS);
    set(LifeState::Draining);
    expect(0);
    set(LifeState::Ready);
    // The credits were returned when the server drained; two entries share four connections.
    runtime.update_holder(3, vec!["e1".into(), "e2".into()], true);
    grant_all(&runtime, &sent);
    expect(2);
    set(LifeState::Gone);
    expect(0);
    assert_eq!(pool.counts(address).open, 0);
}

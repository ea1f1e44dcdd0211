//! Guards requests that must run at most once.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use curranthollow::stand_in::StandInMode;

use super::client::{Answer, Call};
use super::cluster::{ClusterPlan, SHORT_LEASE, TestCluster};
use super::support::{seed, wait_until};

const KEYS: usize = 240;
const WORKERS: usize = 12;

// Guards the answers to duplicates, to reused keys and after the death of a claim's holder.
#[test]
fn duplicates_get_the_first_answer() {
    let mut cluster =
        TestCluster::start(ClusterPlan { entries: 3, proxied: false, lease: SHORT_LEASE });
    let call = Call::post("/book", "one", "deposit");
    let first = call.send(cluster.entry(1));
    assert!(first.is_served(), "{first:?}");
    for entry in cluster.entries() {
        assert_eq!(call.send(entry), first);
        let other = Call::post("/book", "one", "another body").send(entry);
        assert!(matches!(other, Answer::Failed { status: 422, .. }), "{other:?}");
        assert!(other.is_not_run(), "{other:?}");
    }
    assert_eq!(cluster.runs_of_key("one"), 1);
    let missing = Call { key: None, ..Call::post("/book", "none", "") }.send(cluster.entry(1));
    assert!(matches!(missing, Answer::Failed { status: 400, .. }), "{missing:?}");
    assert!(missing.is_not_run(), "{missing:?}");
    large_answer_is_not_stored(&cluster);
    concurrent_duplicates(&cluster);
    refused_requests_run_later(&cluster);
    holder_dies(&mut cluster);
}

fn large_answer_is_not_stored(cluster: &TestCluster) {
    let call = Call::post("/book?size=200000", "large", "deposit");
    // The body of the response belongs to the attempt, so it is checked against the run id.
    let first = call.send(cluster.entry(1));
    assert!(first.is_served(), "{first:?}");
    let again = call.send(cluster.entry(2));
    assert!(matches!(again, Answer::Failed { status: 409, .. }), "{again:?}");
    assert_eq!(again.code(), "already_run");
    assert_eq!(cluster.runs_of_key("large"), 1);
}

fn concurrent_duplicates(cluster: &TestCluster) {
    let call = Call::post("/book?time_us=600000", "same", "deposit");
    let answers: Vec<Answer> = thread::scope(|scope| {
        let call = &call;
        let calls: Vec<_> = (0..9)
            .map(|number| {
                let entry = cluster.entry(1 + number % 3);
                scope.spawn(move || call.send(entry))
            })
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    for answer in &answers {
        assert!(answer.is_served(), "{answer:?}");
        assert_eq!(answer, &answers[0]);
    }
    assert_eq!(cluster.runs_of_key("same"), 1);
}

fn refused_requests_run_later(cluster: &TestCluster) {
    for server in &cluster.servers {
        server.set_mode(StandInMode::Refuse);
    }
    let call = Call::post("/book", "refused", "deposit");
    let refused = call.send(cluster.entry(1));
    assert!(refused.is_not_run(), "{refused:?}");
    assert_eq!(cluster.runs_of_key("refused"), 0);
    for server in &cluster.servers {
        server.set_mode(StandInMode::Normal);
    }
    wait_until("the released key runs", || call.send(cluster.entry(2)).is_served());
    assert_eq!(cluster.runs_of_key("refused"), 1);
}

fn holder_dies(cluster: &mut TestCluster) {
    let call = Call::post("/book?time_us=3000000", "orphan", "deposit");
    let (entry, resent) = (cluster.entry(3), call.clone());
    let first = thread::spawn(move || resent.send(entry));
    wait_until("the request runs", || cluster.runs_of_key("orphan") == 1);
    cluster.kill("entry-3");
    let first = first.join().unwrap();
    assert!(matches!(first, Answer::Broken(_)), "{first:?}");
    let mut last = None;
    wait_until("the outcome is settled as unknown", || {
        let answer = call.send(cluster.entry(1));
        assert!(!answer.is_served() && !answer.is_not_run(), "{answer:?}");
        last = Some(answer.clone());
        answer.code() == "outcome_unknown"
    });
    assert_eq!(cluster.runs_of_key("orphan"), 1, "{last:?}");
}

/// Answers to the attempts of one key, with their run ids.
type KeyAnswers = Vec<(String, Answer)>;

// Guards against a second run and a false "not run" while processes die and freeze.
#[test]
fn keys_run_once_while_processes_die() {
    let mut cluster =
        TestCluster::start(ClusterPlan { entries: 3, proxied: false, lease: SHORT_LEASE });
    let mut random = fastrand::Rng::with_seed(seed());
    let next = AtomicUsize::new(0);
    let records: Mutex<BTreeMap<String, KeyAnswers>> = Mutex::default();
    let entries = cluster.entries();
    thread::scope(|scope| {
        for worker in 0..WORKERS {
            let (next, records, entries) = (&next, &records, &entries);
            scope.spawn(move || {
                let mut random = fastrand::Rng::with_seed(seed() * 1000 + worker as u64);
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    if number >= KEYS {
                        return;
                    }
                    let key = format!("storm-{number}");
                    let record = call_until_known(&key, entries, &mut random);
                    records.lock().unwrap().insert(key, record);
                }
            });
        }
        let names = cluster.names("");
        let end = Instant::now() + Duration::from_secs(15);
        while next.load(Ordering::SeqCst) < KEYS && Instant::now() < end {
            let name = names[random.usize(..names.len())].clone();
            disturb(&mut cluster, &name, &mut random);
            thread::sleep(Duration::from_millis(random.u64(300..900)));
        }
    });
    let records = records.into_inner().unwrap();
    assert_eq!(records.len(), KEYS);
    println!("answers: {:?}", check_keys(&cluster, &records));
}

/// Checks what callers were told against the servers' records; returns the answers by code.
pub fn check_keys(
    cluster: &TestCluster,
    records: &BTreeMap<String, KeyAnswers>,
) -> BTreeMap<String, u64> {
    let (mut runs_of_key, mut runs_of_attempt) = (BTreeMap::new(), BTreeMap::new());
    for server in &cluster.servers {
        for run in server.runs().runs {
            *runs_of_key.entry(run.idempotency_key).or_insert(0) += run.count;
            *runs_of_attempt.entry(run.run_id).or_insert(0) += run.count;
        }
    }
    let seed = seed();
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for (key, answers) in records {
        let runs = runs_of_key.get(&**key).copied().unwrap_or(0);
        assert!(runs <= 1, "seed {seed}: {key} ran {runs} times: {answers:?}");
        let served: Vec<_> =
            answers.iter().map(|(_, answer)| answer).filter(|answer| answer.is_served()).collect();
        assert!(served.windows(2).all(|pair| pair[0] == pair[1]), "seed {seed}: {key} {served:?}");
        assert!(served.is_empty() || runs == 1, "seed {seed}: {key} answered without a run");
        for (run_id, answer) in answers {
            let ran = runs_of_attempt.get(&**run_id).copied().unwrap_or(0);
            assert!(!answer.is_not_run() || ran == 0, "seed {seed}: {run_id} ran: {answers:?}");
            *counts.entry(answer.code().to_owned()).or_default() += 1;
        }
    }
    counts
}

/// Sends one key to random entries, often twice at once, until its fate is final.
fn call_until_known(
    key: &str,
    entries: &[std::net::SocketAddr],
    random: &mut fastrand::Rng,
) -> KeyAnswers {
    let target = format!("/book?time_us={}", random.u64(0..40_000));
    let call = Call::post(&target, key, "deposit").limit(Duration::from_secs(4));
    let mut record = Vec::new();
    for _ in 0..8 {
        let mut attempts = Vec::new();
        for _ in 0..1 + random.usize(0..2) {
            let number = record.len() + attempts.len();
            attempts.push((call.attempt(number), entries[random.usize(..entries.len())]));
        }
        let answers: KeyAnswers = thread::scope(|scope| {
            let calls: Vec<_> = attempts
                .iter()
                .map(|(call, entry)| scope.spawn(|| (call.run_id.clone(), call.send(*entry))))
                .collect();
            calls.into_iter().map(|call| call.join().unwrap()).collect()
        });
        let last = answers.last().unwrap().1.code().to_owned();
        record.extend(answers);
        if ["served", "already_run"].contains(&&*last) && random.bool() {
            break;
        }
        if last == "outcome_unknown" {
            break;
        }
        if last != "served" {
            thread::sleep(Duration::from_millis(random.u64(20..200)));
        }
    }
    record
}

/// Kills and restarts a process, or freezes it for a while.
pub fn disturb(cluster: &mut TestCluster, name: &str, random: &mut fastrand::Rng) {
    let pause = Duration::from_millis(random.u64(50..1500));
    if random.bool() {
        cluster.kill(name);
        thread::sleep(pause);
        cluster.restart(name);
    } else {
        cluster.freeze(name);
        thread::sleep(pause);
        cluster.wake(name);
    }
}

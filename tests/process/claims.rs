//! Requests that must run at most once.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use curranthollow::stand_in::StandInMode;

use super::client::{Answer, Call};
use super::cluster::{ClusterOptions, SHORT_LEASE, TestCluster};
use super::support::{seed, wait_until};

/// Idempotency keys sent in the test with random process faults.
const KEY_COUNT: usize = 240;
/// Threads that send requests concurrently.
const CALLERS: usize = 12;

// Guards the answers to duplicates and to reused keys, also after the entry that holds the claim was
// killed.
#[test]
fn duplicates_get_the_first_answer() {
    let mut cluster =
        TestCluster::start(ClusterOptions { entries: 3, proxied: false, lease: SHORT_LEASE });
    let call = Call::post("/book", "one", "deposit");
    let first = call.send(cluster.entry(1));
    assert!(first.is_served(), "{first:?}");
    for entry in cluster.entries() {
        assert_eq!(call.send(entry), first);
        let with_other_body = Call::post("/book", "one", "another body").send(entry);
        assert!(
            matches!(with_other_body, Answer::Failed { status: 422, .. }),
            "{with_other_body:?}"
        );
        assert!(with_other_body.is_not_run(), "{with_other_body:?}");
    }
    assert_eq!(cluster.runs_of_key("one"), 1);
    let without_key = Call { key: None, ..Call::post("/book", "none", "") }.send(cluster.entry(1));
    assert!(matches!(without_key, Answer::Failed { status: 400, .. }), "{without_key:?}");
    assert!(without_key.is_not_run(), "{without_key:?}");
    check_large_answer_is_not_stored(&cluster);
    check_concurrent_duplicates(&cluster);
    check_refused_request_runs_later(&cluster);
    check_holder_killed(&mut cluster);
}

fn check_large_answer_is_not_stored(cluster: &TestCluster) {
    let call = Call::post("/book?size=200000", "large", "deposit");
    // The body depends on the run id of the attempt; `send` checks it.
    let first = call.send(cluster.entry(1));
    assert!(first.is_served(), "{first:?}");
    let repeated = call.send(cluster.entry(2));
    assert!(matches!(repeated, Answer::Failed { status: 409, .. }), "{repeated:?}");
    assert_eq!(repeated.code(), "already_run");
    assert_eq!(cluster.runs_of_key("large"), 1);
}

fn check_concurrent_duplicates(cluster: &TestCluster) {
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

fn check_refused_request_runs_later(cluster: &TestCluster) {
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
    wait_until("the released key can run", || call.send(cluster.entry(2)).is_served());
    assert_eq!(cluster.runs_of_key("refused"), 1);
}

fn check_holder_killed(cluster: &mut TestCluster) {
    let call = Call::post("/book?time_us=3000000", "orphan", "deposit");
    let (entry, first_call) = (cluster.entry(3), call.clone());
    let first = thread::spawn(move || first_call.send(entry));
    wait_until("the request runs", || cluster.runs_of_key("orphan") == 1);
    cluster.kill("entry-3");
    let first = first.join().unwrap();
    assert!(matches!(first, Answer::Broken(_)), "{first:?}");
    let mut last = None;
    wait_until("the outcome is reported as unknown", || {
        let answer = call.send(cluster.entry(1));
        assert!(!answer.is_served() && !answer.is_not_run(), "{answer:?}");
        last = Some(answer.clone());
        answer.code() == "outcome_unknown"
    });
    assert_eq!(cluster.runs_of_key("orphan"), 1, "{last:?}");
}

/// Run ids of and answers to the attempts of one idempotency key.
type KeyAnswers = Vec<(String, Answer)>;

// Guards against a second run of a key, and against reporting a request as not run that did run, while
// processes are killed and frozen.
#[test]
fn keys_run_once_under_process_faults() {
    let mut cluster =
        TestCluster::start(ClusterOptions { entries: 3, proxied: false, lease: SHORT_LEASE });
    let mut random = fastrand::Rng::with_seed(seed());
    let next_number = AtomicUsize::new(0);
    let records: Mutex<BTreeMap<String, KeyAnswers>> = Mutex::default();
    let entries = cluster.entries();
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (next_number, records, entries) = (&next_number, &records, &entries);
            scope.spawn(move || {
                let mut random = fastrand::Rng::with_seed(seed() * 1000 + caller as u64);
                loop {
                    let number = next_number.fetch_add(1, Ordering::SeqCst);
                    if number >= KEY_COUNT {
                        return;
                    }
                    let key = format!("storm-{number}");
                    let record = send_until_final(&key, entries, &mut random);
                    records.lock().unwrap().insert(key, record);
                }
            });
        }
        let names = cluster.process_names("");
        let deadline = Instant::now() + Duration::from_secs(15);
        while next_number.load(Ordering::SeqCst) < KEY_COUNT && Instant::now() < deadline {
            let name = names[random.usize(..names.len())].clone();
            inject_process_fault(&mut cluster, &name, &mut random);
            thread::sleep(Duration::from_millis(random.u64(300..900)));
        }
    });
    let records = records.into_inner().unwrap();
    assert_eq!(records.len(), KEY_COUNT);
    println!("answers: {:?}", check_at_most_once(&cluster, &records));
}

/// Checks the callers' answers against the runs that the servers counted; returns the number of answers
/// by code.
pub fn check_at_most_once(
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
        assert!(served.is_empty() || runs == 1, "seed {seed}: {key} was answered without a run");
        for (run_id, answer) in answers {
            let ran = runs_of_attempt.get(&**run_id).copied().unwrap_or(0);
            assert!(!answer.is_not_run() || ran == 0, "seed {seed}: {run_id} ran: {answers:?}");
            *counts.entry(answer.code().to_owned()).or_default() += 1;
        }
    }
    counts
}

/// Sends one key to random entries, often twice concurrently, until an answer is final; gives up after
/// eight rounds.
fn send_until_final(
    key: &str,
    entries: &[std::net::SocketAddr],
    random: &mut fastrand::Rng,
) -> KeyAnswers {
    let target = format!("/book?time_us={}", random.u64(0..40_000));
    let call = Call::post(&target, key, "deposit").timeout(Duration::from_secs(4));
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

/// Kills and restarts a process, or freezes it, for a random time.
pub fn inject_process_fault(cluster: &mut TestCluster, name: &str, random: &mut fastrand::Rng) {
    let pause = Duration::from_millis(random.u64(50..1500));
    if random.bool() {
        cluster.kill(name);
        thread::sleep(pause);
        cluster.restart(name);
    } else {
        cluster.freeze(name);
        thread::sleep(pause);
        cluster.unfreeze(name);
    }
}

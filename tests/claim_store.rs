//! Tests of the replicated claim store.

use std::collections::{BTreeMap, BTreeSet};

use curranthollow::claim::digest::{RequestDigest, request_digest};
use curranthollow::claim::store::{ClaimLimits, ClaimStore, MAX_TEXT_BYTES, RECORD_BYTES};
use curranthollow::claim::{
    COMMAND_VERSION, ClaimAction, ClaimCommand, ClaimKey, ClaimOutcome, ClaimView, HolderSession,
    OpenClaim, OpenOutcome, SettleClaim, SettleOutcome, SettledAs, StoredAnswer, claim_group_of,
};
use serde_bytes::ByteBuf;
use yare::parameterized;

const RETENTION_MS: u64 = 1_000;

fn claim_key(key: &str) -> ClaimKey {
    ClaimKey { team: "lakeshore".into(), service: "billing".into(), key: key.into() }
}

fn session(holder: &str, session: u64) -> HolderSession {
    HolderSession { holder: holder.into(), session }
}

fn answer(text: &str) -> StoredAnswer {
    let body = ByteBuf::from(text.as_bytes().to_vec());
    StoredAnswer { status: 200, head: ByteBuf::new(), body }
}

fn open_claim(key: &str, holder: HolderSession, attempt: u64) -> OpenClaim {
    let (retention_ms, capacity) = (RETENTION_MS, 1_000);
    let digest = [7; 32];
    OpenClaim { key: claim_key(key), digest, holder, attempt, retention_ms, capacity }
}

fn apply(store: &mut ClaimStore, now_ms: u64, action: ClaimAction) -> ClaimOutcome {
    store.apply(ClaimCommand { version: COMMAND_VERSION, now_ms, action })
}

fn open(store: &mut ClaimStore, key: &str, holder: HolderSession, attempt: u64) -> OpenOutcome {
    let action = ClaimAction::Open(open_claim(key, holder, attempt));
    let ClaimOutcome::Open(outcome) = apply(store, 0, action) else {
        panic!("an `Open` command should return an `Open` outcome");
    };
    outcome
}

fn settle(
    store: &mut ClaimStore,
    number: u64,
    holder: HolderSession,
    outcome: SettledAs,
) -> SettleOutcome {
    let claim = SettleClaim { key: claim_key("k"), number, holder, outcome };
    let ClaimOutcome::Settle(outcome) = apply(store, 0, ClaimAction::Settle(claim)) else {
        panic!("a `Settle` command should return a `Settle` outcome");
    };
    outcome
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum InitialState {
    Absent,
    Running,
    Done,
    TooLarge,
    Unknown,
}

/// Returns a store whose claim of key `k` is in `state`, held by session 5 of entry `a` (attempt 1).
fn store_in(state: InitialState) -> ClaimStore {
    let mut store = ClaimStore::new(ClaimLimits::default());
    if state == InitialState::Absent {
        return store;
    }
    assert_eq!(open(&mut store, "k", session("a", 5), 1), OpenOutcome::Granted { number: 1 });
    let outcome = match state {
        InitialState::Done => SettledAs::Done(Some(answer("first"))),
        InitialState::TooLarge => SettledAs::Done(None),
        InitialState::Unknown => SettledAs::Unknown,
        _ => return store,
    };
    assert_eq!(settle(&mut store, 1, session("a", 5), outcome), SettleOutcome::Settled);
    store
}

fn done(text: &str) -> SettledAs {
    SettledAs::Done(Some(answer(text)))
}

fn view(store: &ClaimStore) -> ClaimView {
    store.look_up(&claim_key("k"), &[7; 32])
}

fn expected_view(state: InitialState) -> ClaimView {
    match state {
        InitialState::Absent => ClaimView::Absent,
        InitialState::Running => ClaimView::Running,
        InitialState::Done => ClaimView::Done(Some(answer("first"))),
        InitialState::TooLarge => ClaimView::Done(None),
        InitialState::Unknown => ClaimView::Unknown,
    }
}

/// Guards against a second grant, and against a grant that is lost with its reply.
#[parameterized(
    absent = { InitialState::Absent, "a", 5, 1, OpenOutcome::Granted { number: 1 } },
    running_resent = { InitialState::Running, "a", 5, 1, OpenOutcome::Granted { number: 1 } },
    running_other_attempt = { InitialState::Running, "a", 5, 2, OpenOutcome::Running { number: 1, holder: "a".into() } },
    running_other_session = { InitialState::Running, "a", 6, 1, OpenOutcome::Running { number: 1, holder: "a".into() } },
    running_other_entry = { InitialState::Running, "b", 5, 1, OpenOutcome::Running { number: 1, holder: "a".into() } },
    done_resent = { InitialState::Done, "a", 5, 1, OpenOutcome::Done { number: 1, answer: Some(answer("first")) } },
    done_other_entry = { InitialState::Done, "b", 5, 1, OpenOutcome::Done { number: 1, answer: Some(answer("first")) } },
    too_large_resent = { InitialState::TooLarge, "a", 5, 1, OpenOutcome::Done { number: 1, answer: None } },
    too_large_other = { InitialState::TooLarge, "b", 5, 1, OpenOutcome::Done { number: 1, answer: None } },
    unknown_resent = { InitialState::Unknown, "a", 5, 1, OpenOutcome::Unknown { number: 1 } },
    unknown_other = { InitialState::Unknown, "b", 5, 1, OpenOutcome::Unknown { number: 1 } },
)]
fn open_in_state(
    state: InitialState,
    holder: &str,
    session_number: u64,
    attempt: u64,
    expected: OpenOutcome,
) {
    let mut store = store_in(state);
    assert_eq!(open(&mut store, "k", session(holder, session_number), attempt), expected);
}

/// Guards against a request that reuses a key and gets the answer of another request.
#[parameterized(
    running = { InitialState::Running },
    done = { InitialState::Done },
    too_large = { InitialState::TooLarge },
    unknown = { InitialState::Unknown },
)]
fn other_digest_is_a_mismatch(state: InitialState) {
    let mut store = store_in(state);
    let before = store.clone();
    let mut claim = open_claim("k", session("a", 5), 1);
    claim.digest = [8; 32];
    let outcome = apply(&mut store, 0, ClaimAction::Open(claim));
    assert_eq!(outcome, ClaimOutcome::Open(OpenOutcome::Mismatch));
    assert_eq!(store.look_up(&claim_key("k"), &[8; 32]), ClaimView::Mismatch);
    assert_eq!(store, before);
}

/// Guards against a final state that changes, and against the release of a request that may have
/// run.
#[parameterized(
    absent_done = { InitialState::Absent, done("x"), SettleOutcome::NoClaim, InitialState::Absent },
    absent_unknown = { InitialState::Absent, SettledAs::Unknown, SettleOutcome::NoClaim, InitialState::Absent },
    absent_not_run = { InitialState::Absent, SettledAs::NotRun, SettleOutcome::NoClaim, InitialState::Absent },
    running_done = { InitialState::Running, done("first"), SettleOutcome::Settled, InitialState::Done },
    running_too_large = { InitialState::Running, SettledAs::Done(None), SettleOutcome::Settled, InitialState::TooLarge },
    running_unknown = { InitialState::Running, SettledAs::Unknown, SettleOutcome::Settled, InitialState::Unknown },
    running_not_run = { InitialState::Running, SettledAs::NotRun, SettleOutcome::Released, InitialState::Absent },
    done_same = { InitialState::Done, done("first"), SettleOutcome::Settled, InitialState::Done },
    done_other = { InitialState::Done, done("x"), SettleOutcome::AlreadyDone, InitialState::Done },
    done_too_large = { InitialState::Done, SettledAs::Done(None), SettleOutcome::AlreadyDone, InitialState::Done },
    done_unknown = { InitialState::Done, SettledAs::Unknown, SettleOutcome::AlreadyDone, InitialState::Done },
    done_not_run = { InitialState::Done, SettledAs::NotRun, SettleOutcome::AlreadyDone, InitialState::Done },
    too_large_done = { InitialState::TooLarge, done("x"), SettleOutcome::Settled, InitialState::TooLarge },
    too_large_unknown = { InitialState::TooLarge, SettledAs::Unknown, SettleOutcome::AlreadyDone, InitialState::TooLarge },
    too_large_not_run = { InitialState::TooLarge, SettledAs::NotRun, SettleOutcome::AlreadyDone, InitialState::TooLarge },
    unknown_done = { InitialState::Unknown, done("first"), SettleOutcome::Settled, InitialState::Done },
    unknown_too_large = { InitialState::Unknown, SettledAs::Done(None), SettleOutcome::Settled, InitialState::TooLarge },
    unknown_unknown = { InitialState::Unknown, SettledAs::Unknown, SettleOutcome::Settled, InitialState::Unknown },
    unknown_not_run = { InitialState::Unknown, SettledAs::NotRun, SettleOutcome::AlreadyUnknown, InitialState::Unknown },
)]
fn settle_in_state(
    state: InitialState,
    outcome: SettledAs,
    expected: SettleOutcome,
    expected_state: InitialState,
) {
    let mut store = store_in(state);
    assert_eq!(settle(&mut store, 1, session("a", 5), outcome.clone()), expected);
    assert_eq!(view(&store), expected_view(expected_state));
    let mut store = store_in(state);
    let before = store.clone();
    let other_number = settle(&mut store, 2, session("a", 5), outcome.clone());
    assert_eq!(other_number, SettleOutcome::NoClaim);
    if state != InitialState::Absent {
        let other_session = settle(&mut store, 1, session("a", 6), outcome.clone());
        assert_eq!(other_session, SettleOutcome::NotHolder);
        let other_entry = settle(&mut store, 1, session("b", 5), outcome);
        assert_eq!(other_entry, SettleOutcome::NotHolder);
    }
    assert_eq!(store, before);
}

/// Guards against a claim that stays running after its holder's session, and against a settled
/// claim that changes when the session ends.
#[parameterized(
    absent = { InitialState::Absent, 5, 0, InitialState::Absent },
    running = { InitialState::Running, 5, 1, InitialState::Unknown },
    running_later_session = { InitialState::Running, 6, 1, InitialState::Unknown },
    running_earlier_session = { InitialState::Running, 4, 0, InitialState::Running },
    done = { InitialState::Done, 5, 0, InitialState::Done },
    too_large = { InitialState::TooLarge, 5, 0, InitialState::TooLarge },
    unknown = { InitialState::Unknown, 5, 0, InitialState::Unknown },
)]
fn holder_expires_in_state(
    state: InitialState,
    ended: u64,
    claims: u64,
    expected_state: InitialState,
) {
    let mut store = store_in(state);
    let other = apply(&mut store, 0, ClaimAction::ExpireHolder(session("b", 9)));
    assert_eq!(other, ClaimOutcome::HolderExpired(0));
    let outcome = apply(&mut store, 0, ClaimAction::ExpireHolder(session("a", ended)));
    assert_eq!(outcome, ClaimOutcome::HolderExpired(claims));
    assert_eq!(view(&store), expected_view(expected_state));
}

/// Guards against a running claim that is dropped, and against a settled claim that is dropped
/// before its retention ends.
#[parameterized(
    running = { InitialState::Running, u64::MAX, 0 },
    done_early = { InitialState::Done, RETENTION_MS - 1, 0 },
    done_due = { InitialState::Done, RETENTION_MS, 1 },
    too_large_due = { InitialState::TooLarge, RETENTION_MS, 1 },
    unknown_early = { InitialState::Unknown, RETENTION_MS - 1, 0 },
    unknown_due = { InitialState::Unknown, RETENTION_MS, 1 },
)]
fn expire_in_state(state: InitialState, now_ms: u64, dropped: u64) {
    let mut store = store_in(state);
    let outcome = apply(&mut store, now_ms, ClaimAction::Expire);
    assert_eq!(outcome, ClaimOutcome::Expired { dropped, more: false });
    assert_eq!(store.is_empty(), dropped == 1);
    assert_eq!(store.used_bytes() == 0, dropped == 1);
}

/// Guards against a claim that stays running forever, because a delayed command of an ended session
/// created it.
#[test]
fn ended_session_gets_no_claim() {
    let mut store = store_in(InitialState::Absent);
    apply(&mut store, 0, ClaimAction::ExpireHolder(session("a", 5)));
    assert_eq!(open(&mut store, "k", session("a", 5), 1), OpenOutcome::SessionEnded);
    assert_eq!(open(&mut store, "k", session("a", 4), 1), OpenOutcome::SessionEnded);
    assert_eq!(open(&mut store, "k", session("a", 6), 1), OpenOutcome::Granted { number: 1 });
}

/// Guards against the reuse of a released claim's number.
#[test]
fn released_claim_gets_a_new_number() {
    let mut store = store_in(InitialState::Running);
    settle(&mut store, 1, session("a", 5), SettledAs::NotRun);
    assert_eq!(open(&mut store, "k", session("a", 5), 2), OpenOutcome::Granted { number: 2 });
    let late_outcome = settle(&mut store, 1, session("a", 5), SettledAs::NotRun);
    assert_eq!(late_outcome, SettleOutcome::NoClaim);
    assert_eq!(view(&store), ClaimView::Running);
}

/// Guards against a store that exceeds its limits, and against a full store that evicts claims.
#[test]
fn full_store_refuses_and_keeps_claims() {
    let limits = ClaimLimits {
        record_bytes: 5 * RECORD_BYTES,
        answer_bytes: 10,
        service_answer_bytes: 8,
        answer_limit: 6,
    };
    let mut store = ClaimStore::new(limits);
    for key in 0..7 {
        let mut claim = open_claim(&format!("k{key}"), session("a", 1), key);
        claim.capacity = 3;
        if key >= 3 {
            claim.key.service = "other".into();
        }
        let outcome = apply(&mut store, 0, ClaimAction::Open(claim));
        let granted = matches!(outcome, ClaimOutcome::Open(OpenOutcome::Granted { .. }));
        assert_eq!(granted, key < 5, "key {key}");
    }
    let mut claim = open_claim("k9", session("a", 1), 9);
    claim.capacity = 3;
    let outcome = apply(&mut store, u64::MAX, ClaimAction::Open(claim));
    assert_eq!(outcome, ClaimOutcome::Open(OpenOutcome::Full));
    // The answer of k0 exceeds `answer_limit`, that of k1 fits, and that of k2 would exceed
    // `service_answer_bytes`.
    let cases = [("k0", "1234567", None), ("k1", "12345", Some(())), ("k2", "1234", None)];
    for (number, (key, text, stored)) in cases.into_iter().enumerate() {
        let (holder, outcome) = (session("a", 1), done(text));
        let key = claim_key(key);
        let claim = SettleClaim { key: key.clone(), number: number as u64 + 1, holder, outcome };
        apply(&mut store, 0, ClaimAction::Settle(claim));
        let expected = ClaimView::Done(stored.map(|()| answer(text)));
        assert_eq!(store.look_up(&key, &[7; 32]), expected);
    }
    assert_eq!(store.used_bytes(), 5 * RECORD_BYTES + 5);
    let long = "x".repeat(MAX_TEXT_BYTES + 1);
    assert_eq!(open(&mut store, &long, session("a", 1), 1), OpenOutcome::Invalid);
}

/// Guards against claims that are dropped early, because a new leader's clock is behind.
#[test]
fn time_never_moves_backwards() {
    let mut store = ClaimStore::new(ClaimLimits::default());
    apply(&mut store, 5_000, ClaimAction::Expire);
    open(&mut store, "k", session("a", 5), 1);
    settle(&mut store, 1, session("a", 5), SettledAs::Unknown);
    assert_eq!(store.next_expiry_ms(), Some(5_000 + RETENTION_MS));
}

/// Guards against a command of a newer version that is misinterpreted.
#[test]
fn newer_command_changes_nothing() {
    let mut store = store_in(InitialState::Running);
    let before = store.clone();
    let version = COMMAND_VERSION + 1;
    let outcome = store.apply(ClaimCommand { version, now_ms: 9, action: ClaimAction::Expire });
    assert_eq!(outcome, ClaimOutcome::UnsupportedVersion);
    assert_eq!(store, before);
}

/// Guards against a truncated snapshot that is accepted as complete.
#[test]
fn truncated_snapshot_is_refused() {
    let mut store = store_in(InitialState::Done);
    open(&mut store, "other", session("b", 1), 1);
    let mut bytes = Vec::new();
    store.snapshot(&mut bytes).expect("writing a snapshot to a vector should succeed");
    assert_eq!(
        ClaimStore::restore(&bytes[..]).expect("a complete snapshot should be restored"),
        store
    );
    for length in 0..bytes.len() {
        assert!(ClaimStore::restore(&bytes[..length]).is_err(), "length {length}");
    }
}

/// Guards against a changed hash function, which would assign keys to other groups after an update.
#[test]
fn claim_groups_are_stable_and_even() {
    let mut counts = BTreeMap::new();
    for key in 0..8_000 {
        let group = claim_group_of("lakeshore", "billing", &key.to_string(), 8);
        *counts.entry(group).or_insert(0_u32) += 1;
    }
    assert!(counts.keys().copied().eq(1..=8));
    assert!(counts.values().all(|count| (850..1_150).contains(count)), "{counts:?}");
    let groups: Vec<_> =
        (0..8).map(|key| claim_group_of("t", "s", &key.to_string(), 100)).collect();
    insta::assert_json_snapshot!(groups);
    assert_ne!(claim_group_of("ab", "c", "k", u32::MAX), claim_group_of("a", "bc", "k", u32::MAX));
    assert_eq!(claim_group_of("t", "s", "k", 0), 1);
}

/// Guards against equal digests of requests whose fields differ but concatenate to the same bytes.
#[parameterized(
    method_to_path = { ("POST", "/a", "b"), ("POS", "T/a", "b") },
    path_to_body = { ("POST", "/a", "b"), ("POST", "/", "ab") },
    body_to_path = { ("POST", "/a", "b"), ("POST", "/ab", "") },
    body = { ("POST", "/a", "b"), ("POST", "/a", "c") },
)]
fn digests_separate_fields(first: (&str, &str, &str), second: (&str, &str, &str)) {
    let digest =
        |(method, path, body): (&str, &str, &str)| request_digest(method, path, body.as_bytes());
    assert_ne!(digest(first), digest(second));
    let mut incremental = RequestDigest::new(first.0, first.1);
    for byte in first.2.as_bytes() {
        incremental.update(&[*byte]);
    }
    assert_eq!(incremental.finish(), digest(first));
}

/// One request at a simulated entry.
#[derive(Clone, Debug)]
struct Attempt {
    open: OpenClaim,
    number: Option<u64>,
    /// The attempt got no grant, or has used its grant.
    closed: bool,
    ran: bool,
}

/// Simulated entries, their requests, and the results that callers observed.
struct Simulation {
    random: fastrand::Rng,
    store: ClaimStore,
    replica: ClaimStore,
    now_ms: u64,
    attempts: Vec<Attempt>,
    /// Undelivered commands and the index of their attempt; delivered in any order, possibly twice.
    in_flight: Vec<(ClaimAction, usize)>,
    sessions: BTreeMap<usize, u64>,
    runs: BTreeMap<Box<str>, u32>,
    reported_not_run: BTreeSet<u64>,
    answers: BTreeMap<u64, Option<StoredAnswer>>,
    reported_unknown: BTreeSet<u64>,
    granted: BTreeMap<u64, u64>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let store = ClaimStore::new(ClaimLimits::default());
        Self {
            random: fastrand::Rng::with_seed(seed),
            replica: store.clone(),
            store,
            now_ms: 0,
            attempts: Vec::new(),
            in_flight: Vec::new(),
            sessions: (0..3).map(|entry| (entry, 1)).collect(),
            runs: BTreeMap::new(),
            reported_not_run: BTreeSet::new(),
            answers: BTreeMap::new(),
            reported_unknown: BTreeSet::new(),
            granted: BTreeMap::new(),
        }
    }

    fn step(&mut self) {
        self.now_ms += self.random.u64(0..20);
        match self.random.u32(0..100) {
            0..20 => self.start_attempt(),
            20..28 => self.resend(),
            28..70 => self.deliver(),
            70..90 => self.act_on_grant(),
            90..93 => self.end_session(),
            93..96 => {
                self.apply(ClaimAction::Expire);
            }
            96..98 => self.restore(),
            _ => self.now_ms = self.now_ms.saturating_sub(100),
        }
    }

    fn start_attempt(&mut self) {
        let entry = self.random.usize(0..3);
        let key = format!("key-{}-{}", self.attempts.len() / 12, self.random.u32(0..2));
        let holder = session(&format!("entry-{entry}"), self.sessions[&entry]);
        let mut open = open_claim(&key, holder, self.random.u64(..));
        // No claim may expire during the simulation, as a key may run again after its retention.
        open.retention_ms = 1_000_000_000;
        self.in_flight.push((ClaimAction::Open(open.clone()), self.attempts.len()));
        self.attempts.push(Attempt { open, number: None, closed: false, ran: false });
    }

    fn resend(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let index = self.random.usize(..self.attempts.len());
        let attempt = &self.attempts[index];
        self.in_flight.push((ClaimAction::Open(attempt.open.clone()), index));
    }

    fn deliver(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.random.usize(..self.in_flight.len());
        let (action, attempt) = self.in_flight[index].clone();
        if self.random.u32(0..3) > 0 {
            self.in_flight.swap_remove(index);
        }
        let outcome = self.apply(action.clone());
        if self.random.u32(0..5) == 0 {
            return;
        }
        match (action, outcome) {
            (_, ClaimOutcome::Open(outcome)) => self.receive_open_outcome(attempt, &outcome),
            (ClaimAction::Settle(settle), ClaimOutcome::Settle(SettleOutcome::Released)) => {
                self.reported_not_run.insert(settle.number);
                assert!(!self.attempts[attempt].ran, "a request that ran was reported as not run");
                let unknown = self.reported_unknown.contains(&settle.number);
                assert!(!unknown, "a claim reported unknown was released");
            }
            _ => {}
        }
    }

    fn receive_open_outcome(&mut self, index: usize, outcome: &OpenOutcome) {
        let attempt = &mut self.attempts[index];
        match outcome {
            OpenOutcome::Granted { number } => {
                let owner = self.granted.insert(*number, attempt.open.attempt);
                assert!(owner.is_none_or(|owner| owner == attempt.open.attempt));
                if !attempt.closed && attempt.number.is_none() {
                    attempt.number = Some(*number);
                }
            }
            OpenOutcome::Done { number, answer } => {
                let first = self.answers.entry(*number).or_insert_with(|| answer.clone());
                assert_eq!(first, answer, "a final answer changed");
            }
            OpenOutcome::Unknown { number } => {
                assert!(!self.answers.contains_key(number), "a final answer became unknown");
                self.reported_unknown.insert(*number);
            }
            _ => {}
        }
        if !matches!(outcome, OpenOutcome::Granted { .. }) && attempt.number.is_none() {
            attempt.closed = true;
        }
    }

    /// Uses one grant. An entry may do so at any time, even long after its session has ended.
    fn act_on_grant(&mut self) {
        let has_unused_grant = |attempt: &&usize| {
            let attempt: &Attempt = &self.attempts[**attempt];
            attempt.number.is_some() && !attempt.closed
        };
        let indexes: Vec<usize> = (0..self.attempts.len()).collect();
        let granted: Vec<usize> = indexes.iter().filter(has_unused_grant).copied().collect();
        let Some(&index) = granted.get(self.random.usize(..granted.len().max(1))) else {
            return;
        };
        let attempt = &mut self.attempts[index];
        attempt.closed = true;
        let number = attempt.number.expect("the attempt should have a grant");
        let outcome = match self.random.u32(0..4) {
            0 | 1 => SettledAs::NotRun,
            choice => {
                attempt.ran = true;
                *self.runs.entry(attempt.open.key.key.clone()).or_default() += 1;
                let text = format!("answer {number}");
                if choice == 2 { SettledAs::Unknown } else { done(&text) }
            }
        };
        let (key, holder) = (attempt.open.key.clone(), attempt.open.holder.clone());
        let settle = SettleClaim { key, number, holder, outcome };
        self.in_flight.push((ClaimAction::Settle(settle), index));
    }

    fn end_session(&mut self) {
        let entry = self.random.usize(0..3);
        let number = self.sessions[&entry];
        self.sessions.insert(entry, number + 1);
        self.apply(ClaimAction::ExpireHolder(session(&format!("entry-{entry}"), number)));
    }

    fn restore(&mut self) {
        let mut bytes = Vec::new();
        self.store.snapshot(&mut bytes).expect("writing a snapshot to a vector should succeed");
        self.store =
            ClaimStore::restore(&bytes[..]).expect("a complete snapshot should be restored");
    }

    /// Applies the action to the store and to a replica that is never restored from a snapshot.
    fn apply(&mut self, action: ClaimAction) -> ClaimOutcome {
        let command = ClaimCommand { version: COMMAND_VERSION, now_ms: self.now_ms, action };
        let outcome = self.store.apply(command.clone());
        assert_eq!(self.replica.apply(command), outcome);
        outcome
    }
}

/// Guards against a key that runs twice, "not run" for a request that ran, final answers that
/// change, and replicas that differ after a restore. The random sequences contain resent, repeated
/// and reordered commands, lost replies, and holders that resume after their session has ended.
#[test]
fn random_sequences_run_each_key_at_most_once() {
    let mut runs = 0;
    let mut released = 0;
    let mut unknown = 0;
    for seed in 0..400 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..400 {
            simulation.step();
            assert!(simulation.runs.values().all(|runs| *runs <= 1), "seed {seed}");
        }
        assert_eq!(simulation.store, simulation.replica, "seed {seed}");
        runs += simulation.runs.len();
        released += simulation.reported_not_run.len();
        unknown += simulation.reported_unknown.len();
    }
    // Without enough claims in each final state, the checks above would prove nothing.
    assert!(runs > 400 && released > 100 && unknown > 100, "{runs} {released} {unknown}");
}

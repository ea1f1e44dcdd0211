//! Measures the claim store: memory per claim, time per command, and size and time of snapshots.
//!
//! ```sh
//! for run in 1 2 3; do cargo run --release --example claim_cost -- bare; done \
//!   | cargo run --release --example claim_cost -- summary
//! ```
//!
//! `bare` settles claims without a stored answer. `answers` stores an answer of 1 KiB with each
//! claim and stops at 300,000 claims, which keeps the process under 2 GiB.

mod cost_summary;

use std::time::{Duration, Instant};

use cost_summary::{print_row, resident_bytes, summarize};
use curranthollow::claim::store::{ClaimLimits, ClaimStore};
use curranthollow::claim::{
    COMMAND_VERSION, ClaimAction, ClaimCommand, ClaimKey, ClaimOutcome, HolderSession, OpenClaim,
    OpenOutcome, SettleClaim, SettledAs, StoredAnswer,
};
use serde_bytes::ByteBuf;

/// Numbers of claims at which the store is measured.
const BARE_SIZES: [usize; 4] = [1_000, 10_000, 100_000, 1_000_000];
const ANSWER_SIZES: [usize; 4] = [1_000, 10_000, 100_000, 300_000];
const ANSWER_BYTES: usize = 1_024;

/// Commands that are prepared at a time, outside the measured time.
const COMMANDS_PER_CHUNK: usize = 1_000;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("bare") => measure(&BARE_SIZES, 0),
        Some("answers") => measure(&ANSWER_SIZES, ANSWER_BYTES),
        Some("summary") => summarize(),
        _ => eprintln!("usage: claim_cost bare|answers|summary"),
    }
}

fn claim_key(index: usize) -> ClaimKey {
    let service = format!("billing-{}", index % 100).into();
    // The key has the length of a UUID in text form.
    ClaimKey { team: "lakeshore".into(), service, key: format!("{index:036}").into() }
}

fn holder_session(index: usize) -> HolderSession {
    HolderSession { holder: format!("entry-{}", index % 13).into(), session: 1 }
}

fn command(action: ClaimAction) -> ClaimCommand {
    ClaimCommand { version: COMMAND_VERSION, now_ms: 1, action }
}

fn open_command(index: usize) -> ClaimCommand {
    command(ClaimAction::Open(OpenClaim {
        key: claim_key(index),
        digest: [index as u8; 32],
        holder: holder_session(index),
        attempt: index as u64,
        retention_ms: 86_400_000,
        capacity: 1_000_000,
    }))
}

fn settle_command(index: usize, number: u64, answer_bytes: usize) -> ClaimCommand {
    let body = ByteBuf::from(vec![7; answer_bytes]);
    let answer = StoredAnswer { status: 200, head: ByteBuf::new(), body };
    let outcome = SettledAs::Done((answer_bytes > 0).then_some(answer));
    let (key, holder) = (claim_key(index), holder_session(index));
    command(ClaimAction::Settle(SettleClaim { key, number, holder, outcome }))
}

fn measure(sizes: &[usize], answer_bytes: usize) {
    let label = |metric: &str| format!("{metric}_answer_{answer_bytes}");
    let no_limit = u64::MAX / 4;
    let mut store = ClaimStore::new(ClaimLimits {
        record_bytes: no_limit,
        answer_bytes: no_limit,
        service_answer_bytes: no_limit,
        answer_limit: 64 << 10,
    });
    let resident_before = resident_bytes("self");
    let mut claim_count = 0;
    for &size in sizes {
        let added_count = size - claim_count;
        let (mut open_time, mut settle_time) = (Duration::ZERO, Duration::ZERO);
        while claim_count < size {
            let end = size.min(claim_count + COMMANDS_PER_CHUNK);
            let open_commands: Vec<_> = (claim_count..end).map(open_command).collect();
            let mut claim_numbers = Vec::with_capacity(COMMANDS_PER_CHUNK);
            let start = Instant::now();
            for command in open_commands {
                claim_numbers.push(granted_number(&store.apply(command)));
            }
            open_time += start.elapsed();
            let opened_claims = (claim_count..end).zip(claim_numbers);
            let settle_commands: Vec<_> = opened_claims
                .map(|(index, claim_number)| settle_command(index, claim_number, answer_bytes))
                .collect();
            let start = Instant::now();
            for command in settle_commands {
                store.apply(command);
            }
            settle_time += start.elapsed();
            claim_count = end;
        }
        let resident_growth = resident_bytes("self") - resident_before;
        print_row(&label("open_ns"), size, open_time.as_nanos() as f64 / added_count as f64);
        print_row(&label("settle_ns"), size, settle_time.as_nanos() as f64 / added_count as f64);
        print_row(&label("resident_bytes"), size, resident_growth);
        print_row(&label("resident_bytes_per_claim"), size, resident_growth / size as f64);
        measure_snapshot(&store, size, &label);
    }
}

fn granted_number(outcome: &ClaimOutcome) -> u64 {
    let ClaimOutcome::Open(OpenOutcome::Granted { number }) = outcome else {
        panic!("a claim with a new key is granted while the store has room");
    };
    *number
}

fn measure_snapshot(store: &ClaimStore, size: usize, label: &dyn Fn(&str) -> String) {
    let mut snapshot = Vec::new();
    let start = Instant::now();
    store.snapshot(&mut snapshot).expect("writing to a vector succeeds");
    print_row(&label("snapshot_ms"), size, start.elapsed().as_secs_f64() * 1e3);
    print_row(&label("snapshot_bytes_per_claim"), size, snapshot.len() as f64 / size as f64);
    let start = Instant::now();
    let restored = ClaimStore::restore(&snapshot[..]).expect("the snapshot is complete");
    print_row(&label("restore_ms"), size, start.elapsed().as_secs_f64() * 1e3);
    assert!(restored == *store, "the restored store differs");
}

//! Measures the claim store: memory per claim, time per command, snapshot and restore.
//!
//! ```sh
//! for run in 1 2 3; do cargo run --release --example claim_cost -- bare; done \
//!   | cargo run --release --example claim_cost -- summary
//! ```
//!
//! `bare` settles without a stored answer; `answers` stores 1 KiB with each claim and stops at
//! 300,000 claims, which keeps the process under 2 GiB.

mod cost_summary;

use std::time::{Duration, Instant};

use cost_summary::{print_row, resident_bytes, summarize};
use curranthollow::claim::store::{ClaimLimits, ClaimStore};
use curranthollow::claim::{
    COMMAND_VERSION, ClaimAction, ClaimCommand, ClaimKey, ClaimOutcome, HolderSession, OpenClaim,
    OpenOutcome, SettleClaim, SettledAs, StoredAnswer,
};
use serde_bytes::ByteBuf;

const BARE_SIZES: [usize; 4] = [1_000, 10_000, 100_000, 1_000_000];
const ANSWER_SIZES: [usize; 4] = [1_000, 10_000, 100_000, 300_000];
const ANSWER_BYTES: usize = 1_024;

/// Commands that are prepared outside the measured time.
const CHUNK: usize = 1_000;

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
    // As long as a UUID in text form.
    ClaimKey { team: "lakeshore".into(), service, key: format!("{index:036}").into() }
}

fn holder(index: usize) -> HolderSession {
    HolderSession { holder: format!("entry-{}", index % 13).into(), session: 1 }
}

fn command(action: ClaimAction) -> ClaimCommand {
    ClaimCommand { version: COMMAND_VERSION, now_ms: 1, action }
}

fn open_command(index: usize) -> ClaimCommand {
    command(ClaimAction::Open(OpenClaim {
        key: claim_key(index),
        digest: [index as u8; 32],
        holder: holder(index),
        attempt: index as u64,
        retention_ms: 86_400_000,
        capacity: 1_000_000,
    }))
}

fn settle_command(index: usize, number: u64, answer_bytes: usize) -> ClaimCommand {
    let body = ByteBuf::from(vec![7; answer_bytes]);
    let answer = StoredAnswer { status: 200, head: ByteBuf::new(), body };
    let outcome = SettledAs::Done((answer_bytes > 0).then_some(answer));
    let (key, holder) = (claim_key(index), holder(index));
    command(ClaimAction::Settle(SettleClaim { key, number, holder, outcome }))
}

fn measure(sizes: &[usize], answer_bytes: usize) {
    let label = |metric: &str| format!("{metric}_answer_{answer_bytes}");
    let unlimited = u64::MAX / 4;
    let mut store = ClaimStore::new(ClaimLimits {
        record_bytes: unlimited,
        answer_bytes: unlimited,
        service_answer_bytes: unlimited,
        answer_limit: 64 << 10,
    });
    let base = resident_bytes("self");
    let mut next = 0;
    for &size in sizes {
        let added = size - next;
        let (mut open_time, mut settle_time) = (Duration::ZERO, Duration::ZERO);
        while next < size {
            let end = size.min(next + CHUNK);
            let opens: Vec<_> = (next..end).map(open_command).collect();
            let mut numbers = Vec::with_capacity(CHUNK);
            let start = Instant::now();
            for open in opens {
                numbers.push(granted_number(&store.apply(open)));
            }
            open_time += start.elapsed();
            let indexes = (next..end).zip(numbers);
            let settles: Vec<_> = indexes
                .map(|(index, number)| settle_command(index, number, answer_bytes))
                .collect();
            let start = Instant::now();
            for settle in settles {
                store.apply(settle);
            }
            settle_time += start.elapsed();
            next = end;
        }
        let bytes = resident_bytes("self") - base;
        print_row(&label("open_ns"), size, open_time.as_nanos() as f64 / added as f64);
        print_row(&label("settle_ns"), size, settle_time.as_nanos() as f64 / added as f64);
        print_row(&label("resident_bytes"), size, bytes);
        print_row(&label("resident_bytes_per_claim"), size, bytes / size as f64);
        measure_snapshot(&store, size, &label);
    }
}

fn granted_number(outcome: &ClaimOutcome) -> u64 {
    let ClaimOutcome::Open(OpenOutcome::Granted { number }) = outcome else {
        panic!("the store has room and the key is new");
    };
    *number
}

fn measure_snapshot(store: &ClaimStore, size: usize, label: &dyn Fn(&str) -> String) {
    let mut bytes = Vec::new();
    let start = Instant::now();
    store.snapshot(&mut bytes).expect("a vector takes the snapshot");
    print_row(&label("snapshot_ms"), size, start.elapsed().as_secs_f64() * 1e3);
    print_row(&label("snapshot_bytes_per_claim"), size, bytes.len() as f64 / size as f64);
    let start = Instant::now();
    let restored = ClaimStore::restore(&bytes[..]).expect("the snapshot is complete");
    print_row(&label("restore_ms"), size, start.elapsed().as_secs_f64() * 1e3);
    assert!(restored == *store, "the restored store differs");
}

//! Measures the server directory: memory per server, time and relay bytes per heartbeat.
//!
//! ```sh
//! for run in 1 2 3; do cargo run --release --example directory_cost -- run; done \
//!   | cargo run --release --example directory_cost -- summary
//! ```

mod cost_summary;

use std::time::{Duration, Instant};

use cost_summary::{print_row, resident_bytes, summarize};
use curranthollow::directory::{
    AnnouncedState, DirectoryAction, DirectoryEvent, DirectoryLimits, RelayedAnnouncement,
    ServerAnnouncement, ServerDirectory,
};

const SIZES: [usize; 4] = [230, 2_300, 11_500, 23_000];

/// Servers of one service: 23,000 in 4,200 services.
const SERVERS_PER_SERVICE: usize = 6;

/// Heartbeats of each server in the measured time.
const ROUNDS: u64 = 20;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("run") => measure(),
        Some("summary") => summarize(),
        _ => eprintln!("usage: directory_cost run|summary"),
    }
}

fn heartbeat(index: usize, sequence: u64) -> ServerAnnouncement {
    let service = index / SERVERS_PER_SERVICE;
    ServerAnnouncement {
        team: format!("team-{}", service % 50).into(),
        service: format!("service-{service}").into(),
        server: format!("server-{index}").into(),
        address: ([10, 0, (index >> 8) as u8, index as u8], 8_080).into(),
        availability_zone: format!("zone-{}", index % 23).into(),
        region: format!("region-{}", index % 9).into(),
        slots: 6,
        connections: 220,
        state: AnnouncedState::Ready,
        load: (sequence * 37 % 1_000) as u32,
        incarnation: 1_700_000_000_000,
        sequence,
    }
}

fn measure() {
    let mut directory = ServerDirectory::new(DirectoryLimits::default());
    let base = resident_bytes("self");
    let mut now = Instant::now();
    let mut known = 0;
    let mut sequence = 0;
    for size in SIZES {
        sequence += 1;
        for index in known..size {
            directory.handle(now, DirectoryEvent::Announced(heartbeat(index, sequence)));
        }
        known = size;
        now += Duration::from_millis(50);
        directory.handle(now, DirectoryEvent::Tick);
        let bytes = resident_bytes("self") - base;
        print_row("resident_bytes", size, bytes);
        print_row("resident_bytes_per_server", size, bytes / size as f64);
        let batch = measure_heartbeats(&mut directory, &mut now, size, &mut sequence);
        measure_relayed(&batch, now, size);
    }
}

/// Sends `ROUNDS` heartbeats of each server and returns what the last round relays.
fn measure_heartbeats(
    directory: &mut ServerDirectory,
    now: &mut Instant,
    size: usize,
    sequence: &mut u64,
) -> Vec<RelayedAnnouncement> {
    let (mut announce_time, mut tick_time) = (Duration::ZERO, Duration::ZERO);
    let mut relayed = Vec::new();
    let relayed_before = directory.counters().relayed_out;
    for _ in 0..ROUNDS {
        *sequence += 1;
        *now += Duration::from_millis(950);
        let events: Vec<_> =
            (0..size).map(|index| DirectoryEvent::Announced(heartbeat(index, *sequence))).collect();
        let start = Instant::now();
        for event in events {
            directory.handle(*now, event);
        }
        announce_time += start.elapsed();
        *now += Duration::from_millis(50);
        let start = Instant::now();
        let actions = directory.handle(*now, DirectoryEvent::Tick);
        tick_time += start.elapsed();
        relayed.clear();
        for action in actions {
            if let DirectoryAction::Relay(batch) = action {
                relayed.extend(batch);
            }
        }
    }
    let heartbeats = (size as u64 * ROUNDS) as f64;
    let count = directory.counters().relayed_out - relayed_before;
    print_row("relayed_per_heartbeat", size, count as f64 / heartbeats);
    print_row("announce_ns", size, announce_time.as_nanos() as f64 / heartbeats);
    print_row("tick_and_relay_ns_per_heartbeat", size, tick_time.as_nanos() as f64 / heartbeats);
    let start = Instant::now();
    directory.handle(*now, DirectoryEvent::Tick);
    print_row("idle_tick_us", size, start.elapsed().as_secs_f64() * 1e6);
    relayed
}

/// Encodes the batch, and delivers two rounds of it to another directory.
fn measure_relayed(batch: &[RelayedAnnouncement], now: Instant, size: usize) {
    let mut bytes = Vec::new();
    ciborium::into_writer(&batch, &mut bytes).expect("a vector takes the batch");
    print_row("relay_bytes_per_heartbeat", size, bytes.len() as f64 / size as f64);
    let start = Instant::now();
    let decoded: Vec<RelayedAnnouncement> =
        ciborium::from_reader(&bytes[..]).expect("the batch is complete");
    let time = start.elapsed();
    print_row("relay_decode_ns", size, time.as_nanos() as f64 / size as f64);
    assert_eq!(decoded, batch);
    let mut peer = ServerDirectory::new(DirectoryLimits::default());
    peer.handle(now, DirectoryEvent::Relayed(batch.to_vec()));
    let mut next = batch.to_vec();
    for item in &mut next {
        let mut announcement = ServerAnnouncement::clone(&item.announcement);
        announcement.sequence += 1;
        announcement.load += 1;
        item.announcement = announcement.into();
    }
    let start = Instant::now();
    peer.handle(now, DirectoryEvent::Relayed(next));
    let time = start.elapsed();
    print_row("relayed_in_ns", size, time.as_nanos() as f64 / size as f64);
    assert_eq!(peer.root_digest() == 0, size == 0);
}

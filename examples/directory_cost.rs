//! Measures the server directory: memory per server, and time and relayed bytes per heartbeat.
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

/// Numbers of servers at which the directory is measured.
const SIZES: [usize; 4] = [230, 2_300, 11_500, 23_000];

/// Servers per service, which is about the ratio of 23,000 servers to 4,200 services.
const SERVERS_PER_SERVICE: usize = 6;

/// Heartbeats that each server sends in the measured time.
const HEARTBEATS_PER_SERVER: u64 = 20;

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
    let resident_before = resident_bytes("self");
    let mut now = Instant::now();
    let mut server_count = 0;
    let mut sequence = 0;
    for size in SIZES {
        sequence += 1;
        for index in server_count..size {
            directory.handle(now, DirectoryEvent::Announced(heartbeat(index, sequence)));
        }
        server_count = size;
        now += Duration::from_millis(50);
        directory.handle(now, DirectoryEvent::Tick);
        let resident_growth = resident_bytes("self") - resident_before;
        print_row("resident_bytes", size, resident_growth);
        print_row("resident_bytes_per_server", size, resident_growth / size as f64);
        let relayed = measure_heartbeats(&mut directory, &mut now, size, &mut sequence);
        measure_relayed(&relayed, now, size);
    }
}

/// Sends `HEARTBEATS_PER_SERVER` heartbeats of each server and returns the full announcements
/// that the directory relays after the last of them.
fn measure_heartbeats(
    directory: &mut ServerDirectory,
    now: &mut Instant,
    size: usize,
    sequence: &mut u64,
) -> Vec<RelayedAnnouncement> {
    let (mut announce_time, mut tick_time) = (Duration::ZERO, Duration::ZERO);
    let mut relayed = Vec::new();
    let relayed_before = directory.counters().relayed_out;
    for _ in 0..HEARTBEATS_PER_SERVER {
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
    let heartbeat_count = (size as u64 * HEARTBEATS_PER_SERVER) as f64;
    let relayed_count = directory.counters().relayed_out - relayed_before;
    print_row("relayed_per_heartbeat", size, relayed_count as f64 / heartbeat_count);
    print_row("announce_ns", size, announce_time.as_nanos() as f64 / heartbeat_count);
    print_row(
        "tick_and_relay_ns_per_heartbeat",
        size,
        tick_time.as_nanos() as f64 / heartbeat_count,
    );
    let start = Instant::now();
    directory.handle(*now, DirectoryEvent::Tick);
    print_row("idle_tick_us", size, start.elapsed().as_secs_f64() * 1e6);
    relayed
}

/// Measures encoding and decoding of a batch, and its delivery to a directory that already knows
/// the servers.
fn measure_relayed(batch: &[RelayedAnnouncement], now: Instant, size: usize) {
    let mut encoded = Vec::new();
    ciborium::into_writer(&batch, &mut encoded).expect("writing to a vector succeeds");
    print_row("relay_bytes_per_heartbeat", size, encoded.len() as f64 / size as f64);
    let start = Instant::now();
    let decoded: Vec<RelayedAnnouncement> =
        ciborium::from_reader(&encoded[..]).expect("the encoded batch is complete");
    let decode_time = start.elapsed();
    print_row("relay_decode_ns", size, decode_time.as_nanos() as f64 / size as f64);
    assert_eq!(decoded, batch);
    let mut peer_directory = ServerDirectory::new(DirectoryLimits::default());
    peer_directory.handle(now, DirectoryEvent::Relayed(batch.to_vec()));
    let mut next_batch = batch.to_vec();
    for relayed in &mut next_batch {
        let mut announcement = ServerAnnouncement::clone(&relayed.announcement);
        announcement.sequence += 1;
        announcement.load += 1;
        relayed.announcement = announcement.into();
    }
    let start = Instant::now();
    peer_directory.handle(now, DirectoryEvent::Relayed(next_batch));
    let delivery_time = start.elapsed();
    print_row("relayed_in_ns", size, delivery_time.as_nanos() as f64 / size as f64);
    assert_eq!(peer_directory.root_digest() == 0, size == 0);
}

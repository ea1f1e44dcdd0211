//! Tests of heartbeat relays between processes: compact heartbeats, requests and broken links.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use curranthollow::directory::{
    AnnouncedState, CompactHeartbeat, DirectoryAction, DirectoryEvent, DirectoryLimits,
    DirectoryRequest, LifeState, MAX_REQUESTED_DIGESTS, PEER_REQUEST_AFTER, RelayedAnnouncement,
    ServerAnnouncement, ServerDirectory, ServiceKey,
};

use AnnouncedState as A;

/// Interval between two ticks of the simulated processes.
const STEP: Duration = Duration::from_millis(50);

fn announcement(server: usize, sequence: u64, state: A) -> ServerAnnouncement {
    ServerAnnouncement {
        team: "lakeshore".into(),
        service: "history".into(),
        server: format!("server-{server}").into(),
        address: ([127, 0, 0, 1], 4000 + server as u16).into(),
        availability_zone: "zone-a".into(),
        region: "north".into(),
        slots: 6,
        connections: 220,
        state,
        load: (sequence * 7 % 1000) as u32,
        incarnation: 1,
        sequence,
    }
}

fn service() -> ServiceKey {
    ServiceKey { team: "lakeshore".into(), service: "history".into() }
}

/// Simulated processes whose messages arrive at the next step, except over broken links.
struct Mesh {
    now: Instant,
    nodes: Vec<ServerDirectory>,
    broken_links: BTreeSet<(usize, usize)>,
    /// Probability in percent that a relayed batch is lost.
    loss_percent: u32,
    /// Probability in percent that a relayed batch is delayed by a step.
    delay_percent: u32,
    random: fastrand::Rng,
    /// Messages to be delivered at the next step, with their sender and receiver.
    queue: Vec<(usize, usize, MeshMessage)>,
    announcement_items: usize,
    heartbeat_items: usize,
}

#[derive(Clone)]
enum MeshMessage {
    Announcements(Vec<RelayedAnnouncement>),
    Heartbeats(Vec<u8>),
    Request(DirectoryRequest),
    Answer(Vec<RelayedAnnouncement>),
}

impl Mesh {
    fn new(count: usize, seed: u64) -> Self {
        Self {
            now: Instant::now(),
            nodes: (0..count).map(|_| ServerDirectory::new(DirectoryLimits::default())).collect(),
            broken_links: BTreeSet::new(),
            loss_percent: 0,
            delay_percent: 0,
            random: fastrand::Rng::with_seed(seed),
            queue: Vec::new(),
            announcement_items: 0,
            heartbeat_items: 0,
        }
    }

    fn announce(&mut self, node: usize, item: ServerAnnouncement) {
        let actions = self.nodes[node].handle(self.now, DirectoryEvent::Announced(item));
        self.execute(node, actions);
    }

    fn step(&mut self) {
        self.now += STEP;
        for (from, to, message) in std::mem::take(&mut self.queue) {
            if self.broken_links.contains(&(from.min(to), from.max(to))) {
                continue;
            }
            let relayed =
                matches!(message, MeshMessage::Announcements(_) | MeshMessage::Heartbeats(_));
            if relayed && self.random.u32(..100) < self.delay_percent {
                self.queue.push((from, to, message));
                continue;
            }
            if relayed && self.random.u32(..100) < self.loss_percent {
                continue;
            }
            self.deliver(from, to, message);
        }
        for node in 0..self.nodes.len() {
            let actions = self.nodes[node].handle(self.now, DirectoryEvent::Tick);
            self.execute(node, actions);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: MeshMessage) {
        let event = match message {
            MeshMessage::Announcements(batch) => DirectoryEvent::Relayed(batch),
            MeshMessage::Answer(batch) => DirectoryEvent::Answered(batch),
            MeshMessage::Heartbeats(packed) => DirectoryEvent::Heartbeats {
                from: from.to_string().into(),
                heartbeats: CompactHeartbeat::unpack(&packed).unwrap(),
            },
            MeshMessage::Request(request) => {
                let answer = self.nodes[to].answer(self.now, &request);
                return self.queue.push((to, from, MeshMessage::Answer(answer)));
            }
        };
        let actions = self.nodes[to].handle(self.now, event);
        self.execute(to, actions);
    }

    fn execute(&mut self, node: usize, actions: Vec<DirectoryAction>) {
        for action in actions {
            match action {
                DirectoryAction::Relay(batch) => {
                    self.announcement_items += batch.len();
                    self.send_all(node, &MeshMessage::Announcements(batch));
                }
                DirectoryAction::RelayHeartbeats(heartbeats) => {
                    self.heartbeat_items += heartbeats.len();
                    self.send_all(
                        node,
                        &MeshMessage::Heartbeats(CompactHeartbeat::pack(&heartbeats)),
                    );
                }
                DirectoryAction::SendRequest { peer: Some(peer), request } => {
                    let peer = peer.parse().unwrap();
                    self.queue.push((node, peer, MeshMessage::Request(request)));
                }
                DirectoryAction::SendRequest { peer: None, request } => {
                    let start = self.random.usize(1..self.nodes.len());
                    for offset in start..start + 2 {
                        let peer = (node + 1 + offset % (self.nodes.len() - 1)) % self.nodes.len();
                        self.queue.push((node, peer, MeshMessage::Request(request.clone())));
                    }
                }
                _ => (),
            }
        }
    }

    fn send_all(&mut self, from: usize, message: &MeshMessage) {
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            self.queue.push((from, to, message.clone()));
        }
    }

    /// Runs the mesh with one heartbeat per server and second, sent to the entry given by `target`.
    fn run(
        &mut self,
        servers: usize,
        seconds: std::ops::Range<u64>,
        target: impl Fn(usize, u64) -> usize,
    ) {
        for second in seconds {
            for step in 0..20 {
                for server in (0..servers).filter(|server| server % 20 == step) {
                    let item = announcement(server, second, A::Ready);
                    self.announce(target(server, second), item);
                }
                self.step();
            }
        }
    }

    fn suspected_count(&self) -> u64 {
        self.nodes.iter().map(|node| node.counters().suspected).sum()
    }

    fn life_states(&self, node: usize) -> Vec<LifeState> {
        self.nodes[node].servers(&service()).map(|record| record.life).collect()
    }
}

/// Guards against a relay of every heartbeat by the entry that receives it, and against suspicion
/// of live servers at entries that receive no heartbeats themselves.
#[test]
fn every_other_heartbeat_is_relayed() {
    let mut mesh = Mesh::new(13, 1);
    mesh.run(28, 1..61, |server, second| (server + second as usize) % 12);
    assert_eq!(
        mesh.announcement_items, 28,
        "only the first announcement of a server should be relayed in full"
    );
    assert!(mesh.heartbeat_items <= 28 * 30, "{} heartbeats", mesh.heartbeat_items);
    assert!(mesh.heartbeat_items >= 28 * 28, "{} heartbeats", mesh.heartbeat_items);
    assert_eq!(mesh.suspected_count(), 0);
    assert_eq!(mesh.life_states(12), vec![LifeState::Ready; 28]);
}

/// Guards against suspicion of live servers because batches are lost or reordered.
#[test]
fn lost_and_reordered_batches_make_no_server_suspect() {
    for seed in 0..5 {
        let mut mesh = Mesh::new(8, seed);
        mesh.run(28, 1..4, |server, second| (server + second as usize) % 8);
        (mesh.loss_percent, mesh.delay_percent) = (10, 30);
        mesh.run(28, 4..64, |server, second| (server + second as usize) % 8);
        assert_eq!(mesh.suspected_count(), 0, "seed {seed}");
    }
}

/// Guards against a broken link between two entries that hides servers from one of them.
#[test]
fn broken_link_makes_no_server_suspect() {
    let mut mesh = Mesh::new(4, 2);
    mesh.run(28, 1..4, |_, _| 0);
    mesh.broken_links.insert((0, 1));
    mesh.run(28, 4..64, |_, _| 0);
    // Entry 1 learns of heartbeats only from the answers of entries 2 and 3 to its requests.
    assert_eq!(mesh.suspected_count(), 0);
    assert_eq!(mesh.life_states(1), vec![LifeState::Ready; 28]);
}

/// Guards against an entry that has no servers after it was isolated for a minute, and against
/// suspicions at the other entries when it returns.
#[test]
fn isolated_entry_recovers() {
    let mut mesh = Mesh::new(4, 3);
    mesh.run(28, 1..4, |_, _| 0);
    mesh.broken_links.extend([(0, 1), (1, 2), (1, 3)]);
    mesh.run(28, 4..64, |_, _| 0);
    assert_eq!(
        mesh.life_states(1),
        vec![LifeState::Suspect; 28],
        "mass suspicion should keep the servers"
    );
    mesh.broken_links.clear();
    mesh.run(28, 64..67, |_, _| 0);
    for node in 0..4 {
        assert_eq!(mesh.life_states(node), vec![LifeState::Ready; 28], "entry {node}");
    }
    assert_eq!(mesh.suspected_count(), 28, "only the isolated entry should suspect servers");
}

/// Guards against a new entry that ignores compact heartbeats of unknown servers.
#[test]
fn new_entry_requests_unknown_servers() {
    let mut mesh = Mesh::new(4, 4);
    mesh.run(28, 1..4, |_, _| 0);
    mesh.nodes[2] = ServerDirectory::new(DirectoryLimits::default());
    let announcements_before = mesh.announcement_items;
    mesh.run(28, 4..7, |_, _| 0);
    assert_eq!(mesh.life_states(2), vec![LifeState::Ready; 28]);
    assert_eq!(
        mesh.announcement_items, announcements_before,
        "only the new entry should get the answer"
    );
    assert_eq!(mesh.nodes[2].root_digest(), mesh.nodes[0].root_digest());
}

/// Guards against a state change that is delayed like a heartbeat, and against an old heartbeat
/// that reverts it.
#[test]
fn changes_are_relayed_at_once() {
    let mut mesh = Mesh::new(3, 5);
    mesh.run(1, 1..3, |_, _| 0);
    let outdated = CompactHeartbeat {
        digest: announcement(0, 2, A::Ready).content_digest(),
        sequence: 9,
        load: 0,
        age_ms: 0,
    };
    mesh.announce(1, announcement(0, 3, A::Draining));
    for _ in 0..3 {
        mesh.step();
    }
    for node in 0..3 {
        assert_eq!(mesh.life_states(node), [LifeState::Draining], "entry {node}");
    }
    mesh.deliver(0, 2, MeshMessage::Heartbeats(CompactHeartbeat::pack(&[outdated])));
    assert_eq!(mesh.life_states(2), [LifeState::Draining]);
}

/// Guards against a server or process whose flood of messages multiplies on the links or fills the
/// memory.
#[test]
fn flooding_senders_are_limited() {
    let mut mesh = Mesh::new(3, 6);
    for sequence in 1..2_001 {
        mesh.announce(sequence as usize % 3, announcement(0, sequence, A::Ready));
        if sequence % 50 == 0 {
            mesh.step();
        }
    }
    // Of 2,000 announcements within 2 s, each entry relays at most one in full in the first batch,
    // and compact heartbeats in at most two more batches.
    assert!(mesh.announcement_items <= 3, "{} announcements", mesh.announcement_items);
    assert!(mesh.heartbeat_items <= 6, "{} heartbeats", mesh.heartbeat_items);
    let mut node = ServerDirectory::new(DirectoryLimits::default());
    let mut requested = 0;
    for round in 0..10 {
        let heartbeats = (0..1_000_u64)
            .map(|index| CompactHeartbeat {
                digest: round * 1_000 + index,
                sequence: u64::MAX,
                load: 0,
                age_ms: 0,
            })
            .collect();
        let from = "entry-9".into();
        node.handle(mesh.now, DirectoryEvent::Heartbeats { from, heartbeats });
        for action in node.handle(mesh.now, DirectoryEvent::Tick) {
            let DirectoryAction::SendRequest { request, .. } = action else {
                panic!("unexpected {action:?}");
            };
            requested += request.unknown.len();
        }
    }
    assert_eq!(requested, MAX_REQUESTED_DIGESTS);
    assert_eq!(node.server_count(), 0);
}

/// Guards against an answer that reports a silent server as alive by an old heartbeat.
#[test]
fn silent_servers_are_not_reported_alive() {
    let mut mesh = Mesh::new(3, 7);
    mesh.run(4, 1..4, |server, _| server % 3);
    let digest = announcement(0, 3, A::Ready).content_digest();
    let request = DirectoryRequest { unknown: vec![], late: vec![digest] };
    assert_eq!(mesh.nodes[0].answer(mesh.now, &request).len(), 1);
    assert!(mesh.nodes[0].answer(mesh.now + PEER_REQUEST_AFTER, &request).is_empty());
}

/// Guards against heartbeats that change in the encoding, and against panics on malformed batches.
#[test]
fn packed_heartbeats_round_trip() {
    let heartbeat = |sequence, load, age_ms| CompactHeartbeat { digest: 7, sequence, load, age_ms };
    let heartbeats = [
        heartbeat(0, 0, 0),
        heartbeat(127, 999, 1),
        heartbeat(1 << 40, 5_000, 9_000),
        heartbeat(u64::MAX, 4, 16),
    ];
    let packed = CompactHeartbeat::pack(&heartbeats);
    let expected = [
        heartbeat(0, 0, 0),
        heartbeat(127, 996, 16),
        heartbeat(1 << 40, 1_020, 4_080),
        heartbeat(u64::MAX, 4, 16),
    ];
    assert_eq!(CompactHeartbeat::unpack(&packed), Ok(expected.to_vec()));
    assert_eq!(CompactHeartbeat::pack(&heartbeats[..1]).len(), 11);
    assert!(CompactHeartbeat::unpack(&packed[..packed.len() - 1]).is_err());
    assert!(CompactHeartbeat::unpack(&vec![0; 11 * 1_025]).is_err());
    let mut random = fastrand::Rng::with_seed(8);
    for _ in 0..10_000 {
        let bytes: Vec<u8> = (0..random.usize(..60)).map(|_| random.u8(..)).collect();
        let _ = CompactHeartbeat::unpack(&bytes);
    }
}

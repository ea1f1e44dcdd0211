//! Relays of heartbeats between processes: compact items, requests and cuts.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use curranthollow::directory::{
    ASK_AFTER, AnnouncedState, CompactHeartbeat, DirectoryAction, DirectoryEvent, DirectoryLimits,
    DirectoryRequest, LifeState, REQUEST_LIMIT, RelayedAnnouncement, ServerAnnouncement,
    ServerDirectory, ServiceKey,
};

use AnnouncedState as A;

/// Time between two ticks of the simulated processes.
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

/// Processes whose messages arrive at the next step, except across a cut.
struct Mesh {
    now: Instant,
    nodes: Vec<ServerDirectory>,
    cut: BTreeSet<(usize, usize)>,
    /// Probability in percent that a relayed batch is lost or arrives a step late.
    loss: u32,
    late: u32,
    random: fastrand::Rng,
    queue: Vec<(usize, usize, MeshMessage)>,
    whole_items: usize,
    beat_items: usize,
}

#[derive(Clone)]
enum MeshMessage {
    Whole(Vec<RelayedAnnouncement>),
    Beats(Vec<u8>),
    Request(DirectoryRequest),
    Answer(Vec<RelayedAnnouncement>),
}

impl Mesh {
    fn new(count: usize, seed: u64) -> Self {
        Self {
            now: Instant::now(),
            nodes: (0..count).map(|_| ServerDirectory::new(DirectoryLimits::default())).collect(),
            cut: BTreeSet::new(),
            loss: 0,
            late: 0,
            random: fastrand::Rng::with_seed(seed),
            queue: Vec::new(),
            whole_items: 0,
            beat_items: 0,
        }
    }

    fn announce(&mut self, node: usize, item: ServerAnnouncement) {
        let actions = self.nodes[node].handle(self.now, DirectoryEvent::Announced(item));
        self.carry_out(node, actions);
    }

    fn step(&mut self) {
        self.now += STEP;
        for (from, to, message) in std::mem::take(&mut self.queue) {
            if self.cut.contains(&(from.min(to), from.max(to))) {
                continue;
            }
            let relayed = matches!(message, MeshMessage::Whole(_) | MeshMessage::Beats(_));
            if relayed && self.random.u32(..100) < self.late {
                self.queue.push((from, to, message));
                continue;
            }
            if relayed && self.random.u32(..100) < self.loss {
                continue;
            }
            self.deliver(from, to, message);
        }
        for node in 0..self.nodes.len() {
            let actions = self.nodes[node].handle(self.now, DirectoryEvent::Tick);
            self.carry_out(node, actions);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: MeshMessage) {
        let event = match message {
            MeshMessage::Whole(batch) => DirectoryEvent::Relayed(batch),
            MeshMessage::Answer(batch) => DirectoryEvent::Answered(batch),
            MeshMessage::Beats(packed) => DirectoryEvent::Heartbeats {
                from: from.to_string().into(),
                beats: CompactHeartbeat::unpack(&packed).unwrap(),
            },
            MeshMessage::Request(request) => {
                let answer = self.nodes[to].answer(self.now, &request);
                return self.queue.push((to, from, MeshMessage::Answer(answer)));
            }
        };
        let actions = self.nodes[to].handle(self.now, event);
        self.carry_out(to, actions);
    }

    fn carry_out(&mut self, node: usize, actions: Vec<DirectoryAction>) {
        for action in actions {
            match action {
                DirectoryAction::Relay(batch) => {
                    self.whole_items += batch.len();
                    self.send_all(node, &MeshMessage::Whole(batch));
                }
                DirectoryAction::RelayBeats(beats) => {
                    self.beat_items += beats.len();
                    self.send_all(node, &MeshMessage::Beats(CompactHeartbeat::pack(&beats)));
                }
                DirectoryAction::Ask { peer: Some(peer), request } => {
                    let peer = peer.parse().unwrap();
                    self.queue.push((node, peer, MeshMessage::Request(request)));
                }
                DirectoryAction::Ask { peer: None, request } => {
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

    /// Runs with one heartbeat per server and second, each at the entry that `target` chooses.
    fn run(
        &mut self,
        servers: usize,
        seconds: std::ops::Range<u64>,
        target: impl Fn(usize, u64) -> usize,
    ) {
        for second in seconds {
            for part in 0..20 {
                for server in (0..servers).filter(|server| server % 20 == part) {
                    let item = announcement(server, second, A::Ready);
                    self.announce(target(server, second), item);
                }
                self.step();
            }
        }
    }

    fn suspected(&self) -> u64 {
        self.nodes.iter().map(|node| node.counters().suspected).sum()
    }

    fn lives(&self, node: usize) -> Vec<LifeState> {
        self.nodes[node].servers(&service()).map(|record| record.life).collect()
    }
}

/// Guards against a heartbeat relayed by every entry that hears one, and against suspicion of live
/// servers at entries that hear no server themselves.
#[test]
fn one_beat_in_two_is_relayed() {
    let mut mesh = Mesh::new(13, 1);
    mesh.run(28, 1..61, |server, second| (server + second as usize) % 12);
    assert_eq!(mesh.whole_items, 28, "only the first announcement travels whole");
    assert!(mesh.beat_items <= 28 * 30, "{} items", mesh.beat_items);
    assert!(mesh.beat_items >= 28 * 28, "{} items", mesh.beat_items);
    assert_eq!(mesh.suspected(), 0);
    assert_eq!(mesh.lives(12), vec![LifeState::Ready; 28]);
}

/// Guards against live servers that are suspected because batches are lost or overtake each other.
#[test]
fn lost_and_reordered_batches_make_no_server_suspect() {
    for seed in 0..5 {
        let mut mesh = Mesh::new(8, seed);
        mesh.run(28, 1..4, |server, second| (server + second as usize) % 8);
        (mesh.loss, mesh.late) = (10, 30);
        mesh.run(28, 4..64, |server, second| (server + second as usize) % 8);
        assert_eq!(mesh.suspected(), 0, "seed {seed}");
    }
}

/// Guards against a cut between two entries that hides servers from one of them.
#[test]
fn cut_between_two_entries_makes_no_server_suspect() {
    let mut mesh = Mesh::new(4, 2);
    mesh.run(28, 1..4, |_, _| 0);
    mesh.cut.insert((0, 1));
    mesh.run(28, 4..64, |_, _| 0);
    // Entry 1 hears nothing but what entries 2 and 3 tell when asked.
    assert_eq!(mesh.suspected(), 0);
    assert_eq!(mesh.lives(1), vec![LifeState::Ready; 28]);
}

/// Guards against an entry that stays without servers after it was cut off for a minute, and
/// against its return as a disturbance of the others.
#[test]
fn entry_that_was_cut_off_returns() {
    let mut mesh = Mesh::new(4, 3);
    mesh.run(28, 1..4, |_, _| 0);
    mesh.cut.extend([(0, 1), (1, 2), (1, 3)]);
    mesh.run(28, 4..64, |_, _| 0);
    assert_eq!(mesh.lives(1), vec![LifeState::Suspect; 28], "kept under mass suspicion");
    mesh.cut.clear();
    mesh.run(28, 64..67, |_, _| 0);
    for node in 0..4 {
        assert_eq!(mesh.lives(node), vec![LifeState::Ready; 28], "entry {node}");
    }
    assert_eq!(mesh.suspected(), 28, "only the entry that was cut off suspected servers");
}

/// Guards against a new entry that ignores heartbeats of servers that it does not know.
#[test]
fn new_entry_asks_for_unknown_servers() {
    let mut mesh = Mesh::new(4, 4);
    mesh.run(28, 1..4, |_, _| 0);
    mesh.nodes[2] = ServerDirectory::new(DirectoryLimits::default());
    let whole = mesh.whole_items;
    mesh.run(28, 4..7, |_, _| 0);
    assert_eq!(mesh.lives(2), vec![LifeState::Ready; 28]);
    assert_eq!(mesh.whole_items, whole, "the answer goes to the new entry only");
    assert_eq!(mesh.nodes[2].root_digest(), mesh.nodes[0].root_digest());
}

/// Guards against a change of state or limits that waits like a heartbeat, and against an old
/// heartbeat that undoes it.
#[test]
fn changes_travel_at_once() {
    let mut mesh = Mesh::new(3, 5);
    mesh.run(1, 1..3, |_, _| 0);
    let old = CompactHeartbeat {
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
        assert_eq!(mesh.lives(node), [LifeState::Draining], "entry {node}");
    }
    mesh.deliver(0, 2, MeshMessage::Beats(CompactHeartbeat::pack(&[old])));
    assert_eq!(mesh.lives(2), [LifeState::Draining]);
}

/// Guards against a server, or a process, whose many messages multiply on the links or fill memory.
#[test]
fn hostile_senders_are_bounded() {
    let mut mesh = Mesh::new(3, 6);
    for sequence in 1..2_001 {
        mesh.announce(sequence as usize % 3, announcement(0, sequence, A::Ready));
        if sequence % 50 == 0 {
            mesh.step();
        }
    }
    // 2,000 announcements within 2 s: at most one item per entry within the first interval, and two
    // rounds after it.
    assert!(mesh.whole_items <= 3, "{} whole items", mesh.whole_items);
    assert!(mesh.beat_items <= 6, "{} beats", mesh.beat_items);
    let mut node = ServerDirectory::new(DirectoryLimits::default());
    let mut asked = 0;
    for round in 0..10 {
        let beats = (0..1_000_u64)
            .map(|number| CompactHeartbeat {
                digest: round * 1_000 + number,
                sequence: u64::MAX,
                load: 0,
                age_ms: 0,
            })
            .collect();
        let from = "entry-9".into();
        node.handle(mesh.now, DirectoryEvent::Heartbeats { from, beats });
        for action in node.handle(mesh.now, DirectoryEvent::Tick) {
            let DirectoryAction::Ask { request, .. } = action else {
                panic!("unexpected {action:?}");
            };
            asked += request.unknown.len();
        }
    }
    assert_eq!(asked, REQUEST_LIMIT);
    assert_eq!(node.server_count(), 0);
}

/// Guards against an answer that revives a silent server with an old heartbeat.
#[test]
fn silent_servers_are_not_reported_alive() {
    let mut mesh = Mesh::new(3, 7);
    mesh.run(4, 1..4, |server, _| server % 3);
    let digest = announcement(0, 3, A::Ready).content_digest();
    let request = DirectoryRequest { unknown: vec![], late: vec![digest] };
    assert_eq!(mesh.nodes[0].answer(mesh.now, &request).len(), 1);
    assert!(mesh.nodes[0].answer(mesh.now + ASK_AFTER, &request).is_empty());
}

/// Guards against items that change on the wire, and against panics on damaged batches.
#[test]
fn packed_heartbeats() {
    let beat = |sequence, load, age_ms| CompactHeartbeat { digest: 7, sequence, load, age_ms };
    let beats =
        [beat(0, 0, 0), beat(127, 999, 1), beat(1 << 40, 5_000, 9_000), beat(u64::MAX, 4, 16)];
    let packed = CompactHeartbeat::pack(&beats);
    let expected =
        [beat(0, 0, 0), beat(127, 996, 16), beat(1 << 40, 1_020, 4_080), beat(u64::MAX, 4, 16)];
    assert_eq!(CompactHeartbeat::unpack(&packed), Ok(expected.to_vec()));
    assert_eq!(CompactHeartbeat::pack(&beats[..1]).len(), 11);
    assert!(CompactHeartbeat::unpack(&packed[..packed.len() - 1]).is_err());
    assert!(CompactHeartbeat::unpack(&vec![0; 11 * 1_025]).is_err());
    let mut random = fastrand::Rng::with_seed(8);
    for _ in 0..10_000 {
        let bytes: Vec<u8> = (0..random.usize(..60)).map(|_| random.u8(..)).collect();
        let _ = CompactHeartbeat::unpack(&bytes);
    }
}

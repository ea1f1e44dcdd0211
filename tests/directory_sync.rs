//! Tests of anti-entropy between two directories: its message cost, repairs and limits.

use std::time::{Duration, Instant};

use curranthollow::directory::{
    AnnouncedState, DirectoryEvent, DirectoryLimits, DirectorySync, SYNC_INTERVAL,
    SYNC_ITEMS_PER_SECOND, ServerAnnouncement, ServerDirectory, SyncExchange, SyncReply,
};

fn announcement(service: usize, server: usize, state: AnnouncedState) -> ServerAnnouncement {
    ServerAnnouncement {
        team: "lakeshore".into(),
        service: format!("service-{service}").into(),
        server: format!("server-{server}").into(),
        address: ([127, 0, 0, 1], 4000 + server as u16).into(),
        availability_zone: "zone-a".into(),
        region: "north".into(),
        slots: 6,
        connections: 220,
        state,
        load: 0,
        incarnation: 1,
        sequence: 1 + state as u64,
    }
}

struct Node {
    directory: ServerDirectory,
    exchange: SyncExchange,
}

impl Node {
    fn new(now: Instant) -> Self {
        let directory = ServerDirectory::new(DirectoryLimits::default());
        Self { directory, exchange: SyncExchange::new(now) }
    }

    fn announce(&mut self, now: Instant, item: ServerAnnouncement) {
        self.directory.handle(now, DirectoryEvent::Announced(item));
    }
}

/// Runs one round started by the first node, and returns the numbers of messages and servers sent.
fn run_round(now: Instant, nodes: &mut [Node; 2]) -> (usize, usize) {
    assert!(nodes[0].exchange.start_round(now).is_some());
    let root = DirectorySync::Root(nodes[0].directory.root_digest());
    let mut queue = vec![(1, SyncReply::Sync(root))];
    let (mut messages, mut servers) = (0, 0);
    while let Some((to, message)) = queue.pop() {
        messages += 1;
        let node = &mut nodes[to];
        match message {
            SyncReply::Sync(step) => {
                for reply in node.exchange.handle(now, &node.directory, &step) {
                    queue.push((1 - to, reply));
                }
            }
            SyncReply::Answer(batch) => {
                servers += batch.len();
                node.directory.handle(now, DirectoryEvent::Answered(batch));
            }
        }
    }
    (messages, servers)
}

/// Guards against rounds that send more than the root digest although nothing differs.
#[test]
fn equal_directories_exchange_one_message() {
    let start = Instant::now();
    let mut nodes = [Node::new(start), Node::new(start)];
    for node in &mut nodes {
        for server in 0..200 {
            node.announce(start, announcement(server % 40, server, AnnouncedState::Ready));
        }
    }
    assert!(nodes[0].exchange.start_round(start).is_none());
    assert_eq!(run_round(start + SYNC_INTERVAL, &mut nodes), (1, 0));
    assert!(nodes[0].exchange.start_round(start + SYNC_INTERVAL).is_none());
}

/// Guards against lost changes that are never repaired, and against the transfer of equal
/// announcements.
#[test]
fn lost_changes_are_repaired() {
    let start = Instant::now();
    let mut nodes = [Node::new(start), Node::new(start)];
    for node in &mut nodes {
        for server in 0..200 {
            node.announce(start, announcement(server % 40, server, AnnouncedState::Ready));
        }
    }
    nodes[0].announce(start, announcement(7, 7, AnnouncedState::Draining));
    nodes[1].announce(start, announcement(20, 20, AnnouncedState::Gone));
    nodes[1].announce(start, announcement(41, 900, AnnouncedState::Ready));
    let (mut now, mut sent) = (start, 0);
    for _ in 0..4 {
        now += SYNC_INTERVAL;
        sent += run_round(now, &mut nodes).1;
    }
    assert_eq!(nodes[0].directory.root_digest(), nodes[1].directory.root_digest());
    assert_eq!(nodes[0].directory.server_count(), 201);
    // If both sides know a server in different versions, each sends its own.
    assert!(sent <= 5, "{sent} servers sent");
}

/// Guards against a peer that is far behind or floods requests and causes unlimited traffic.
#[test]
fn items_per_second_are_bounded() {
    let start = Instant::now();
    let mut nodes = [Node::new(start), Node::new(start)];
    for server in 0..5_000 {
        let service = server % 400;
        nodes[0].announce(start, announcement(service, server, AnnouncedState::Ready));
    }
    let now = start + SYNC_INTERVAL;
    let (_, sent) = run_round(now, &mut nodes);
    assert!(sent > 0 && sent <= SYNC_ITEMS_PER_SECOND, "{sent} servers sent");
    let mismatched_buckets = DirectorySync::Buckets(vec![0; 64]);
    let mut services = 0;
    let mut replies = 0;
    for _ in 0..1_000 {
        let node = &mut nodes[0];
        for reply in node.exchange.handle(now, &node.directory, &mismatched_buckets) {
            let SyncReply::Sync(DirectorySync::Services { digests, .. }) = reply else {
                panic!("unexpected {reply:?}");
            };
            services += digests.len();
            replies += 1;
        }
    }
    assert!(services <= SYNC_ITEMS_PER_SECOND, "{services} services in {replies} replies");
    let mut rounds = 0;
    let mut now = now;
    while nodes[0].directory.root_digest() != nodes[1].directory.root_digest() {
        now += SYNC_INTERVAL;
        run_round(now, &mut nodes);
        rounds += 1;
        assert!(rounds < 200, "directories still differ after {rounds} rounds");
    }
}

/// Guards against panics on steps with missing or excess elements.
#[test]
fn malformed_steps_are_harmless() {
    let start = Instant::now();
    let mut node = Node::new(start);
    node.announce(start, announcement(0, 0, AnnouncedState::Ready));
    for step in [
        DirectorySync::Buckets(Vec::new()),
        DirectorySync::Buckets(vec![1; 1_000]),
        DirectorySync::Services { bucket: 255, digests: Vec::new() },
        DirectorySync::Summaries(Vec::new()),
    ] {
        let later = start + Duration::from_secs(9);
        for reply in node.exchange.handle(later, &node.directory, &step) {
            assert!(!matches!(reply, SyncReply::Answer(_)), "unexpected {reply:?}");
        }
    }
}

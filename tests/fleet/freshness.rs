//! Tests of what a control member says about its freshness. The other two members are scripted.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use curranthollow::consensus::message::{MessageBody, RaftMessage};
use curranthollow::fleet::link::{
    self, FollowMode, FreshnessNotice, LinkMessage, LinkReader, LinkWriter,
};
use curranthollow::ids::MemberId;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

use crate::harness::{TEST_TIMEOUT, TestMember, free_address};

/// Interval at which a member sends notices to an entry.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of the messages of a scripted leader or candidate.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(50);

/// Age that a notice has at least if the previous notice came after the last confirmation. Half of the
/// interval is left for a busy machine.
const MIN_SILENT_AGE: Duration = NOTICE_INTERVAL.checked_div(2).expect("two is not zero");

/// Terms are compared, so that a scripted member can be ahead of the member under test.
const SCRIPTED_TERM: u64 = 40;

/// A real member whose two peers are scripted, and an entry that follows it.
struct ScriptedPeers {
    member: MemberId,
    /// Ids of the peers.
    peers: [MemberId; 2],
    /// Raft messages that the member sent to its peers.
    sent: UnboundedReceiver<RaftMessage>,
    to_member: LinkWriter,
    notices: UnboundedReceiver<FreshnessNotice>,
    _member_link_end: LinkReader,
    _entry_link_end: LinkWriter,
    process: TestMember,
}

impl ScriptedPeers {
    async fn start() -> Self {
        let mut process = TestMember::new();
        let (sender, mut sent) = unbounded_channel();
        let peers = [free_address(), free_address()];
        for peer in peers {
            let listener = TcpListener::bind(peer).await.expect("the port is free");
            tokio::task::spawn_local(accept_links(listener, sender.clone()));
        }
        process.start(&[process.link, peers[0], peers[1]], true);
        // The first pre-vote tells the ids.
        let mut seen = BTreeSet::new();
        let mut member = 0;
        while seen.len() < 2 {
            let message: RaftMessage = sent.recv().await.expect("the member sends");
            member = message.from;
            seen.insert(message.to);
        }
        let ids: Vec<_> = seen.into_iter().collect();
        let (mut to_member, link_end) = open_link(process.link).await;
        let hello = LinkMessage::Member { name: peers[0].to_string().into() };
        to_member.send(link::encode(&hello)).await.expect("the member reads");
        let (mut writer, reader) = open_link(process.link).await;
        let follow =
            LinkMessage::Follow { name: "e".into(), revision: 0, mode: FollowMode::NoticesOnly };
        writer.send(link::encode(&follow)).await.expect("the member reads");
        let (notice_sender, notices) = unbounded_channel();
        tokio::task::spawn_local(read_notices(reader, notice_sender));
        Self {
            member,
            peers: [ids[0], ids[1]],
            sent,
            to_member,
            notices,
            _member_link_end: link_end,
            _entry_link_end: writer,
            process,
        }
    }

    async fn send(&mut self, from: MemberId, term: u64, body: serde_json::Value) {
        let body = serde_json::from_value(body).expect("it is a message");
        let message = RaftMessage { group: 0, from, to: self.member, term, body };
        let frame = link::encode(&LinkMessage::Raft(message));
        self.to_member.send(frame).await.expect("the member reads");
    }

    /// Plays the peers until the next notice. They grant votes; `acknowledge` makes them accept entries.
    /// Also returns the number of append messages that the member sent as a leader.
    async fn follow_until_notice(&mut self, acknowledge: bool) -> (FreshnessNotice, usize) {
        let mut appends = 0;
        loop {
            let message = tokio::select! {
                notice = self.notices.recv() => {
                    return (notice.expect("the link stays open"), appends);
                }
                message = self.sent.recv() => message.expect("the member sends"),
            };
            let (peer, term) = (message.to, message.term);
            match message.body {
                MessageBody::PreVote { .. } => {
                    self.send(peer, term, json!({ "PreVoteReply": { "granted": true } })).await;
                }
                MessageBody::Vote { .. } => {
                    self.send(peer, term, json!({ "VoteReply": { "granted": true } })).await;
                }
                MessageBody::Append { prev_index, round, entries, .. } => {
                    appends += 1;
                    let match_index = prev_index + entries.len() as u64;
                    let body = json!({ "match_index": match_index, "round": round });
                    if acknowledge {
                        self.send(peer, term, json!({ "AppendAccepted": body })).await;
                    }
                }
                _ => {}
            }
        }
    }

    /// Sends `body` from `peer` at intervals until the next notice.
    async fn send_until_notice(
        &mut self,
        peer: MemberId,
        term: u64,
        body: &serde_json::Value,
    ) -> FreshnessNotice {
        loop {
            self.send(peer, term, body.clone()).await;
            tokio::select! {
                notice = self.notices.recv() => return notice.expect("the link stays open"),
                () = sleep(MESSAGE_INTERVAL) => {}
            }
        }
    }
}

async fn open_link(member: SocketAddr) -> (LinkWriter, LinkReader) {
    loop {
        match link::connect(member).await {
            Ok(link) => return link,
            Err(_) => sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn accept_links(listener: TcpListener, sent: UnboundedSender<RaftMessage>) {
    while let Ok((stream, _)) = listener.accept().await {
        let Ok((mut writer, mut reader)) = link::accept(stream).await else { continue };
        let sent = sent.clone();
        tokio::task::spawn_local(async move {
            while let Ok(message) = reader.receive().await {
                match message {
                    LinkMessage::Ping => {
                        let _ = writer.send(link::encode(&LinkMessage::Pong)).await;
                    }
                    LinkMessage::Raft(message) => {
                        let _ = sent.send(message);
                    }
                    _ => {}
                }
            }
        });
    }
}

async fn read_notices(mut reader: LinkReader, notices: UnboundedSender<FreshnessNotice>) {
    while let Ok(message) = reader.receive().await {
        if let LinkMessage::Fresh(notice) = message {
            let _ = notices.send(notice);
        }
    }
}

/// Runs a test on a runtime of its own.
fn run_scripted<F: Future<Output = ()>>(test: impl FnOnce(ScriptedPeers) -> F) {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime can be built");
    LocalSet::new().block_on(&runtime, async {
        let played = async { test(ScriptedPeers::start().await).await };
        timeout(TEST_TIMEOUT, played).await.expect("the test ends in time");
    });
}

/// Append message of a scripted leader with one entry; `commit` tells whether it is committed.
fn append(commit: u64, quorum_age: Duration) -> serde_json::Value {
    let entry = json!({ "term": SCRIPTED_TERM, "index": 1, "body": "Noop" });
    json!({ "Append": {
        "prev_index": 0, "prev_term": 0, "commit": commit, "round": 0, "entries": [entry],
        "quorum_age_ms": quorum_age.as_millis() as u64,
    } })
}

/// Guards against a leader that says it is up to date before it has committed an entry of its term:
/// entries then count control as in touch although it decides nothing.
#[test]
fn a_leader_without_a_commit_is_not_up_to_date() {
    run_scripted(async |mut peers| {
        let mut appends = 0;
        // A leader that nobody answers steps down after 700 ms, so this spans several terms.
        while appends < 20 {
            let (notice, sent) = peers.follow_until_notice(false).await;
            appends += sent;
            assert_eq!(notice.leader_age, None, "after {appends} append messages");
        }
    });
}

/// Guards against a leader that says it is up to date while it is cut off from the majority.
#[test]
fn a_leader_that_has_lost_its_majority_is_not_up_to_date() {
    run_scripted(async |mut peers| {
        let mut fresh = 0;
        // The first notice comes with the commit, the next ones at their interval.
        while fresh < 3 {
            let (notice, _) = peers.follow_until_notice(true).await;
            fresh += usize::from(notice.leader_age.is_some_and(|age| age < NOTICE_INTERVAL));
        }
        for _ in 0..4 {
            let (notice, _) = peers.follow_until_notice(false).await;
            let is_silent = notice.leader_age.is_none_or(|age| age >= MIN_SILENT_AGE);
            assert!(is_silent, "age {:?}", notice.leader_age);
        }
    });
}

/// Guards against a follower that says it is up to date because it knows a leader, although that leader
/// has committed nothing in its term.
#[test]
fn a_follower_of_a_leader_without_a_commit_is_not_up_to_date() {
    run_scripted(async |mut peers| {
        let leader = peers.peers[0];
        let started = Instant::now();
        while started.elapsed() < 3 * NOTICE_INTERVAL {
            let body = append(0, Duration::ZERO);
            let notice = peers.send_until_notice(leader, SCRIPTED_TERM, &body).await;
            assert_eq!(notice.leader_age, None);
        }
        let body = append(1, Duration::ZERO);
        while peers.send_until_notice(leader, SCRIPTED_TERM, &body).await.leader_age.is_none() {}
    });
}

/// Guards against a follower that says it is up to date while its leader is cut off from the majority.
#[test]
fn a_follower_of_a_leader_without_a_majority_is_not_up_to_date() {
    run_scripted(async |mut peers| {
        let leader = peers.peers[0];
        let lost_for = Duration::from_millis(650);
        let body = append(1, lost_for);
        for _ in 0..4 {
            let notice = peers.send_until_notice(leader, SCRIPTED_TERM, &body).await;
            assert!(notice.leader_age.is_none_or(|age| age >= lost_for), "{notice:?}");
        }
    });
}

/// Guards against a follower whose leader is silent, and that takes messages of candidates for a sign of
/// life of the leader.
#[test]
fn messages_of_candidates_do_not_renew_the_freshness() {
    run_scripted(async |mut peers| {
        let [leader, candidate] = peers.peers;
        let body = append(1, Duration::ZERO);
        let mut fresh = 0;
        while fresh < 3 {
            let notice = peers.send_until_notice(leader, SCRIPTED_TERM, &body).await;
            fresh += usize::from(notice.leader_age.is_some());
        }
        // With a shorter log, so that it gets no vote.
        let pre_vote = json!({ "PreVote": { "last_index": 0, "last_term": 0 } });
        for _ in 0..4 {
            let notice = peers.send_until_notice(candidate, SCRIPTED_TERM + 1, &pre_vote).await;
            let is_silent = notice.leader_age.is_none_or(|age| age >= MIN_SILENT_AGE);
            assert!(is_silent, "age {:?}", notice.leader_age);
        }
        peers.process.kill();
    });
}

//! Planned stops of control members: every call that reaches a member gets a response.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::harness::{TEST_TIMEOUT, call, document, parse_response, wait_for};
use crate::support::FleetProcesses;

/// Grace period of the members.
const GRACE: Duration = Duration::from_secs(4);

/// Time for a request on loopback to reach its process.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);

/// Fleet of three members, one of which stops.
struct StopSystem {
    fleet: FleetProcesses,
}

impl StopSystem {
    fn start() -> Self {
        let fleet = FleetProcesses::start(3, &[], GRACE);
        wait_for("a document to be accepted", || {
            fleet.call("PUT", "/.curranthollow/document", &document(1))
        });
        Self { fleet }
    }

    /// Number of the member that leads.
    fn leader(&self) -> usize {
        let mut leader = None;
        wait_for("a leader", || {
            leader = self.fleet.member_metrics.iter().position(|metrics| {
                call(*metrics, "GET", "/metrics", "").1.contains("\ncontrol_leads 1\n")
            });
            leader.is_some()
        });
        leader.expect("a leader was found")
    }

    /// Begins to put version 2 of the document; returns the connection and the rest of the request.
    fn begin_put(&self, member: usize) -> (TcpStream, String) {
        let stream = TcpStream::connect(self.fleet.members[member].address);
        let mut stream = stream.expect("the member listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
        let body = document(2);
        let head = format!(
            "PUT /.curranthollow/document HTTP/1.1\r\nhost: m\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let (first, rest) = body.split_at(body.len() / 2);
        stream.write_all((head + first).as_bytes()).expect("the member reads");
        (stream, rest.to_owned())
    }

    /// Waits for the response, then for the exit, which the process has to reach by itself within its
    /// grace period; returns status and body.
    fn finish(
        &mut self,
        member: usize,
        mut stream: TcpStream,
        stopped_at: Instant,
    ) -> (u16, String) {
        let mut response = String::new();
        let read = stream.read_to_string(&mut response);
        assert!(read.is_ok(), "{read:?} {:?} after the SIGTERM", stopped_at.elapsed());
        wait_for("the member to exit", || self.fleet.members[member].has_ended());
        assert!(stopped_at.elapsed() < GRACE, "{:?}", stopped_at.elapsed());
        parse_response(&response)
    }

    fn terminate(&self, member: usize) -> Instant {
        sleep(ARRIVAL_TIME);
        self.fleet.members[member].signal(Signal::TERM);
        Instant::now()
    }
}

/// Guards against an exit that cuts off a change whose outcome takes longer than the hand-over.
#[test]
fn a_change_without_an_outcome_is_answered_before_the_exit() {
    let mut system = StopSystem::start();
    let leader = system.leader();
    // Without a majority, the outcome is not known until the call times out.
    for member in (0..3).filter(|member| *member != leader) {
        system.fleet.members[member].kill();
    }
    let (mut stream, rest) = system.begin_put(leader);
    stream.write_all(rest.as_bytes()).expect("the member reads");
    let stopped_at = system.terminate(leader);
    let (status, body) = system.finish(leader, stream, stopped_at);
    assert_eq!(status, 503, "{body}");
    assert!(body.contains("not known"), "{body}");
}

/// Guards against an exit that cuts off a call which is still arriving.
#[test]
fn a_call_that_arrives_during_the_stop_is_served() {
    let mut system = StopSystem::start();
    let member = (system.leader() + 1) % 3;
    let (mut stream, rest) = system.begin_put(member);
    let stopped_at = system.terminate(member);
    sleep(Duration::from_millis(700));
    stream.write_all(rest.as_bytes()).expect("the member reads");
    let (status, body) = system.finish(member, stream, stopped_at);
    assert_eq!(status, 200, "{body}");
    wait_for("the document to be read", || system.fleet.read_document() == Some(document(2)));
}

/// Guards against a stopping member that closes the connection of an incomplete call without a response,
/// or waits for the rest beyond its grace period.
#[test]
fn an_incomplete_call_is_refused_before_the_exit() {
    let mut system = StopSystem::start();
    let leader = system.leader();
    let (stream, _) = system.begin_put(leader);
    let stopped_at = system.terminate(leader);
    let (status, body) = system.finish(leader, stream, stopped_at);
    assert_eq!(status, 503, "{body}");
    assert!(body.contains("nothing was changed"), "{body}");
    wait_for("the old document to be read", || system.fleet.read_document() == Some(document(1)));
}

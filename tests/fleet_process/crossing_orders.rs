//! Evacuation orders that cross their withdrawal: two operators, each of which sends its order again.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use yare::parameterized;

use crate::harness::{call, document, wait_for};
use crate::support::{FleetChild, FleetProcesses};

const GRACE: Duration = Duration::from_secs(3);

const PATH: &str = "/.curranthollow/evacuations/a";

/// Time within which an acknowledged order binds the entries.
const EVACUATION_TIME: Duration = Duration::from_secs(5);

/// Rounds of two operators at once.
const ROUNDS: u64 = 12;

/// An acknowledged order.
#[derive(Debug, Clone, Copy)]
struct AcknowledgedOrder {
    evacuates: bool,
    began_at: Instant,
    acknowledged_at: Instant,
}

fn method(evacuates: bool) -> &'static str {
    if evacuates { "POST" } else { "DELETE" }
}

/// Sends a call and leaves without the answer after `patience`.
fn abandon(member: SocketAddr, evacuates: bool, patience: Duration) {
    let text = format!(
        "{} {PATH} HTTP/1.1\r\nhost: o\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        method(evacuates)
    );
    let mut stream = TcpStream::connect(member).expect("the kernel accepts the connection");
    stream.write_all(text.as_bytes()).expect("the kernel takes the call");
    std::thread::sleep(patience);
}

/// Sends an order to the members in turn until one acknowledges it.
fn order(members: &[SocketAddr], evacuates: bool) -> AcknowledgedOrder {
    let began_at = Instant::now();
    let mut members = members.iter().cycle();
    wait_for("an order to be acknowledged", || {
        let member = *members.next().expect("there are members");
        let (status, body) = call(member, method(evacuates), PATH, "");
        assert!([0, 200, 503].contains(&status), "{status}: {body}");
        status == 200
    });
    AcknowledgedOrder { evacuates, began_at, acknowledged_at: Instant::now() }
}

/// Whether the zone is evacuated at an entry, by its log.
fn is_evacuated(entry: &FleetChild) -> bool {
    entry.log_lines("evacuation_begins").len() > entry.log_lines("evacuation_ends").len()
}

fn start_fleet() -> FleetProcesses {
    let fleet = FleetProcesses::start(3, &[None, None, None], GRACE);
    wait_for("the first document", || fleet.call("PUT", "/.curranthollow/document", &document(1)));
    fleet
}

fn addresses(fleet: &FleetProcesses) -> Vec<SocketAddr> {
    fleet.members.iter().map(|member| member.address).collect()
}

/// Checks that all entries follow the newest order, before and after all processes restart.
fn check(fleet: &mut FleetProcesses, evacuated: bool) {
    let began = Instant::now();
    wait_for("the entries to follow", || {
        fleet.entries.iter().all(|entry| is_evacuated(entry) == evacuated)
    });
    assert!(began.elapsed() < EVACUATION_TIME);
    // What is on its way arrives.
    std::thread::sleep(Duration::from_secs(2));
    for entry in &fleet.entries {
        assert_eq!(is_evacuated(entry), evacuated);
    }
    for number in 0..fleet.process_count() {
        fleet.child(number).kill();
    }
    let before: Vec<_> =
        fleet.entries.iter().map(|entry| entry.log_lines("evacuation_begins").len()).collect();
    for member in 0..fleet.members.len() {
        fleet.restart_member(member);
    }
    for entry in &mut fleet.entries {
        entry.start();
    }
    for (entry, before) in fleet.entries.iter().zip(before) {
        // An entry that knows the document answers a request of another host with 404.
        wait_for("the entries to know the document", || {
            call(entry.address, "GET", "/none", "").0 == 404
        });
        // The log is written a little later than the entry serves.
        std::thread::sleep(Duration::from_millis(500));
        let begun = entry.log_lines("evacuation_begins").len() > before;
        assert_eq!(begun, evacuated, "after the restart");
    }
}

/// Guards against a call that a frozen member carries out late, when its caller has long sent it elsewhere and
/// another operator's order has been acknowledged.
#[parameterized(
    late_order = { true },
    late_withdrawal = { false },
)]
fn a_late_call_changes_nothing(evacuates: bool) {
    let mut fleet = start_fleet();
    let members = addresses(&fleet);
    if !evacuates {
        order(&members, true);
    }
    for frozen in 0..members.len() {
        let others: Vec<_> =
            members.iter().copied().filter(|other| *other != members[frozen]).collect();
        fleet.members[frozen].signal(Signal::STOP);
        // SIGSTOP takes effect some milliseconds late.
        std::thread::sleep(Duration::from_millis(100));
        abandon(members[frozen], evacuates, Duration::from_millis(500));
        order(&others, evacuates);
        order(&others, !evacuates);
        fleet.members[frozen].signal(Signal::CONT);
        std::thread::sleep(Duration::from_secs(1));
    }
    check(&mut fleet, !evacuates);
}

/// Guards against a last acknowledged order that does not hold because calls of two operators cross, each of
/// which leaves some calls without an answer and sends them again at another member.
#[parameterized(
    patience_0_ms = { 0 },
    patience_2_ms = { 2 },
    patience_8_ms = { 8 },
)]
fn the_last_acknowledged_order_holds(patience: u64) {
    let mut fleet = start_fleet();
    let members = addresses(&fleet);
    let mut last_evacuates = false;
    for round in 0..ROUNDS {
        let operators = [true, false].map(|evacuates| {
            let mut members = members.clone();
            std::thread::spawn(move || {
                let mut random = fastrand::Rng::with_seed(2 * round + u64::from(evacuates));
                random.shuffle(&mut members);
                abandon(members[0], evacuates, Duration::from_millis(patience));
                members.rotate_left(1);
                order(&members, evacuates)
            })
        });
        let orders = operators.map(|operator| operator.join().expect("the operator ends"));
        // One order after both: it is certainly the last one. Calls that were left cross it.
        let evacuates = round % 2 == 0;
        abandon(members[round as usize % 3], !evacuates, Duration::from_millis(patience));
        order(&members[1..], !evacuates);
        let last = order(&members, evacuates);
        assert!(orders.iter().all(|order| order.acknowledged_at < last.began_at), "{orders:?}");
        last_evacuates = last.evacuates;
        wait_for("the entries to follow", || {
            fleet.entries.iter().all(|entry| is_evacuated(entry) == last_evacuates)
        });
        std::thread::sleep(Duration::from_millis(300));
        for entry in &fleet.entries {
            assert_eq!(is_evacuated(entry), last_evacuates, "round {round}");
        }
    }
    check(&mut fleet, last_evacuates);
}

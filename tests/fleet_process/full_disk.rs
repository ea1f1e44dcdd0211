//! Two operators change keys and evacuations at once while disks of members are full.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use yare::parameterized;

use crate::harness::{call, document, exchange, parse_response, wait_for};
use crate::support::FleetProcesses;
use crate::work_server::WorkServer;

const GRACE: Duration = Duration::from_secs(3);

/// Time for which an operator sends an order again; the users' bound for an acknowledgement.
const ORDER_TIME: Duration = Duration::from_secs(4);

/// Tenants beside those of the test, and routes beside the usual ones.
const FURTHER_TENANTS: usize = 300;
const FURTHER_ROUTES: usize = 400;

/// What an operator knows of an order that was sent until it was acknowledged, or for the order time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderResult {
    Acknowledged,
    /// Each answer said that nothing was changed.
    Unchanged,
    Unknown,
}

/// An order: a document of this version, or the evacuation of this zone.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Order {
    Document(u64),
    Evacuation(String),
}

/// Returns a grown document in which the key `kVERSION` and the key `always` are in force.
fn keyed_document(version: u64) -> String {
    let mut document: Value = serde_json::from_str(&document(version)).expect("it is JSON");
    let mut tenants = vec![json!({ "name": "team", "keys": ["always", format!("k{version}")] })];
    for number in 0..FURTHER_TENANTS {
        let keys = [0, 1].map(|key| format!("key-{number}-{key}"));
        tenants.push(json!({ "name": format!("tenant-{number}"), "keys": keys }));
    }
    document["tenants"] = tenants.into();
    let routes = document["routes"].as_array_mut().expect("there are routes");
    for number in 0..FURTHER_ROUTES {
        let mut route = routes[0].clone();
        route["name"] = format!("further-{number}").into();
        route["prefix"] = format!("/further/{number}/").into();
        routes.push(route);
    }
    document.to_string()
}

fn status_of(entry: SocketAddr, key: &str) -> u16 {
    let text = format!(
        "GET /read/w/1/10 HTTP/1.1\r\nhost: shop\r\nconnection: close\r\nx-request-id: r\r\n\
         authorization: Bearer {key}\r\n\r\n"
    );
    exchange(entry, text.as_bytes()).map_or(0, |response| parse_response(&response).0)
}

/// Sends an order to the members in turn until one acknowledges it.
fn send_order(members: &[SocketAddr], order: &Order) -> OrderResult {
    let end = Instant::now() + ORDER_TIME;
    let mut result = OrderResult::Unchanged;
    for member in members.iter().cycle() {
        if Instant::now() >= end {
            break;
        }
        let (status, body) = match order {
            Order::Document(version) => {
                call(*member, "PUT", "/.curranthollow/document", &keyed_document(*version))
            }
            Order::Evacuation(zone) => {
                call(*member, "POST", &format!("/.curranthollow/evacuations/{zone}"), "")
            }
        };
        match status {
            200 => return OrderResult::Acknowledged,
            503 if body.contains("nothing was changed") => {}
            503 => result = OrderResult::Unknown,
            _ => panic!("{status} for {order:?}: {body}"),
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    result
}

/// Fleet with two entries, a server, and the orders of two operators.
struct FullFleet {
    fleet: FleetProcesses,
    _servers: Vec<WorkServer>,
    sent: Vec<(Order, OrderResult)>,
}

impl FullFleet {
    fn start() -> Self {
        let mut fleet = FleetProcesses::start(3, &[None, None], GRACE);
        wait_for("the first document", || {
            fleet.call("PUT", "/.curranthollow/document", &keyed_document(1))
        });
        let servers = fleet.start_servers(1);
        for entry in &mut fleet.entries {
            wait_for("a served request", || status_of(entry.address, "k1") == 200);
        }
        let sent = vec![(Order::Document(1), OrderResult::Acknowledged)];
        Self { fleet, _servers: servers, sent }
    }

    /// Lets two operators send documents and orders at the same moment; entries go on serving.
    fn send_orders(&mut self, round: u64) {
        let members: Vec<_> = self.fleet.members.iter().map(|member| member.address).collect();
        let reversed: Vec<_> = members.iter().rev().copied().collect();
        let orders = move |operator: u64| {
            let zone =
                move |number: u64| Order::Evacuation(format!("z{round}-{operator}-{number}"));
            [zone(0), Order::Document(10 * round + operator), zone(1)]
        };
        let operators = [(0, members), (1, reversed)].map(|(operator, members)| {
            std::thread::spawn(move || {
                orders(operator).map(|order| (order.clone(), send_order(&members, &order)))
            })
        });
        while !operators.iter().all(|operator| operator.is_finished()) {
            for entry in &self.fleet.entries {
                assert_eq!(status_of(entry.address, "always"), 200);
                assert_eq!(status_of(entry.address, "never"), 401);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        for operator in operators {
            self.sent.extend(operator.join().expect("the operator ends"));
        }
        for number in 0..self.fleet.process_count() {
            assert!(!self.fleet.child(number).has_ended(), "process {number} has ended");
        }
    }

    /// Restarts all processes and compares what is in force with what the operators know.
    fn check_after_restart(&mut self) {
        for number in 0..self.fleet.process_count() {
            self.fleet.child(number).kill();
        }
        let before: Vec<_> = self.evacuation_lines();
        for member in 0..self.fleet.members.len() {
            self.fleet.restart_member(member);
        }
        for entry in &mut self.fleet.entries {
            entry.start();
        }
        for entry in &self.fleet.entries {
            wait_for("the entries to serve", || status_of(entry.address, "always") == 200);
        }
        let mut text = None;
        wait_for("the document to be confirmed", || {
            text = self.fleet.read_document();
            text.is_some()
        });
        let text = text.expect("the wait has ended");
        let document: Value = serde_json::from_str(&text).expect("it is JSON");
        let version = document["version"].as_u64().expect("it has a version");
        let highest = |wanted: fn(OrderResult) -> bool| {
            let versions = self.sent.iter().filter(|(_, result)| wanted(*result));
            let versions = versions.filter_map(|(order, _)| match order {
                Order::Document(version) => Some(*version),
                Order::Evacuation(_) => None,
            });
            versions.max().expect("the first document was acknowledged")
        };
        assert!(version >= highest(|result| result == OrderResult::Acknowledged));
        assert!(version <= highest(|result| result != OrderResult::Unchanged));
        // The log is written a little later than the entries serve.
        std::thread::sleep(Duration::from_millis(500));
        for (entry, known) in self.fleet.entries.iter().zip(before) {
            let lines = entry.log_lines("evacuation_begins").split_off(known);
            for (order, result) in &self.sent {
                let Order::Evacuation(zone) = order else { continue };
                let is_in_force = lines.iter().any(|line| line.ends_with(&format!("zone={zone}")));
                match result {
                    OrderResult::Acknowledged => assert!(is_in_force, "{zone} is lost"),
                    OrderResult::Unchanged => assert!(!is_in_force, "{zone} is in force"),
                    OrderResult::Unknown => {}
                }
            }
            assert_eq!(status_of(entry.address, &format!("k{version}")), 200);
            let withdrawn = if version == 1 { 10 } else { 1 };
            assert_eq!(status_of(entry.address, &format!("k{withdrawn}")), 401);
        }
    }

    /// Number of logged evacuations of each entry.
    fn evacuation_lines(&self) -> Vec<usize> {
        let entries = self.fleet.entries.iter();
        entries.map(|entry| entry.log_lines("evacuation_begins").len()).collect()
    }

    fn has_acknowledged(&self, orders: &[(Order, OrderResult)]) -> bool {
        orders.iter().all(|(_, result)| *result == OrderResult::Acknowledged)
    }
}

/// Guards against members that end, lose what they acknowledged, or do what they refused while their disks are
/// full, and against an entry that stops serving. `spare` bytes still fit on each full disk, so that a write
/// ends in the middle. While one disk is full, orders are acknowledged; while two are, none is.
#[parameterized(
    each_in_turn = { &[&[0], &[1], &[2]], 0 },
    each_in_turn_with_torn_writes = { &[&[0], &[1], &[2]], 40 },
    two = { &[&[0, 1]], 0 },
    all_with_torn_writes = { &[&[0, 1, 2]], 40 },
    one_after_the_other_and_all = { &[&[2], &[0, 1, 2], &[1]], 0 },
)]
fn full_disks_refuse_truthfully(full: &[&[usize]], spare: u64) {
    let mut fleet = FullFleet::start();
    for (number, members) in full.iter().enumerate() {
        let limit = |fleet: &FullFleet, is_full: bool| {
            for member in *members {
                let member = &fleet.fleet.members[*member];
                let bytes = if spare == 0 { 0 } else { member.largest_file() + spare };
                member.limit_files(is_full.then_some(bytes));
            }
        };
        let first = fleet.sent.len();
        limit(&fleet, true);
        fleet.send_orders(2 * number as u64 + 1);
        let results = fleet.sent[first..].to_vec();
        if members.len() == 1 {
            assert!(fleet.has_acknowledged(&results), "{members:?} full: {results:?}");
        } else {
            let acknowledged =
                results.iter().any(|(_, result)| *result == OrderResult::Acknowledged);
            assert!(!acknowledged, "{members:?} full: {results:?}");
        }
        limit(&fleet, false);
        let first = fleet.sent.len();
        fleet.send_orders(2 * number as u64 + 2);
        let results = fleet.sent[first..].to_vec();
        assert!(fleet.has_acknowledged(&results), "after {members:?} were full: {results:?}");
    }
    fleet.check_after_restart();
}

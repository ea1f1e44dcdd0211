//! Announcements of other writers that name no server to use.

use std::net::SocketAddr;

use yare::parameterized;

use crate::harness::{
    ScriptedServer, TestEntry, TestFleet, announce, announcement, call, document, wait_for,
};

/// Number of announcements with a long name. Together they are larger than the largest frame.
const LONG_NAME_COUNT: usize = 3;

struct System {
    fleet: TestFleet,
    sound: ScriptedServer,
}

impl System {
    fn start() -> Self {
        let fleet = TestFleet::start();
        fleet.put_document(&document(1));
        let sound = ScriptedServer::start(&[]);
        announce(&fleet, "s0", &announcement(sound.address, false, 1, 1));
        Self { fleet, sound }
    }

    /// Puts a body, retrying while there is no leader.
    fn put(&self, server: &str, body: &str) -> u16 {
        let path = format!("/.curranthollow/servers/{server}");
        let mut status = 0;
        wait_for("an answer to an announcement", || {
            status = call(self.fleet.members[0].operator, "PUT", &path, body).0;
            status != 503
        });
        status
    }

    /// Asserts that processes which have started, and those that start now, use the sound server.
    fn assert_served(&mut self) {
        let seeds = self.fleet.seeds.clone();
        let entry = TestEntry::start(&seeds);
        wait_for("a new entry to serve", || call(entry.traffic, "GET", "/read/1", "").0 == 200);
        for member in &mut self.fleet.members {
            member.kill();
        }
        for member in &mut self.fleet.members {
            member.start(&seeds, false);
        }
        for member in 0..5 {
            wait_for("the restarted members to read", || {
                self.fleet.read_document(member) == Some(document(1))
            });
        }
        announce(&self.fleet, "s0", &announcement(self.sound.address, false, 1, 2));
    }
}

fn valid_body() -> String {
    announcement(SocketAddr::from(([127, 0, 0, 1], 9)), false, 1, 1)
}

/// Guards against odd entries that are replicated: each of them reaches all members and entries, and a
/// restart reads it again.
#[parameterized(
    deep = { "\"rounds\"", &"[".repeat(200_000) },
    deep_closed = { "\"rounds\"", &("[".repeat(20_000) + &"]".repeat(20_000)) },
    number_too_large = { "\"sequence\":1", "\"sequence\":1e400" },
    number_of_another_type = { "\"started\":1", "\"started\":18446744073709551616" },
    start_that_nothing_supersedes = { "\"started\":1", "\"started\":18446744073709551615" },
    sequence_that_nothing_supersedes = { "\"sequence\":1", "\"sequence\":18446744073709551615" },
    port_out_of_range = { "127.0.0.1:9", "127.0.0.1:70000" },
    no_port = { "127.0.0.1:9", "127.0.0.1:0" },
    unspecified = { "127.0.0.1:9", "0.0.0.0:9" },
    multicast = { "127.0.0.1:9", "224.0.0.1:9" },
    broadcast = { "127.0.0.1:9", "255.255.255.255:9" },
    no_service = { "\"rounds\"", "\"\"" },
    endless_warmup = { "\"slots\":4", "\"slots\":4,\"warmup_ms\":18446744073709551615" },
)]
fn an_odd_announcement_is_refused(valid: &str, odd: &str) {
    let mut system = System::start();
    let body = valid_body().replace(valid, odd);
    assert_ne!(body, valid_body());
    assert_eq!(system.put("odd", &body), 400);
    system.assert_served();
}

/// Guards against entries that stop following control: a few announcements with names of megabytes made
/// the list of servers larger than a frame.
#[test]
fn names_of_megabytes_do_not_stop_the_entries() {
    let mut system = System::start();
    for number in 0..LONG_NAME_COUNT {
        let zone = format!("\"availability_zone\":\"{number}{}\"", "z".repeat(3_900_000));
        let body = valid_body().replace("\"availability_zone\":\"a\"", &zone);
        let body = body.replace("127.0.0.1:9", &format!("127.0.0.1:{}", 10 + number));
        assert_eq!(system.put(&format!("odd{number}"), &body), 400);
    }
    system.assert_served();
}

/// Guards against an odd call that ends a sound server's registration, or one with an id that is kept as a
/// tombstone of any size.
#[test]
fn an_odd_leave_call_is_refused() {
    let mut system = System::start();
    for (server, body) in
        [("s0", "18446744073709551615".to_owned()), (&*"s".repeat(10_000), "1".to_owned())]
    {
        let path = format!("/.curranthollow/servers/{server}");
        let status = call(system.fleet.members[0].operator, "DELETE", &path, &body).0;
        assert_eq!(status, 400);
    }
    system.assert_served();
}

//! Tests of sends that are never answered: by decision, and with a server that falls silent.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use curranthollow::fleet::balance::{SendOutcome, ServiceBalancer};
use curranthollow::fleet::room::{HedgeConditions, HedgePlan, silence_time};
use yare::parameterized;

use crate::balance::server_view;
use crate::entry::TestSystem;
use crate::harness::{
    HEALTH_PAGE, ScriptedServer, ServerStep, VALID_RESPONSE, announce, announcement, document,
    exchange, header_value, parse_response, read_request, wait_for,
};

const TARGET: Duration = Duration::from_millis(800);

/// Load: full servers that never answer. Guards against a second send so late that the caller is not served
/// within the target, and against servers that count as silent while they only take their usual time.
#[parameterized(
    usual = { Some(250), 1.0, 550 },
    slow_server = { Some(250), 3.0, 600 },
    quick_service = { Some(5), 1.0, 160 },
    unknown = { None, 1.0, 600 },
)]
fn a_send_is_late_against_what_the_service_takes(mean: Option<u64>, factor: f64, silent_ms: u64) {
    let mean = mean.map(Duration::from_millis);
    assert_eq!(silence_time(mean, factor, TARGET).as_millis(), u128::from(silent_ms));
}

fn conditions(is_room_short: bool, silent_at: Option<Instant>, budget: f64) -> HedgeConditions {
    HedgeConditions { is_room_short, silent_at, budget }
}

/// Load: a service that is short of room. Guards against second sends into the queue in which the first ones
/// wait, and against a caller who waits for a lost first send.
#[test]
fn a_service_without_room_gets_second_sends_only_for_silent_ones() {
    let now = Instant::now();
    let silent_at = now + Duration::from_millis(600);
    let mut plan = HedgePlan::new(now, Some(Duration::from_millis(250)), TARGET);
    let due_at = plan.due_at().expect("a hedge is planned");
    assert!(!plan.decide(due_at, conditions(true, None, 9.0)), "nothing was sent yet");
    assert!(!plan.decide(due_at, conditions(true, Some(silent_at), 9.0)));
    assert_eq!(plan.due_at(), Some(silent_at));
    assert!(!plan.decide(silent_at, conditions(true, Some(silent_at), 1.0)), "no budget");
    assert!(plan.decide(silent_at, conditions(true, Some(silent_at), 9.0)));
}

/// Load: a silent server in a service without room. Guards against a caller who is lost because the first
/// look for another server found none, and against looks without an end.
#[test]
fn a_second_send_without_a_server_is_tried_again_a_few_times() {
    let mut now = Instant::now();
    let mut plan = HedgePlan::new(now, None, TARGET);
    let mut looks = 0;
    while let Some(due_at) = plan.due_at() {
        now = due_at;
        assert!(plan.decide(now, conditions(false, None, 9.0)));
        looks += 1;
        plan.record_no_server(now);
    }
    assert_eq!(looks, 3);
}

/// Load: a full server that never answers. Guards against requests for it right after the silence, and
/// against a server that counts as failed although it was only full.
#[test]
fn a_silent_server_counts_as_full_for_a_short_time() {
    let now = Instant::now();
    let view = server_view("a", curranthollow::fleet::announcement::ServerState::Ready, 1);
    let views = [("s1".into(), view.clone()), ("s2".into(), view)];
    let mut balancer = ServiceBalancer::default();
    balancer.update_servers(now, "e", "a", 1, views.iter().map(|(name, view)| (name, view)));
    let random = &mut fastrand::Rng::with_seed(1);
    for _ in 0..5 {
        balancer.begin_send(&"s1".into());
        balancer.end_send(now, &"s1".into(), SendOutcome::Silent, TARGET);
    }
    for _ in 0..20 {
        let chosen = balancer.choose(now, &[], &[], random).expect("a server is there");
        assert_eq!(&*chosen.server, "s2");
    }
    let later = now + Duration::from_millis(200);
    balancer.begin_send(&"s2".into());
    balancer.begin_send(&"s2".into());
    let chosen = balancer.choose(later, &[], &[], random).expect("a server is there");
    assert_eq!((&*chosen.server, chosen.in_flight), ("s1", 0), "its slot is free again");
}

/// State of a server that answers nothing while it is silent, nor anything after that on the same connection.
#[derive(Default)]
struct SilentState {
    is_silent: AtomicBool,
    /// Open connections on which a request was not answered.
    lost_connections: AtomicUsize,
    silent_requests: AtomicUsize,
}

impl SilentState {
    /// Starts a server.
    fn start() -> (SocketAddr, Arc<Self>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a listener has an address");
        let state = Arc::new(Self::default());
        let server_state = Arc::clone(&state);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&server_state);
                std::thread::spawn(move || state.serve(stream));
            }
        });
        (address, state)
    }

    /// Serves until the peer closes the connection.
    fn serve(&self, mut stream: TcpStream) {
        let mut input = Vec::new();
        let mut is_lost = false;
        while let Some(request) = read_request(&mut stream, &mut input) {
            let is_probe = request.starts_with("GET /health");
            if self.is_silent.load(Ordering::SeqCst) && !is_probe && !is_lost {
                is_lost = true;
                self.lost_connections.fetch_add(1, Ordering::SeqCst);
            }
            if is_lost {
                self.silent_requests.fetch_add(1, Ordering::SeqCst);
                continue;
            }
            let id = header_value(&request, "x-request-id").unwrap_or_default();
            let text = if is_probe { HEALTH_PAGE } else { VALID_RESPONSE };
            if stream.write_all(text.replace("ID", &id).as_bytes()).is_err() {
                return;
            }
        }
        self.lost_connections.fetch_sub(usize::from(is_lost), Ordering::SeqCst);
    }
}

fn request(system: &TestSystem, method: &str, path: &str, id: &str) -> u16 {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop\r\nx-request-id: {id}\r\n\
         x-request-deadline: 2000\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    parse_response(&exchange(system.entry.traffic, text.as_bytes()).expect("the entry responds")).0
}

/// Load: one of two servers becomes full and never answers. Guards against callers who wait for it, against an
/// at-most-once request that is sent twice, and against connections and counts that stay tied to it.
#[test]
fn a_silent_server_costs_no_caller_and_keeps_nothing() {
    let (address, silent) = SilentState::start();
    // Slower than the other one, which is preferred for that.
    let slow = ServerStep::Delay(Duration::from_millis(50), VALID_RESPONSE);
    let sound = ScriptedServer::start(&vec![slow; 40]);
    let system = TestSystem::start_with_document(&[address], None, &document(1));
    assert_eq!(request(&system, "GET", "/read/1", "w"), 200);
    announce(&system.fleet, "s1", &announcement(sound.address, false, 1, 1));
    // The entry introduces the new server with a request.
    wait_for("the sound server to get a request", || {
        assert_eq!(request(&system, "GET", "/read/1", "i"), 200);
        sound.sent_count() > 0
    });
    silent.is_silent.store(true, Ordering::SeqCst);
    for number in 0..8 {
        assert_eq!(request(&system, "GET", "/read/1", &format!("r{number}")), 200);
    }
    let lost = silent.silent_requests.load(Ordering::SeqCst);
    assert!(lost > 0, "no request reached the silent server");
    assert_eq!(system.entry.metric("entry_silent_sends_total"), lost as u64);
    let before = sound.sent_count() + silent.silent_requests.load(Ordering::SeqCst);
    let status = request(&system, "POST", "/book/1", "b1");
    assert!(status == 200 || status == 504, "{status}");
    let after = sound.sent_count() + silent.silent_requests.load(Ordering::SeqCst);
    assert_eq!(after - before, 1, "an at-most-once request is sent once");
    silent.is_silent.store(false, Ordering::SeqCst);
    wait_for("the silent connections to be closed", || {
        silent.lost_connections.load(Ordering::SeqCst) == 0
    });
    for number in 0..8 {
        assert_eq!(request(&system, "GET", "/read/1", &format!("e{number}")), 200);
    }
}

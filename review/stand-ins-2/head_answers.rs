//! A route is removed by the operator; a client asks for it with HEAD on a kept connection and sends its
//! next request there. MIXED: the connection must carry no bytes that are no answer.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Connections on which a client sends a HEAD request and then a GET request.
const CONNECTIONS: u32 = 20;

fn main() {
    let record = std::env::args().nth(1).expect("the path of the record");
    std::process::exit(run(Path::new(&record)));
}

fn run(record: &Path) -> i32 {
    let deployment = Deployment::start(record, 3, 1, 1);
    let verdict = play(&deployment);
    deployment.record.line(&format!("exit code {verdict}"));
    deployment.end();
    verdict
}

fn play(deployment: &Deployment) -> i32 {
    let work: fn(&UpstreamRequest, &mut Connection) -> std::io::Result<()> =
        |request, connection| answer(request, connection, b"the round of today");
    for number in 0..3 {
        let id = format!("i-0000000{number}");
        Upstream::start(deployment, &id, "huvo11a", number, Box::new(work));
    }
    let both = [("/lepu270/", "safe", "huvo11a", 1200), ("/xapu221/", "safe", "huvo11a", 1200)];
    if !deployment.put_config(&config(1, &both, &["huvo11a"]))
        || !deployment.wait_until_ready(Duration::from_secs(15))
    {
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(3));
    if has_trouble() {
        // The disruption: a new version removes the second route (`config_change`).
        if !deployment.put_config(&config(2, &both[..1], &["huvo11a"])) {
            return NOT_RUN;
        }
        thread::sleep(Duration::from_secs(3));
    }
    let mut broken = 0;
    for number in 0..CONNECTIONS {
        match ask_twice(deployment, number) {
            Ok(true) => {}
            Ok(false) => broken += 1,
            Err(error) => {
                deployment.record.line(&format!("client: connection {number} failed: {error}"));
                return NOT_RUN;
            }
        }
    }
    deployment.record.line(&format!("{broken} of {CONNECTIONS} connections carried other bytes"));
    if broken > 0 {
        BROKEN
    } else {
        HELD
    }
}

/// Sends HEAD and, after its answer, GET on the same connection; returns whether the bytes there were the two
/// answers and nothing else.
fn ask_twice(deployment: &Deployment, number: u32) -> std::io::Result<bool> {
    let record = &deployment.record;
    let entry = deployment.entries[0].frontend();
    let mut connection = Connection::open(entry, Duration::from_secs(2))?;
    let send = |connection: &mut Connection, method: &str, path: &str, attempt: &str| {
        record.line(&format!("client: connection {number} sends {method} {path}, attempt {attempt}"));
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: jepu9.example\r\nX-Attempt-Id: {attempt}\r\n\
             X-Deadline-Ms: 1200\r\n\r\n"
        );
        connection.stream.write_all(text.as_bytes())
    };
    send(&mut connection, "HEAD", "/xapu221/2f", &format!("{number:08x}aaaaaaaa"))?;
    let first = connection.read_answer("HEAD")?;
    record.line(&format!("client: connection {number} answer to HEAD: {:?}", first.head));
    if first.head.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        record.line("client: the connection ends as announced");
        return Ok(true);
    }
    let attempt = format!("{number:08x}bbbbbbbb");
    send(&mut connection, "GET", "/lepu270/2f", &attempt)?;
    // What comes now must be the answer to GET, as for any client of HTTP/1.1.
    while connection.buffered.len() < 12 {
        connection.fill()?;
    }
    let shown = connection.buffered.len().min(120);
    let text = String::from_utf8_lossy(&connection.buffered[..shown]).into_owned();
    record.line(&format!("client: connection {number} bytes after GET: {text:?}"));
    if !connection.buffered.starts_with(b"HTTP/1.1 ") {
        return Ok(false);
    }
    let second = connection.read_answer("GET")?;
    let is_own = second.head.get("x-attempt-id") == Some(&*attempt) && second.status == 200;
    Ok(is_own && connection.buffered.is_empty())
}

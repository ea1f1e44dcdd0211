//! Case: a request within all limits of the configuration is refused for the number of its headers.

#[path = "harness.rs"]
mod harness;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use harness::{Connection, Deployment, Record, Upstream, has_trouble, unix_ms};

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case is given");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let mut deployment = Deployment::new("headers", 0, 1);
    deployment.start_all();
    let admins = deployment.admins();
    let ip = deployment.take_ip();
    let listener = TcpListener::bind((ip, 0)).expect("a loopback address can be bound");
    let upstream = Upstream {
        id: "i-0".into(), service: "s".into(), address: listener.local_addr().unwrap(),
        zone: "zone-0".into(), slots: 50, born: unix_ms(),
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read_message(false) {
                    let id = request.header("x-attempt-id");
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nX-Instance-Id: i-0\r\nX-Upstream-Load: 0,0,50\r\n\
                         X-Attempt-Id: {id}\r\nX-Upstream-Signature: s.{id}\r\nContent-Length: 2\r\n\r\nok"
                    );
                    let head = if id.is_empty() { head.replace("X-Attempt-Id: \r\n", "") } else { head };
                    if connection.stream.write_all(head.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    upstream.keep_beating(admins);
    let config = r#"{"version":"00000001","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"a.example","route_rules":[{"name":"r","route_type":"safe","target_latency":"300ms","priority":1,"match":{"path_prefix":"/r/"},"action":{"service":"s","timeout":"1000ms","max_attempts":2}}]}],"clusters":[{"name":"s","health_path":"/healthz","max_conns":220,"protocol":"h1","tls":false}]}"#;
    if !deployment.put_config(config) || !deployment.wait_until_ready() {
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(2));
    let headers = if has_trouble() { 120 } else { 90 };
    let mut denied = 0;
    for number in 0..100 {
        let Ok(stream) = TcpStream::connect(deployment.entries[0].address) else { return ExitCode::from(2) };
        let mut connection = Connection::new(stream);
        let mut head = format!("GET /r/{number} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {number:016x}\r\nX-Deadline-Ms: 1000\r\n");
        for field in 0..headers - 3 {
            head += &format!("X-Field-{field}: value-{field}\r\n");
        }
        head += "\r\n";
        let _ = connection.stream.write_all(head.as_bytes());
        let status = connection.read_message(false).ok().flatten().map_or(0, |answer| answer.status());
        record.line(&format!("sent {headers} headers, {} bytes; answer {status}", head.len()));
        denied += usize::from((300..500).contains(&status));
    }
    println!("headers={headers} requests=100 denied={denied}");
    if denied > 5 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

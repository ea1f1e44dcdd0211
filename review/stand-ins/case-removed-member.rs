//! Case: while a core machine comes back without its disk, another one is off for some seconds. Two lost
//! disks at a later loss of power then leave too few members.

#[path = "harness.rs"]
mod harness;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use harness::{Deployment, Record, call, has_trouble};

/// Which of the two inactive members the leader removes depends on their random ids.
const PLAYS: usize = 5;
/// `recovery` of the settings.
const RECOVERY: Duration = Duration::from_secs(15);

fn config(version: u32) -> String {
    format!(
        r#"{{"version":"{version:08x}","limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}},"listeners":[{{"host":"a.example","route_rules":[{{"name":"r","route_type":"safe","target_latency":"300ms","priority":1,"match":{{"path_prefix":"/r/"}},"action":{{"service":"s","timeout":"1000ms","max_attempts":2}}}}]}}],"clusters":[{{"name":"s","health_path":"/healthz","max_conns":220,"protocol":"h1","tls":false}}]}}"#
    )
}

/// Version that the first member to answer reads back, asked again and again for `time`.
fn read_back(admins: &[SocketAddr], time: Duration) -> Option<String> {
    let end = Instant::now() + time;
    while Instant::now() < end {
        for admin in admins {
            if let Ok((200, text)) = call(*admin, "GET", "/curranthollow/config", "") {
                return text.split('"').nth(3).map(str::to_owned);
            }
        }
        sleep(Duration::from_millis(100));
    }
    None
}

fn wipe(deployment: &Deployment, member: usize) {
    let name = &deployment.controls[member].name;
    let data = deployment.folder.join(format!("data-{name}"));
    let _ = fs::remove_dir_all(&data);
    fs::create_dir_all(&data).expect("the temporary folder can be written");
}

/// Returns whether the acknowledged version was read back; `None` if the play couldn't run.
fn play(number: usize, record: &Record) -> Option<bool> {
    let mut deployment = Deployment::new(&format!("member-{number}"), 2, 1);
    let program = deployment.program.clone();
    deployment.start_all();
    if !deployment.put_config(&config(1)) || !deployment.wait_until_ready() {
        return None;
    }
    sleep(Duration::from_secs(3));
    let (wiped, off) = (0, 1);
    record.line(&format!("play {number}: {} loses power and its disk", deployment.controls[wiped].name));
    deployment.controls[wiped].kill();
    wipe(&deployment, wiped);
    sleep(Duration::from_millis(1000));
    if has_trouble() {
        record.line(&format!("play {number}: {} loses power", deployment.controls[off].name));
        deployment.controls[off].kill();
    }
    sleep(Duration::from_millis(2000));
    record.line(&format!("play {number}: {} is back with an empty disk", deployment.controls[wiped].name));
    deployment.controls[wiped].start(&program, false);
    sleep(Duration::from_millis(1500));
    if has_trouble() {
        record.line(&format!("play {number}: {} is back with its disk", deployment.controls[off].name));
        deployment.controls[off].start(&program, false);
    }
    // More than `sync_time`.
    sleep(Duration::from_secs(6));
    if !deployment.put_config(&config(2)) {
        return None;
    }
    record.line(&format!("play {number}: version 00000002 is acknowledged; all machines lose power, two their disks"));
    let (controls, entries) = (&mut deployment.controls, &mut deployment.entries);
    for machine in controls.iter_mut().chain(entries.iter_mut()) {
        machine.kill();
    }
    for lost in [2, 3] {
        wipe(&deployment, lost);
    }
    sleep(Duration::from_millis(1000));
    for machine in deployment.controls.iter_mut().chain(&mut deployment.entries) {
        machine.start(&program, false);
    }
    let version = read_back(&deployment.admins(), RECOVERY);
    record.line(&format!("play {number}: read back: {version:?}"));
    Some(version.as_deref() == Some("00000002"))
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case is given");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    for number in 1..=PLAYS {
        match play(number, &record) {
            None => {
                eprintln!("play {number} couldn't run");
                return ExitCode::from(2);
            }
            Some(false) => {
                println!("play {number} of {PLAYS}: the acknowledged configuration can't be read back");
                return ExitCode::FAILURE;
            }
            Some(true) => {}
        }
    }
    println!("{PLAYS} plays: the acknowledged configuration was read back");
    ExitCode::SUCCESS
}

//! Log of a process that stops.

use std::io::Read;
use std::process::{Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use crate::harness::{call, free_address, unique_path, wait_for};

/// Guards against an exit that loses the last lines of the log, which say what a planned stop cut off.
#[test]
fn the_last_lines_are_written_before_the_exit() {
    let (traffic, readiness, seed) = (free_address(), free_address(), free_address());
    let config_text = format!(
        r#"{{"name":"e","availability_zone":"a","seeds":["{seed}"],"grace":"1s","entry":{{
        "traffic":"{traffic}","readiness":"{readiness}","retry_ratio":0.2,"retry_slack":1,
        "retry_window":"10s"}}}}"#
    );
    let config_path = unique_path().with_extension("jsonc");
    std::fs::write(&config_path, config_text).expect("the test folder is writable");
    let mut command = Command::new(env!("CARGO_BIN_EXE_curranthollow"));
    command.arg("fleet").arg("--config").arg(&config_path).stdout(Stdio::piped());
    let mut child = command.spawn().expect("the binary starts");
    wait_for("the entry to listen", || {
        call(readiness, "GET", "/.curranthollow/ready", "").0 == 503
    });
    let pid = Pid::from_raw(child.id().cast_signed()).expect("the process id is valid");
    kill_process(pid, Signal::TERM).expect("the process exists");
    child.wait().expect("the process ends");
    let mut log = String::new();
    let output = child.stdout.as_mut().expect("the output is piped");
    output.read_to_string(&mut log).expect("the log is text");
    for event in ["process_stopping", "entry_stopped active=0 receiving=0", "process_stopped"] {
        assert!(log.contains(&format!("event={event}")), "no {event} in\n{log}");
    }
}

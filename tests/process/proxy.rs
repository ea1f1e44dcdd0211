//! TCP proxy on one link that can hold back one or both directions.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Interval at which a held direction looks whether it may go on.
const HOLD_CHECK: Duration = Duration::from_millis(5);

/// Link from the process that connects to the one that listens.
pub struct LinkProxy {
    /// Address for the process that connects.
    pub address: SocketAddr,
    gates: Arc<LinkGates>,
}

/// What passes at present. Held bytes arrive late, as TCP sends lost segments again.
#[derive(Default)]
struct LinkGates {
    hold_forward: AtomicBool,
    hold_backward: AtomicBool,
    stopped: AtomicBool,
}

impl LinkProxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let gates = Arc::new(LinkGates::default());
        let shared = Arc::clone(&gates);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if shared.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(near) = stream else { continue };
                let Ok(far) = TcpStream::connect(target) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                pass(&near, &far, &shared, |gates| &gates.hold_forward);
                pass(&far, &near, &shared, |gates| &gates.hold_backward);
            }
        });
        Self { address, gates }
    }

    /// Holds back bytes from the connecting process, to it, or both.
    pub fn hold(&self, forward: bool, backward: bool) {
        self.gates.hold_forward.store(forward, Ordering::SeqCst);
        self.gates.hold_backward.store(backward, Ordering::SeqCst);
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.gates.stopped.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
    }
}

fn pass(
    from: &TcpStream,
    to: &TcpStream,
    gates: &Arc<LinkGates>,
    gate: fn(&LinkGates) -> &AtomicBool,
) {
    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
    let gates = Arc::clone(gates);
    thread::spawn(move || {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            while gate(&gates).load(Ordering::SeqCst) && !gates.stopped.load(Ordering::SeqCst) {
                thread::sleep(HOLD_CHECK);
            }
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    });
}

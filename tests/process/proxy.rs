//! TCP proxy for one link that can hold back the bytes of one or both directions.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Interval at which a held direction checks whether it has been released.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Proxy between the process that opens a link and the one that listens for it.
pub struct LinkProxy {
    /// Address to which the opening process connects.
    pub address: SocketAddr,
    flags: Arc<HoldFlags>,
}

/// Directions that are held at present. Held bytes are delayed and not dropped, because TCP retransmits
/// lost segments after a real partition, too.
#[derive(Default)]
struct HoldFlags {
    hold_forward: AtomicBool,
    hold_backward: AtomicBool,
    stopped: AtomicBool,
}

impl LinkProxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let flags = Arc::new(HoldFlags::default());
        let shared = Arc::clone(&flags);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if shared.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(downstream) = stream else { continue };
                let Ok(upstream) = TcpStream::connect(target) else { continue };
                let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
                forward(&downstream, &upstream, &shared, |flags| &flags.hold_forward);
                forward(&upstream, &downstream, &shared, |flags| &flags.hold_backward);
            }
        });
        Self { address, flags }
    }

    /// Sets which directions are held: `forward` from the connecting process, `backward` to it.
    pub fn set_held(&self, forward: bool, backward: bool) {
        self.flags.hold_forward.store(forward, Ordering::SeqCst);
        self.flags.hold_backward.store(backward, Ordering::SeqCst);
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.flags.stopped.store(true, Ordering::SeqCst);
        // Unblocks the accept loop, which then sees `stopped`.
        let _ = TcpStream::connect(self.address);
    }
}

fn forward(
    from: &TcpStream,
    to: &TcpStream,
    flags: &Arc<HoldFlags>,
    hold_flag: fn(&HoldFlags) -> &AtomicBool,
) {
    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
    let flags = Arc::clone(flags);
    thread::spawn(move || {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            while hold_flag(&flags).load(Ordering::SeqCst) && !flags.stopped.load(Ordering::SeqCst)
            {
                thread::sleep(HOLD_POLL_INTERVAL);
            }
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    });
}

//! Request bodies that arrive slowly.

use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use futures_util::future::{Either, select};
use futures_util::pin_mut;

use super::harness::{TEST_TIMEOUT, TestEntry, ample_limits};

/// Methods of at-most-once requests, whose body is read before their claim is opened.
const SERVICE: &str = r#""deadline": "300ms",
    "classes": [{ "name": "post", "methods": ["POST"], "idempotent": false }]"#;

/// Interval at which one byte of the body arrives; far below the stall timeout.
const BYTE_INTERVAL: Duration = Duration::from_millis(20);

/// Guards against a caller that keeps a request open, and with it a planned stop, by sending its
/// body byte by byte beyond the deadline.
#[test]
fn at_most_once_body_must_arrive_before_the_deadline() {
    task::block_on(async {
        let entry = TestEntry::start(&[("blue", SERVICE)], ample_limits()).await;
        let mut stream = TcpStream::connect(entry.address).await.expect("the entry listens");
        let head =
            b"POST /blue HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 9999\r\n\r\n";
        stream.write_all(head).await.expect("the entry reads");
        let (mut reader, mut writer) = (stream.clone(), stream);
        let trickle = async {
            let end = Instant::now() + TEST_TIMEOUT;
            while Instant::now() < end && writer.write_all(b"x").await.is_ok() {
                task::sleep(BYTE_INTERVAL).await;
            }
        };
        let response = async {
            let mut bytes = vec![0; 4096];
            let count = reader.read(&mut bytes).await.expect("the connection is not reset");
            bytes.truncate(count);
            String::from_utf8_lossy(&bytes).into_owned()
        };
        pin_mut!(trickle, response);
        match select(response, trickle).await {
            Either::Left((text, _)) => {
                assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
                assert!(text.contains("connection: close\r\n"), "{text}");
                assert!(text.contains(r#""run":"not_run""#), "{text}");
            }
            Either::Right(_) => panic!("no response while the body arrives"),
        }
    });
}

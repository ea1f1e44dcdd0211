//! One request of the load generator and the check of its response.

use std::pin::pin;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures_util::future::{Either, select};
use serde::Deserialize;
use sha2::{Digest, Sha256};

use super::{LoadOutcome, LoadRun, run_id};
use crate::http::{
    BodyFraming, HeaderList, HttpError, HttpVersion, RequestHead, ResponseBody, ResponseHead,
    ServerConnection,
};
use crate::stand_in::{BodyPattern, REFUSED_HEADER, hex_text};

/// Size of the pieces in which uploads are sent.
const PIECE_BYTES: u64 = 64 * 1024;

/// Part of a response without a pattern that is kept for inspection.
const KEPT_BYTES: usize = 64 * 1024;

/// Error response of an entry.
#[derive(Deserialize)]
struct EntryError {
    run: Box<str>,
}

/// Short response of the stand-in server.
#[derive(Deserialize)]
struct EchoBody {
    run_id: Box<str>,
}

impl LoadRun {
    pub(super) async fn exchange(
        &self,
        number: usize,
        class: usize,
        position: usize,
    ) -> LoadOutcome {
        let address = self.options.targets[position];
        let limit = self.options.connections_per_target;
        let connect_timeout = self.options.timeout;
        let Ok(connection) = self.pool.checkout(address, limit, connect_timeout).await else {
            return LoadOutcome::NotRun;
        };
        let id = run_id(self.options.seed, number);
        let mut progress = LoadOutcome::Unknown;
        let exchange = self.send_and_verify(connection, number, class, &id, &mut progress);
        match timeout(self.options.timeout, exchange).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => progress,
        }
    }

    /// Sends one request; `progress` tells how an early end of the exchange counts.
    async fn send_and_verify(
        &self,
        mut connection: ServerConnection,
        number: usize,
        class: usize,
        id: &str,
        progress: &mut LoadOutcome,
    ) -> Result<LoadOutcome, HttpError> {
        let target = self.options.classes[class].target(self.options.service_time(number, class));
        let class = &self.options.classes[class];
        let mut output = Vec::new();
        self.request_head(class.upload_bytes, &class.method, target, id).write_to(&mut output);
        connection.write(&output).await?;
        let writer = connection.writer();
        let upload = send_upload(&writer, id, class.upload_bytes, self.options.timeout);
        let (digest, (head, mut body)) = {
            let reading = connection.read_head(&class.method);
            match select(pin!(upload), pin!(reading)).await {
                Either::Left((digest, reading)) => (digest.ok(), reading.await?),
                // The response came before the end of the upload; it can only be a refusal.
                Either::Right((response, _)) => (None, response?),
            }
        };
        *progress = LoadOutcome::Broken;
        let verified = verify_body(&mut connection, &mut body, id, class.download_bytes).await?;
        let outcome = judge(&head, &verified, id, class.upload_bytes, digest.as_deref());
        if digest.is_some() {
            connection.release(&body);
        }
        Ok(outcome)
    }

    fn request_head(&self, length: u64, method: &str, target: String, id: &str) -> RequestHead {
        let mut headers = HeaderList::new();
        let _ = headers.append("host", self.options.host.as_bytes());
        let _ = headers.append("x-run-id", id.as_bytes());
        let _ = headers.append("idempotency-key", id.as_bytes());
        if length > 0 {
            let _ = headers.append("content-length", length.to_string().as_bytes());
        }
        for (name, value) in &self.options.headers {
            let _ = headers.append(name, value.as_bytes());
        }
        RequestHead {
            method: method.into(),
            target: target.into(),
            host: self.options.host.clone(),
            version: HttpVersion::Http11,
            headers,
            framing: BodyFraming::Length(length),
        }
    }
}

/// Sends the pattern of the request and returns its SHA-256.
async fn send_upload(
    writer: &TcpStream,
    id: &str,
    size: u64,
    stall: Duration,
) -> Result<String, HttpError> {
    let mut pattern = BodyPattern::new(id);
    let mut digest = Sha256::new();
    let mut left = size;
    while left > 0 {
        let mut piece = vec![0; left.min(PIECE_BYTES) as usize];
        pattern.fill(&mut piece);
        digest.update(&piece);
        ServerConnection::write_all(writer, &piece, stall).await?;
        left -= piece.len() as u64;
    }
    Ok(hex_text(&digest.finalize()))
}

/// What was found in a whole response body.
struct VerifiedBody {
    matches_pattern: bool,
    expects_pattern: bool,
    kept: Vec<u8>,
}

async fn verify_body(
    connection: &mut ServerConnection,
    body: &mut ResponseBody,
    id: &str,
    expected: Option<u64>,
) -> Result<VerifiedBody, HttpError> {
    let mut pattern = BodyPattern::new(id);
    let mut length = 0;
    let mut matches = true;
    let mut kept = Vec::new();
    while let Some(data) = connection.read_body(body).await? {
        length += data.len() as u64;
        matches = matches && expected.is_some() && pattern.matches(&data);
        let room = KEPT_BYTES - kept.len();
        kept.extend_from_slice(&data[..data.len().min(room)]);
    }
    let matches_pattern = matches && expected == Some(length);
    Ok(VerifiedBody { matches_pattern, expects_pattern: expected.is_some(), kept })
}

/// Judges a whole response; `digest` is absent when the upload was not sent whole.
fn judge(
    head: &ResponseHead,
    body: &VerifiedBody,
    id: &str,
    length: u64,
    digest: Option<&str>,
) -> LoadOutcome {
    if !(200..300).contains(&head.status) {
        return judge_error(head, &body.kept);
    }
    let Some(digest) = digest else {
        return LoadOutcome::Wrong;
    };
    let length = length.to_string();
    let headers = [("x-run-id", id), ("x-body-sha256", digest), ("x-body-length", &*length)];
    for (name, expected) in headers {
        if head.headers.get_str(name) != Some(expected) {
            return LoadOutcome::Wrong;
        }
    }
    let own = if body.expects_pattern {
        body.matches_pattern
    } else {
        serde_json::from_slice::<EchoBody>(&body.kept).is_ok_and(|echo| &*echo.run_id == id)
    };
    if own { LoadOutcome::Ok } else { LoadOutcome::Wrong }
}

fn judge_error(head: &ResponseHead, content: &[u8]) -> LoadOutcome {
    if head.headers.get(REFUSED_HEADER).is_some() {
        return LoadOutcome::NotRun;
    }
    match serde_json::from_slice::<EntryError>(content) {
        Ok(error) if &*error.run == "not_run" => LoadOutcome::NotRun,
        Ok(error) if &*error.run == "unknown" => LoadOutcome::Unknown,
        _ => LoadOutcome::Failed,
    }
}

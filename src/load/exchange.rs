//! Sends one request of the load generator and verifies its response.

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

/// Size in bytes of the pieces in which uploads are sent.
const UPLOAD_PIECE_BYTES: u64 = 64 * 1024;

/// Maximum number of bytes at the start of a response body that are kept for inspection.
const MAX_INSPECTED_BYTES: usize = 64 * 1024;

/// Body of an entry's error response.
#[derive(Deserialize)]
struct EntryError {
    run: Box<str>,
}

/// Body of the stand-in server's short response.
#[derive(Deserialize)]
struct EchoBody {
    run_id: Box<str>,
}

impl LoadRun {
    /// Performs the exchange of one scheduled request with one target.
    pub(super) async fn exchange(
        &self,
        request_number: usize,
        class: usize,
        target_index: usize,
    ) -> LoadOutcome {
        let address = self.options.targets[target_index];
        let connection_limit = self.options.connections_per_target;
        let connect_timeout = self.options.timeout;
        let Ok(connection) = self.pool.checkout(address, connection_limit, connect_timeout).await
        else {
            return LoadOutcome::NotRun;
        };
        let id = run_id(self.options.seed, request_number);
        let mut outcome_if_aborted = LoadOutcome::Unknown;
        let exchange =
            self.send_and_verify(connection, request_number, class, &id, &mut outcome_if_aborted);
        match timeout(self.options.timeout, exchange).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => outcome_if_aborted,
        }
    }

    /// Sends one request and verifies its response; `outcome_if_aborted` is the outcome if the
    /// exchange fails or times out.
    async fn send_and_verify(
        &self,
        mut connection: ServerConnection,
        request_number: usize,
        class: usize,
        id: &str,
        outcome_if_aborted: &mut LoadOutcome,
    ) -> Result<LoadOutcome, HttpError> {
        let target =
            self.options.classes[class].target(self.options.service_time(request_number, class));
        let class = &self.options.classes[class];
        let mut output = Vec::new();
        self.request_head(class.upload_bytes, &class.method, target, id).write_to(&mut output);
        connection.write(&output).await?;
        let writer = connection.writer();
        let upload = send_upload(&writer, id, class.upload_bytes, self.options.timeout);
        let (digest, (head, mut body)) = {
            let read_response = connection.read_head(&class.method);
            match select(pin!(upload), pin!(read_response)).await {
                Either::Left((digest, read_response)) => (digest.ok(), read_response.await?),
                // The response came before the end of the upload, so it can only be an error.
                Either::Right((response, _)) => (None, response?),
            }
        };
        *outcome_if_aborted = LoadOutcome::Broken;
        let verified = verify_body(&mut connection, &mut body, id, class.download_bytes).await?;
        let outcome =
            classify_response(&head, &verified, id, class.upload_bytes, digest.as_deref());
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

/// Sends the body pattern of the request and returns its SHA-256 in hex.
async fn send_upload(
    writer: &TcpStream,
    id: &str,
    size: u64,
    stall_timeout: Duration,
) -> Result<String, HttpError> {
    let mut pattern = BodyPattern::new(id);
    let mut digest = Sha256::new();
    let mut remaining = size;
    while remaining > 0 {
        let mut piece = vec![0; remaining.min(UPLOAD_PIECE_BYTES) as usize];
        pattern.fill(&mut piece);
        digest.update(&piece);
        ServerConnection::write_all(writer, &piece, stall_timeout).await?;
        remaining -= piece.len() as u64;
    }
    Ok(hex_text(&digest.finalize()))
}

/// Result of reading a whole response body.
struct VerifiedBody {
    pattern_matches: bool,
    pattern_expected: bool,
    body_prefix: Vec<u8>,
}

/// Reads a response body; if `expected_bytes` is given, compares it with the pattern of that size.
async fn verify_body(
    connection: &mut ServerConnection,
    body: &mut ResponseBody,
    id: &str,
    expected_bytes: Option<u64>,
) -> Result<VerifiedBody, HttpError> {
    let mut pattern = BodyPattern::new(id);
    let mut length = 0;
    let mut matches_so_far = true;
    let mut body_prefix = Vec::new();
    while let Some(data) = connection.read_body(body).await? {
        length += data.len() as u64;
        matches_so_far = matches_so_far && expected_bytes.is_some() && pattern.matches(&data);
        let remaining_capacity = MAX_INSPECTED_BYTES - body_prefix.len();
        body_prefix.extend_from_slice(&data[..data.len().min(remaining_capacity)]);
    }
    let pattern_matches = matches_so_far && expected_bytes == Some(length);
    Ok(VerifiedBody { pattern_matches, pattern_expected: expected_bytes.is_some(), body_prefix })
}

/// Determines the outcome of a complete response; `digest` is absent if the upload was not
/// completed.
fn classify_response(
    head: &ResponseHead,
    body: &VerifiedBody,
    id: &str,
    length: u64,
    digest: Option<&str>,
) -> LoadOutcome {
    if !(200..300).contains(&head.status) {
        return classify_error_response(head, &body.body_prefix);
    }
    let Some(digest) = digest else {
        return LoadOutcome::Wrong;
    };
    let length = length.to_string();
    let headers = [("x-run-id", id), ("x-body-sha256", digest), ("x-body-length", &*length)];
    for (name, expected_value) in headers {
        if head.headers.get_str(name) != Some(expected_value) {
            return LoadOutcome::Wrong;
        }
    }
    let body_matches = if body.pattern_expected {
        body.pattern_matches
    } else {
        serde_json::from_slice::<EchoBody>(&body.body_prefix).is_ok_and(|echo| &*echo.run_id == id)
    };
    if body_matches { LoadOutcome::Ok } else { LoadOutcome::Wrong }
}

/// Determines the outcome of a complete error response.
fn classify_error_response(head: &ResponseHead, content: &[u8]) -> LoadOutcome {
    if head.headers.get(REFUSED_HEADER).is_some() {
        return LoadOutcome::NotRun;
    }
    match serde_json::from_slice::<EntryError>(content) {
        Ok(error) if &*error.run == "not_run" => LoadOutcome::NotRun,
        Ok(error) if &*error.run == "unknown" => LoadOutcome::Unknown,
        _ => LoadOutcome::Failed,
    }
}

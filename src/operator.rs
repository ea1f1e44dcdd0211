//! Client of the operator's HTTP interface.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task;
use futures_util::future::join_all;
use serde::Deserialize;
use thiserror::Error;

use crate::generated::operator::{ChangeReply, ChangeRequest};
use crate::http::{ClientResponse, HeaderList, HttpError, send_request};
use crate::status::SystemStatus;

/// Time for one attempt at one process; a change may wait there until it is in force.
const ATTEMPT_TIME: Duration = Duration::from_secs(25);

/// Time for one process's part of the status.
const STATUS_TIME: Duration = Duration::from_secs(3);

/// Wait before all processes are tried again.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Client that finds the control leader among the given addresses.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    token: Option<Box<str>>,
    limit: Duration,
}

/// Why a request has no outcome.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// No process answered as leader in time.
    #[error("no control leader answered in time; last answer: {0}")]
    NoLeader(Box<str>),
    /// The request may have been carried out.
    #[error("outcome unknown: {0}")]
    Unknown(Box<str>),
    /// The leader refused the request.
    #[error("refused with status {status}: {message}")]
    Refused {
        /// Status of the response.
        status: u16,
        /// Explanation.
        message: Box<str>,
    },
    /// The response cannot be read.
    #[error("the response cannot be read: {0}")]
    Response(#[from] serde_json::Error),
}

#[derive(Deserialize)]
struct ErrorBody {
    error: Box<str>,
}

impl OperatorClient {
    /// Creates a client that gives up after `limit`.
    pub fn new(addresses: Vec<SocketAddr>, token: Option<Box<str>>, limit: Duration) -> Self {
        Self { addresses, token, limit }
    }

    /// Sends a change until its outcome is known; the change id makes resending safe.
    pub async fn change(&self, change: &ChangeRequest) -> Result<ChangeReply, OperatorError> {
        let body = serde_json::to_vec(change)?;
        let response = self.send("PUT", "/settings", &body).await?;
        match response.head.status {
            200 | 403 | 404 | 409 | 422 => match serde_json::from_slice(&response.body) {
                Ok(reply) => Ok(reply),
                Err(_) => Err(refusal(&response)),
            },
            _ => Err(refusal(&response)),
        }
    }

    /// Reads a resource as JSON text.
    pub async fn get(&self, path: &str) -> Result<Vec<u8>, OperatorError> {
        let response = self.send("GET", path, &[]).await?;
        if response.head.status == 200 {
            return Ok(response.body);
        }
        Err(refusal(&response))
    }

    /// Reads the status from the leader, or from any process when there is no leader.
    ///
    /// All processes are asked, because each claim group is known best by its own leader.
    pub async fn status(&self) -> Result<SystemStatus, OperatorError> {
        let limit = self.limit.min(STATUS_TIME);
        let mut asked = Vec::new();
        for address in &self.addresses {
            asked.push(self.send_once(*address, "GET", "/status", &[], limit));
        }
        let mut statuses: Vec<SystemStatus> = Vec::new();
        for response in join_all(asked).await.into_iter().flatten() {
            statuses.push(serde_json::from_slice(&response.body)?);
        }
        let chosen = statuses.iter().position(|status| status.confirmed).unwrap_or(0);
        if statuses.is_empty() {
            return Err(OperatorError::NoLeader("no process answered".into()));
        }
        let mut status = statuses.swap_remove(chosen);
        for other in &statuses {
            status.merge_groups(other);
        }
        status.apply_groups();
        Ok(status)
    }

    async fn send(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<ClientResponse, OperatorError> {
        let deadline = Instant::now() + self.limit;
        let mut offered = false;
        let mut last: Box<str> = "none".into();
        loop {
            for address in &self.addresses {
                let left = deadline.saturating_duration_since(Instant::now());
                let limit = left.min(ATTEMPT_TIME);
                match self.send_once(*address, method, path, body, limit).await {
                    // Not leader, not formed or busy: nothing was changed there.
                    Ok(response) if matches!(response.head.status, 421 | 503) => {
                        last = message_of(&response);
                    }
                    Ok(response) if response.head.status == 504 => {
                        offered = true;
                        last = message_of(&response);
                    }
                    Ok(response) => return Ok(response),
                    Err(error) => {
                        offered = true;
                        last = format!("{address}: {error}").into();
                    }
                }
            }
            if Instant::now() + ROUND_PAUSE >= deadline {
                break;
            }
            task::sleep(ROUND_PAUSE).await;
        }
        if offered && method == "PUT" {
            return Err(OperatorError::Unknown(last));
        }
        Err(OperatorError::NoLeader(last))
    }

    async fn send_once(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<ClientResponse, HttpError> {
        let mut headers = HeaderList::new();
        let _ = headers.append("content-type", b"application/json");
        if let Some(token) = &self.token {
            let value = format!("Bearer {token}");
            let _ = headers.append("authorization", value.as_bytes());
        }
        send_request(address, method, path, headers, body, limit).await
    }
}

fn message_of(response: &ClientResponse) -> Box<str> {
    match serde_json::from_slice::<ErrorBody>(&response.body) {
        Ok(body) => body.error,
        Err(_) => String::from_utf8_lossy(&response.body).trim().into(),
    }
}

fn refusal(response: &ClientResponse) -> OperatorError {
    let status = response.head.status;
    OperatorError::Refused { status, message: message_of(response) }
}

//! Client of the operator interface.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task;
use futures_util::future::join_all;
use serde::Deserialize;
use thiserror::Error;

use crate::generated::operator::{ChangeReply, ChangeRequest};
use crate::http::{ClientResponse, HeaderList, HttpError, send_request};
use crate::status::SystemStatus;

/// Timeout of a request to one process, which may delay its response until a change is in force.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(25);

/// Timeout of a status request to one process.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay after all processes were tried without success.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Client that finds the control leader among the configured addresses.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    token: Option<Box<str>>,
    timeout: Duration,
}

/// Why a request failed.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// No process answered as the leader in time.
    #[error("no control leader answered in time; last answer: {0}")]
    NoLeader(Box<str>),
    /// The request may have been executed.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(Box<str>),
    /// The leader refused the request.
    #[error("refused with status {status}: {message}")]
    Refused {
        /// HTTP status of the response.
        status: u16,
        /// Error message of the response.
        message: Box<str>,
    },
    /// The body of the response is not valid.
    #[error("invalid response: {0}")]
    InvalidResponse(#[from] serde_json::Error),
}

#[derive(Deserialize)]
struct ErrorBody {
    error: Box<str>,
}

impl OperatorClient {
    /// Creates a client whose requests time out after `timeout`.
    pub fn new(addresses: Vec<SocketAddr>, token: Option<Box<str>>, timeout: Duration) -> Self {
        Self { addresses, token, timeout }
    }

    /// Sends a change repeatedly until its outcome is known; the change id makes resending safe.
    pub async fn change(&self, change: &ChangeRequest) -> Result<ChangeReply, OperatorError> {
        let body = serde_json::to_vec(change)?;
        let response = self.send("PUT", "/settings", &body).await?;
        match response.head.status {
            200 | 403 | 404 | 409 | 422 => match serde_json::from_slice(&response.body) {
                Ok(reply) => Ok(reply),
                Err(_) => Err(refused_error(&response)),
            },
            _ => Err(refused_error(&response)),
        }
    }

    /// Returns the JSON text of a resource.
    pub async fn get(&self, path: &str) -> Result<Vec<u8>, OperatorError> {
        let response = self.send("GET", path, &[]).await?;
        if response.head.status == 200 {
            return Ok(response.body);
        }
        Err(refused_error(&response))
    }

    /// Returns the status that the leader reports, or that of any process if there is no leader.
    ///
    /// Queries all processes, because only a claim group's own leader knows how many losses it survives.
    pub async fn status(&self) -> Result<SystemStatus, OperatorError> {
        let timeout = self.timeout.min(STATUS_TIMEOUT);
        let mut queries = Vec::new();
        for address in &self.addresses {
            queries.push(self.send_once(*address, "GET", "/status", &[], timeout));
        }
        let mut statuses: Vec<SystemStatus> = Vec::new();
        for response in join_all(queries).await.into_iter().flatten() {
            statuses.push(serde_json::from_slice(&response.body)?);
        }
        let reported_by_leader = statuses.iter().position(|status| status.confirmed).unwrap_or(0);
        if statuses.is_empty() {
            return Err(OperatorError::NoLeader("no process answered".into()));
        }
        let mut status = statuses.swap_remove(reported_by_leader);
        for other in &statuses {
            status.merge_claim_groups(other);
        }
        status.limit_survivable_losses();
        Ok(status)
    }

    async fn send(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<ClientResponse, OperatorError> {
        let deadline = Instant::now() + self.timeout;
        let mut may_be_applied = false;
        let mut last_error: Box<str> = "none".into();
        loop {
            for address in &self.addresses {
                let remaining = deadline.saturating_duration_since(Instant::now());
                let timeout = remaining.min(ATTEMPT_TIMEOUT);
                match self.send_once(*address, method, path, body, timeout).await {
                    // The process is not the leader, not formed or busy: it has not applied the change.
                    Ok(response) if matches!(response.head.status, 421 | 503) => {
                        last_error = error_message(&response);
                    }
                    Ok(response) if response.head.status == 504 => {
                        may_be_applied = true;
                        last_error = error_message(&response);
                    }
                    Ok(response) => return Ok(response),
                    Err(error) => {
                        may_be_applied = true;
                        last_error = format!("{address}: {error}").into();
                    }
                }
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                break;
            }
            task::sleep(RETRY_DELAY).await;
        }
        if may_be_applied && method == "PUT" {
            return Err(OperatorError::OutcomeUnknown(last_error));
        }
        Err(OperatorError::NoLeader(last_error))
    }

    async fn send_once(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<ClientResponse, HttpError> {
        let mut headers = HeaderList::new();
        let _ = headers.append("content-type", b"application/json");
        if let Some(token) = &self.token {
            let value = format!("Bearer {token}");
            let _ = headers.append("authorization", value.as_bytes());
        }
        send_request(address, method, path, headers, body, timeout).await
    }
}

fn error_message(response: &ClientResponse) -> Box<str> {
    match serde_json::from_slice::<ErrorBody>(&response.body) {
        Ok(body) => body.error,
        Err(_) => String::from_utf8_lossy(&response.body).trim().into(),
    }
}

fn refused_error(response: &ClientResponse) -> OperatorError {
    let status = response.head.status;
    OperatorError::Refused { status, message: error_message(response) }
}

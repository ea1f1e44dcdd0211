//! Error responses that an entry generates itself.

use serde::Serialize;

use crate::http::{HttpError, RequestHead, ResponseHead};

/// What is known about the execution of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No server ran it.
    NotRun,
    /// A server may have run it.
    Unknown,
    /// A server ran it, but the response is not available.
    Run,
}

/// Reason of a refusal or failure; the code is stable and documented in `docs/operators.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// No service matches host and path.
    NoService,
    /// The request is malformed.
    Malformed,
    /// The settings lease has run out.
    SettingsStale,
    /// The process is shutting down.
    Stopping,
    /// The queue of the service is full, or the team has used up its share of the process.
    QueueFull,
    /// The deadline cannot be met or has passed before the request started.
    DeadlineBeforeStart,
    /// The service has no server that may receive work.
    NoServer,
    /// Every attempted server refused the request before execution or could not be reached.
    ServersUnavailable,
    /// A non-idempotent request came without an idempotency key.
    KeyMissing,
    /// The idempotency key is too long or not printable.
    KeyInvalid,
    /// The key was used with another request.
    KeyMismatch,
    /// The claim store is full, or it refused the key or the session of the entry.
    ClaimUnavailable,
    /// The claim may or may not have been granted.
    ClaimUnknown,
    /// The request may have run, and it will not be run again under its key.
    OutcomeUnknown,
    /// The request ran, and its response was too large to be stored.
    AlreadyRun,
    /// The body exceeds the limit for requests that need a claim.
    BodyTooLarge,
    /// The server failed or closed the connection before a whole response head.
    ServerFailed,
    /// The server sent a response that cannot be forwarded safely.
    ServerInvalid,
    /// No response came before the deadline.
    DeadlineExceeded,
    /// The process exits before the outcome is known.
    Interrupted,
}

/// HTTP status, code and run state of each reason.
const FAILURE_TABLE: [(FailureReason, u16, &str, RunState); 20] = [
    (FailureReason::NoService, 404, "no_service", RunState::NotRun),
    (FailureReason::Malformed, 400, "malformed_request", RunState::NotRun),
    (FailureReason::SettingsStale, 503, "settings_stale", RunState::NotRun),
    (FailureReason::Stopping, 503, "stopping", RunState::NotRun),
    (FailureReason::QueueFull, 503, "queue_full", RunState::NotRun),
    (FailureReason::DeadlineBeforeStart, 503, "deadline_unreachable", RunState::NotRun),
    (FailureReason::NoServer, 503, "no_server", RunState::NotRun),
    (FailureReason::ServersUnavailable, 503, "servers_unavailable", RunState::NotRun),
    (FailureReason::KeyMissing, 400, "idempotency_key_missing", RunState::NotRun),
    (FailureReason::KeyInvalid, 400, "idempotency_key_invalid", RunState::NotRun),
    (FailureReason::KeyMismatch, 422, "idempotency_key_reused", RunState::NotRun),
    (FailureReason::ClaimUnavailable, 503, "claim_unavailable", RunState::NotRun),
    (FailureReason::ClaimUnknown, 503, "claim_unknown", RunState::Unknown),
    (FailureReason::OutcomeUnknown, 504, "outcome_unknown", RunState::Unknown),
    (FailureReason::AlreadyRun, 409, "already_run", RunState::Run),
    (FailureReason::BodyTooLarge, 413, "body_too_large", RunState::NotRun),
    (FailureReason::ServerFailed, 502, "server_failed", RunState::Unknown),
    (FailureReason::ServerInvalid, 502, "server_invalid", RunState::Unknown),
    (FailureReason::DeadlineExceeded, 504, "deadline_exceeded", RunState::Unknown),
    (FailureReason::Interrupted, 504, "interrupted", RunState::Unknown),
];

/// Body of an error response.
#[derive(Serialize)]
struct FailureBody<'a> {
    code: &'a str,
    run: RunState,
    message: &'a str,
    request_id: &'a str,
}

impl FailureReason {
    /// All reasons.
    pub const ALL: [Self; FAILURE_TABLE.len()] = {
        let mut reasons = [Self::NoService; FAILURE_TABLE.len()];
        let mut position = 0;
        while position < reasons.len() {
            reasons[position] = FAILURE_TABLE[position].0;
            position += 1;
        }
        reasons
    };

    fn table_row(self) -> &'static (FailureReason, u16, &'static str, RunState) {
        for row in &FAILURE_TABLE {
            if row.0 == self {
                return row;
            }
        }
        unreachable!("FAILURE_TABLE has a row for each reason")
    }

    /// Stable error code.
    pub fn code(self) -> &'static str {
        self.table_row().2
    }

    /// HTTP status of the response.
    pub fn status(self) -> u16 {
        self.table_row().1
    }

    /// Execution state that is reported to the caller.
    pub fn run_state(self) -> RunState {
        self.table_row().3
    }
}

/// Builds the response to a failed request.
pub fn failure_response(
    reason: FailureReason,
    message: &str,
    request_id: &str,
) -> (ResponseHead, Vec<u8>) {
    json_failure(reason.status(), reason.code(), reason.run_state(), message, request_id)
}

/// Builds the response to a malformed request; `None` if the connection can only be closed.
pub fn malformed_response(error: &HttpError, request_id: &str) -> Option<(ResponseHead, Vec<u8>)> {
    let status = error.response_status()?;
    let message = error.to_string();
    Some(json_failure(status, error.code(), RunState::NotRun, &message, request_id))
}

fn json_failure(
    status: u16,
    code: &str,
    run: RunState,
    message: &str,
    request_id: &str,
) -> (ResponseHead, Vec<u8>) {
    let mut head = ResponseHead::new(status);
    let _ = head.headers.append("content-type", b"application/json");
    let _ = head.headers.append("x-request-id", request_id.as_bytes());
    if status == 503 {
        let _ = head.headers.append("retry-after", b"1");
    }
    let body = FailureBody { code, run, message, request_id };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    (head, body)
}

/// Whether the connection stays open after the response: the caller asked for it and the entry is
/// not stopping.
pub fn should_keep_alive(head: &RequestHead, is_stopping: bool) -> bool {
    head.keep_alive() && !is_stopping
}

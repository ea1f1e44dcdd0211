//! HTTP caller that verifies each response it receives.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task::block_on;
use curranthollow::http::{ClientResponse, HeaderList, send_request};
use curranthollow::stand_in::BodyPattern;
use serde_json::Value;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub target: String,
    pub run_id: String,
    pub key: Option<String>,
    pub body: Vec<u8>,
    pub timeout: Duration,
}

/// Result of a call as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Body of the complete response of a server to this request.
    Served(Vec<u8>),
    /// Error response of the entry: HTTP status, error code and whether a server ran the request.
    Failed { status: u16, code: String, run: String },
    /// No complete response: the connection was refused, closed early or timed out.
    Broken(String),
}

impl Call {
    pub fn get(target: &str, run_id: &str) -> Self {
        Self {
            method: "GET",
            target: target.into(),
            run_id: run_id.into(),
            key: None,
            body: Vec::new(),
            timeout: Duration::from_secs(15),
        }
    }

    pub fn post(target: &str, key: &str, body: &str) -> Self {
        let run_id = format!("{key}#0");
        Self {
            method: "POST",
            key: Some(key.into()),
            body: body.into(),
            ..Self::get(target, &run_id)
        }
    }

    /// Copies the call with a run id of its own, so that the servers' run counts distinguish the attempts
    /// that share an idempotency key.
    pub fn attempt(&self, number: usize) -> Self {
        let key = self.key.as_deref().unwrap_or_default();
        Self { run_id: format!("{key}#{number}"), ..self.clone() }
    }

    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    pub fn send(&self, entry: SocketAddr) -> Answer {
        block_on(self.send_async(entry))
    }

    pub async fn send_async(&self, entry: SocketAddr) -> Answer {
        let mut headers = HeaderList::new();
        headers.append("x-run-id", self.run_id.as_bytes()).unwrap();
        if let Some(key) = &self.key {
            headers.append("idempotency-key", key.as_bytes()).unwrap();
        }
        let result =
            send_request(entry, self.method, &self.target, headers, &self.body, self.timeout).await;
        match result {
            Ok(response) => self.check_response(response),
            Err(error) => Answer::Broken(error.to_string()),
        }
    }

    /// Converts the response; panics if it belongs to another request or its body is truncated or wrong.
    fn check_response(&self, response: ClientResponse) -> Answer {
        let status = response.head.status;
        if status != 200 {
            let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
            let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
            return Answer::Failed { status, code: text("code"), run: text("run") };
        }
        if let Some(response_run_id) = response.head.headers.get_str("x-run-id") {
            // A stored response carries the run id of the attempt that was executed.
            let is_own_response = match &self.key {
                Some(key) => response_run_id.split('#').next() == Some(key),
                None => response_run_id == self.run_id,
            };
            assert!(
                is_own_response,
                "{self:?} got the response of another request: {:?}",
                response.head
            );
        }
        if let Some((_, expected_size)) = self.target.split_once("size=") {
            let expected_size: usize = expected_size.split('&').next().unwrap().parse().unwrap();
            assert_eq!(
                response.body.len(),
                expected_size,
                "truncated response reported as complete"
            );
            assert!(
                BodyPattern::new(&self.run_id).matches(&response.body),
                "response body has wrong bytes"
            );
        }
        Answer::Served(response.body)
    }
}

impl Answer {
    pub fn is_served(&self) -> bool {
        matches!(self, Self::Served(_))
    }

    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Failed { run, .. } if run == "not_run")
    }

    pub fn code(&self) -> &str {
        match self {
            Self::Served(_) => "served",
            Self::Failed { code, .. } => code,
            Self::Broken(_) => "broken",
        }
    }
}

//! Caller that checks each response.

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
    pub limit: Duration,
}

/// What the caller learned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Whole response of a server to this request.
    Served(Vec<u8>),
    /// Error response of the entry: status, code and what it says about the run.
    Failed { status: u16, code: String, run: String },
    /// No whole response: connection refused, closed or timed out.
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
            limit: Duration::from_secs(15),
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

    /// Names one attempt, so that the servers' record tells it from others with the same key.
    pub fn attempt(&self, number: usize) -> Self {
        let key = self.key.as_deref().unwrap_or_default();
        Self { run_id: format!("{key}#{number}"), ..self.clone() }
    }

    pub fn limit(mut self, limit: Duration) -> Self {
        self.limit = limit;
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
        let sent =
            send_request(entry, self.method, &self.target, headers, &self.body, self.limit).await;
        match sent {
            Ok(response) => self.judge(response),
            Err(error) => Answer::Broken(error.to_string()),
        }
    }

    /// Panics when the response belongs to another request or is a part passed off as whole.
    fn judge(&self, response: ClientResponse) -> Answer {
        let status = response.head.status;
        if status != 200 {
            let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
            let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
            return Answer::Failed { status, code: text("code"), run: text("run") };
        }
        if let Some(found) = response.head.headers.get_str("x-run-id") {
            // A stored response carries the run id of the attempt that ran.
            let is_own = match &self.key {
                Some(key) => found.split('#').next() == Some(key),
                None => found == self.run_id,
            };
            assert!(is_own, "{self:?} got the response of another request: {:?}", response.head);
        }
        if let Some((_, size)) = self.target.split_once("size=") {
            let size: usize = size.split('&').next().unwrap().parse().unwrap();
            assert_eq!(response.body.len(), size, "part passed off as whole");
            assert!(BodyPattern::new(&self.run_id).matches(&response.body), "other bytes");
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

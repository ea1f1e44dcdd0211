//! Error responses of the operator's HTTP interface of a control process.

use serde::Serialize;
use tide::Response;

use crate::admin::json_response;
use crate::ids::ProcessName;
use crate::schema::SchemaError;

/// Error response to a request of the operator.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The cluster is not formed.
    #[error("the control cluster is not formed yet")]
    Unformed,
    /// Another process leads the settings group, if a name is given.
    #[error("this process does not lead the settings group")]
    NotLeader(Option<ProcessName>),
    /// Nothing was changed, because too many requests wait.
    #[error("too many requests wait; nothing was changed")]
    Busy,
    /// Nothing was changed, because the process stops.
    #[error("this process is stopping; nothing was changed")]
    Stopping,
    /// The change may have been committed.
    #[error("the outcome is unknown; send the same change again to learn it")]
    Unknown,
    /// The change is committed, but some entries may not have installed it.
    #[error("the change is accepted, but not known to be in force everywhere; send it again")]
    NotInForce,
    /// The token does not authorize the request.
    #[error("the token is missing or wrong")]
    Unauthorized,
    /// There is no such branch or service.
    #[error("the branch or service does not exist")]
    NotFound,
    /// The document has an error.
    #[error("the request is invalid: {0}")]
    Invalid(Box<SchemaError>),
    /// The body is not text.
    #[error("the request body is not UTF-8")]
    NotUtf8,
}

/// Body of an error response.
#[derive(Serialize)]
struct ErrorBody {
    error: String,
    leader: Option<ProcessName>,
}

impl OperatorError {
    /// Converts the error to a response.
    pub fn response(self) -> Response {
        let status = match &self {
            Self::Unformed | Self::Busy | Self::Stopping => 503,
            Self::NotLeader(_) => 421,
            Self::Unknown | Self::NotInForce => 504,
            Self::Unauthorized => 403,
            Self::NotFound => 404,
            Self::Invalid(_) | Self::NotUtf8 => 400,
        };
        let error = self.to_string();
        let leader = match self {
            Self::NotLeader(leader) => leader,
            _ => None,
        };
        let mut response = json_response(status, &ErrorBody { error, leader });
        if status == 503 {
            response.insert_header("retry-after", "1");
        }
        response
    }
}

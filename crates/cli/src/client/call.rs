//! One call and its reply.

use std::net::SocketAddr;

use dfs_ids::SubmissionId;
use dfs_wire::api::Answer;
use dfs_wire::api::Failure;
use hyper::Method;
use hyper::StatusCode;
use hyper::body::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::CallError;

/// A request to an entry.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path, from the first slash.
    pub path: String,
    /// Name that the caller gives the submission.
    pub submission: Option<SubmissionId>,
    /// JSON body, empty if there is none.
    pub body: Bytes,
}

impl Call {
    /// `GET path`.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.to_owned(),
            submission: None,
            body: Bytes::new(),
        }
    }

    /// `DELETE path`.
    #[must_use]
    pub fn delete(path: String) -> Self {
        Self {
            method: Method::DELETE,
            path,
            submission: None,
            body: Bytes::new(),
        }
    }

    /// `POST path` with a JSON body.
    pub fn post(path: &str, body: &impl Serialize) -> Result<Self, serde_json::Error> {
        Ok(Self {
            method: Method::POST,
            path: path.to_owned(),
            submission: None,
            body: serde_json::to_vec(body)?.into(),
        })
    }

    /// The same call under a name for the submission.
    #[must_use]
    pub fn named(self, submission: SubmissionId) -> Self {
        Self {
            submission: Some(submission),
            ..self
        }
    }
}

/// A whole response.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The entry that sent it.
    pub entry: SocketAddr,
    /// The status.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
}

impl Reply {
    /// The body of a successful reply; any other reply is an error.
    pub fn accept<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        if self.status.is_success() {
            self.parse()
        } else {
            Err(self.refusal())
        }
    }

    /// The body as JSON of the expected kind, whatever the status.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|_| self.unexpected())
    }

    /// The error that a refusing reply stands for.
    #[must_use]
    pub fn refusal(&self) -> CallError {
        match self.failure() {
            Some(failure) => CallError::Refused {
                entry: self.entry,
                failure: Box::new(failure),
            },
            None => self.unexpected(),
        }
    }

    /// The error of a reply that the interface does not allow here.
    #[must_use]
    pub fn unexpected(&self) -> CallError {
        const EXCERPT_CHARS: usize = 200;
        let text = String::from_utf8_lossy(&self.body);
        CallError::Unexpected {
            entry: self.entry,
            status: self.status.as_u16(),
            excerpt: text.chars().take(EXCERPT_CHARS).collect(),
        }
    }

    fn failure(&self) -> Option<Failure> {
        let answer: Answer = serde_json::from_slice(&self.body).ok()?;
        answer.failure
    }
}

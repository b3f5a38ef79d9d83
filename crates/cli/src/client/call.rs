//! An HTTP call to an entry and its reply.

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

/// An HTTP request that may be sent to any entry; the client adds address and token.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path of the URL, with its leading slash.
    pub path: String,
    /// Name of the submission, sent in a header; `None` for calls that submit nothing.
    pub submission: Option<SubmissionId>,
    /// JSON body; empty for a call without one.
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

    /// Returns the call with a name for the submission that it carries.
    #[must_use]
    pub fn named(self, submission: SubmissionId) -> Self {
        Self {
            submission: Some(submission),
            ..self
        }
    }
}

/// A response that was read to its end.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Address of the entry that sent it.
    pub entry: SocketAddr,
    /// HTTP status; may be that of a refusal.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
}

impl Reply {
    /// Parses the body of a successful reply; returns [`Reply::refusal`] for any other status.
    pub fn accept<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        if self.status.is_success() {
            self.parse()
        } else {
            Err(self.refusal())
        }
    }

    /// Parses the body as JSON, whatever the status.
    ///
    /// # Errors
    ///
    /// [`CallError::Unexpected`] if it does not have the form of `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|_| self.unexpected())
    }

    /// Converts a reply without success into an error: the failure in its body, or
    /// [`CallError::Unexpected`] if it has none.
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

    /// Returns [`CallError::Unexpected`] with the start of the body.
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

//! Reads the body of a request within limits of size, time and memory.

use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use axum::body::Body;
use derive_more::Display;
use dfs_log::ClientLimit;
use http::StatusCode;
use hyper::body::Body as _;

use crate::Account;

/// Memory that is allocated before any byte has arrived.
const MAX_INITIAL_BYTES: u64 = 4 << 10;
/// Frames of a body after which other connections have their turn. A frame may have a single byte.
const FRAMES_PER_TURN: u32 = 64;

/// Why a body could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum BodyError {
    /// The body did not arrive in time.
    #[display("the body did not arrive in time")]
    TimedOut,
    /// The body is larger than allowed.
    #[display("the body is larger than allowed")]
    TooLarge,
    /// Newer requests needed the memory; nothing of the request was executed.
    #[display(
        "the memory for requests is in use, and this one had held some longest without being complete"
    )]
    Evicted,
    /// The connection was closed, or the body is malformed.
    #[display("{_0}")]
    Broken(String),
}

impl std::error::Error for BodyError {}

impl BodyError {
    /// Status of the answer where the interface has no other.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::TimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Evicted => StatusCode::SERVICE_UNAVAILABLE,
            Self::Broken(_) => StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads a body into one contiguous buffer: a list of its parts would hold the whole read buffer of each.
///
/// # Errors
///
/// The body exceeds a limit or is cut off.
pub async fn read_body(
    account: &Account,
    mut body: Body,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Vec<u8>, BodyError> {
    let read = read_frames(account, &mut body, max_bytes);
    let read = tokio::time::timeout(timeout, read).await;
    let result = read.unwrap_or(Err(BodyError::TimedOut));
    let result = result.and_then(|bytes| match account.set_arrived() {
        Ok(()) => Ok(bytes),
        Err(_) => Err(BodyError::Evicted),
    });
    if let Err(error) = &result {
        match error {
            BodyError::TimedOut => account.log_cut_off(ClientLimit::BodyTime),
            BodyError::TooLarge => account.log_cut_off(ClientLimit::BodyBytes),
            BodyError::Evicted => account.log_cut_off(ClientLimit::Memory),
            BodyError::Broken(_) => {}
        }
    }
    result
}

async fn read_frames(
    account: &Account,
    body: &mut Body,
    max_bytes: usize,
) -> Result<Vec<u8>, BodyError> {
    let expected = body.size_hint().lower().min(MAX_INITIAL_BYTES);
    let mut bytes = Vec::with_capacity(usize::try_from(expected).unwrap_or_default());
    let mut frames = 0_u32;
    loop {
        let frame = std::future::poll_fn(|context| {
            if account.is_evicted() {
                return Poll::Ready(Some(Err(BodyError::Evicted)));
            }
            let frame = Pin::new(&mut *body).poll_frame(context);
            frame.map_err(|error| BodyError::Broken(error.to_string()))
        });
        let Some(frame) = frame.await else {
            return Ok(bytes);
        };
        if let Some(data) = frame?.data_ref() {
            if bytes.len() + data.len() > max_bytes {
                return Err(BodyError::TooLarge);
            }
            bytes.extend_from_slice(data);
        }
        frames += 1;
        if frames.is_multiple_of(FRAMES_PER_TURN) {
            tokio::task::yield_now().await;
        }
    }
}

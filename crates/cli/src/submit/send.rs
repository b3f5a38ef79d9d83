//! Sends a submission; repeats it only under a request key and if no task has run.

use std::net::SocketAddr;

use dfs_ids::Millis;
use dfs_wire::api::Answer;
use dfs_wire::api::Failure;

use super::check_answer;
use super::interrupt::Interrupts;
use super::submission::Submission;
use crate::client::CallError;
use crate::client::Client;

/// Sends a submission and returns its checked answer.
///
/// The submission is repeated up to `retries` times while the answer says that no task has run and
/// when to retry. The first interrupt from the terminal cancels the submission and goes on waiting
/// for its final answer; the second one stops waiting. After an interrupt the submission is not
/// repeated.
pub async fn send(
    client: &Client,
    entries: &[SocketAddr],
    submission: &Submission,
    retries: u32,
) -> Result<Answer, CallError> {
    let mut interrupts = Interrupts::listen();
    let mut retries_left = retries;
    loop {
        let answer = send_once(client, entries, submission, &mut interrupts).await?;
        let wait = answer.failure.as_ref().and_then(retry_after);
        let Some(wait) = wait.filter(|_| retries_left > 0 && !interrupts.interrupted()) else {
            return Ok(answer);
        };
        retries_left -= 1;
        tokio::select! {
            () = tokio::time::sleep(wait.into()) => {}
            () = interrupts.next() => return Ok(answer),
        }
    }
}

/// Time to wait before a retry; `None` if a task may have run or the entry does not suggest a
/// retry.
fn retry_after(failure: &Failure) -> Option<Millis> {
    failure.retry_after_ms.filter(|_| failure.not_run)
}

async fn send_once(
    client: &Client,
    entries: &[SocketAddr],
    submission: &Submission,
    interrupts: &mut Interrupts,
) -> Result<Answer, CallError> {
    let exchange = client.send_to_first(entries, &submission.call);
    tokio::pin!(exchange);
    let reply = tokio::select! {
        reply = &mut exchange => reply?,
        () = interrupts.next() => {
            cancel(client, entries, submission).await;
            tokio::select! {
                reply = &mut exchange => reply?,
                () = interrupts.next() => return Err(interrupted(submission)),
            }
        }
    };
    let answer: Answer = reply.parse()?;
    check_answer(
        reply.entry,
        &answer,
        &submission.name,
        submission.task_count,
    )?;
    Ok(answer)
}

/// Cancels the submission; a failure is only printed, as the caller still waits for the final
/// answer.
async fn cancel(client: &Client, entries: &[SocketAddr], submission: &Submission) {
    let result = super::cancel::cancel_at_any(client, entries, &submission.name).await;
    if let Err(error) = result {
        eprintln!("cannot cancel {}: {error}", submission.name);
    }
}

fn interrupted(submission: &Submission) -> CallError {
    CallError::Interrupted {
        submission: submission.name.clone(),
    }
}

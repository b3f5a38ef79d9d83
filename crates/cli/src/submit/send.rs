//! Sends a submission; repeats it only under a request key and after "not run".

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
/// A first interrupt from the terminal cancels the submission, whose final answer still comes; a
/// second one gives up the wait. Nothing is sent again after an interrupt.
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
        let Some(wait) = wait.filter(|_| retries_left > 0 && !interrupts.any()) else {
            return Ok(answer);
        };
        retries_left -= 1;
        tokio::select! {
            () = tokio::time::sleep(wait.into()) => {}
            () = interrupts.next() => return Ok(answer),
        }
    }
}

/// When the failure allows another try: nothing ran and the entry says when to come back.
fn retry_after(failure: &Failure) -> Option<Millis> {
    failure.retry_after_ms.filter(|_| failure.not_run)
}

async fn send_once(
    client: &Client,
    entries: &[SocketAddr],
    submission: &Submission,
    interrupts: &mut Interrupts,
) -> Result<Answer, CallError> {
    let sent = client.send_to_first(entries, &submission.call);
    tokio::pin!(sent);
    let reply = tokio::select! {
        reply = &mut sent => reply?,
        () = interrupts.next() => {
            cancel(client, entries, submission).await;
            tokio::select! {
                reply = &mut sent => reply?,
                () = interrupts.next() => return Err(interrupted(submission)),
            }
        }
    };
    let answer: Answer = reply.parse()?;
    check_answer(reply.entry, &answer, &submission.name, submission.tasks)?;
    Ok(answer)
}

/// A failure is only shown: the final answer of the submission is still on its way.
async fn cancel(client: &Client, entries: &[SocketAddr], submission: &Submission) {
    let cancelled = super::cancel::everywhere(client, entries, &submission.name).await;
    if let Err(error) = cancelled {
        eprintln!("cannot cancel {}: {error}", submission.name);
    }
}

fn interrupted(submission: &Submission) -> CallError {
    CallError::Interrupted {
        submission: submission.name.clone(),
    }
}

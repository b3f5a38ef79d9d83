//! `job` and `request`: send one submission and print its complete answer.

mod cancel;
mod interrupt;
mod name;
mod print;
mod progress;
mod send;
mod submission;

use dfs_ids::Millis;

use crate::cli::JobCommand;
use crate::cli::JobSubmitArgs;
use crate::cli::RequestCommand;
use crate::cli::RequestSendArgs;
use crate::cli::SubmitArgs;
use crate::client::Client;
use crate::error::Error;
use crate::exit::Exit;
use crate::options::EntryOptions;

use self::submission::Submission;

pub use name::random_id;
pub use submission::check_answer;

/// Longest deadline that the default rules allow; used for the client time-out if the submission
/// has no deadline.
const MAX_DEFAULT_DEADLINE: Millis = Millis::new(600_000);
/// Time after the deadline in which the answer of the entry may still arrive.
const ANSWER_GRACE: Millis = Millis::new(10_000);

/// Runs `job`.
pub async fn run_job(command: JobCommand) -> Result<Exit, Error> {
    match command {
        JobCommand::Submit(args) => submit_job(args).await,
        JobCommand::Cancel(args) => cancel::run(args).await,
    }
}

/// Runs `request`.
pub async fn run_request(command: RequestCommand) -> Result<Exit, Error> {
    match command {
        RequestCommand::Send(args) => send_request(args).await,
    }
}

async fn submit_job(args: JobSubmitArgs) -> Result<Exit, Error> {
    let submission = Submission::job(&args)?;
    send_and_print(args.submit, submission).await
}

async fn send_request(args: RequestSendArgs) -> Result<Exit, Error> {
    let submission = Submission::request(&args)?;
    send_and_print(args.submit, submission).await
}

async fn send_and_print(args: SubmitArgs, submission: Submission) -> Result<Exit, Error> {
    let options = EntryOptions::try_from(args.entry)?;
    let deadline = submission.deadline.unwrap_or(MAX_DEFAULT_DEADLINE);
    let client = Client::new(options.token, deadline + ANSWER_GRACE);
    // Repeating is safe only under a request key, and `args.retries` has a default without one too.
    let retries = args.request_key.map_or(0, |_| args.retries);
    let progress = progress::Progress::start(&submission);
    let answer = send::send(&client, &options.entries, &submission, retries).await;
    progress.finish();
    print::print(args.output.output, &answer?)
}

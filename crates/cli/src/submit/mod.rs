//! Jobs and requests: one submission, one whole answer.

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

/// Longest deadline that the default rules allow, for a submission that names none.
const LONGEST_DEADLINE: Millis = Millis::new(600_000);
/// Time that an entry may take beyond the deadline to answer.
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
    settle(args.submit, submission).await
}

async fn send_request(args: RequestSendArgs) -> Result<Exit, Error> {
    let submission = Submission::request(&args)?;
    settle(args.submit, submission).await
}

async fn settle(args: SubmitArgs, submission: Submission) -> Result<Exit, Error> {
    let options = EntryOptions::try_from(args.entry)?;
    let deadline = submission.deadline.unwrap_or(LONGEST_DEADLINE);
    let client = Client::new(options.token, deadline + ANSWER_GRACE);
    // `retries` has a default, so only the key tells whether the caller asked for them.
    let retries = args.request_key.map_or(0, |_| args.retries);
    let progress = progress::Progress::start(&submission);
    let answer = send::send(&client, &options.entries, &submission, retries).await;
    progress.finish();
    print::print(args.output.output, &answer?)
}

//! A submission as it goes to an entry.

use std::net::SocketAddr;
use std::path::Path;

use dfs_ids::Millis;
use dfs_ids::SubmissionId;
use dfs_wire::api::Answer;
use dfs_wire::api::JobRequest;
use dfs_wire::api::Outcome;
use dfs_wire::api::SingleRequest;
use serde::Serialize;
use snafu::ResultExt;
use snafu::ensure;

use super::random_id;
use crate::cli::JobSubmitArgs;
use crate::cli::RequestSendArgs;
use crate::cli::SubmitArgs;
use crate::client::Call;
use crate::client::CallError;
use crate::error::Error;
use crate::error::RenderSnafu;
use crate::input;
use crate::input::InputError;
use crate::input::NoTasksSnafu;

/// One job or request with its name.
#[derive(Debug)]
pub struct Submission {
    /// Name under which it can be cancelled.
    pub name: SubmissionId,
    /// Number of tasks; at least one.
    pub tasks: usize,
    /// Time in which the answer is wanted.
    pub deadline: Option<Millis>,
    /// The call that carries it.
    pub call: Call,
}

impl Submission {
    /// Reads a job; options replace what the file says.
    pub fn job(args: &JobSubmitArgs) -> Result<Self, Error> {
        let mut job = read_job(&args.file)?;
        job.deadline_ms = args.submit.deadline_ms.or(job.deadline_ms);
        job.request_key = args.submit.request_key.clone().or(job.request_key);
        let (tasks, deadline) = (job.tasks.len(), job.deadline_ms);
        Self::new(&args.submit, "/v1/jobs", tasks, deadline, &job)
    }

    /// Reads the body of a request.
    pub fn request(args: &RequestSendArgs) -> Result<Self, Error> {
        let request = SingleRequest {
            service: args.service.clone(),
            body: input::read_json(&args.file)?,
            repeatable: args.repeatable,
            deadline_ms: args.submit.deadline_ms,
            declared_ms: None,
            request_key: args.submit.request_key.clone(),
        };
        Self::new(
            &args.submit,
            "/v1/requests",
            1,
            request.deadline_ms,
            &request,
        )
    }

    fn new(
        args: &SubmitArgs,
        path: &str,
        tasks: usize,
        deadline: Option<Millis>,
        body: &impl Serialize,
    ) -> Result<Self, Error> {
        let name = args.submission.clone();
        let name = name.unwrap_or_else(|| random_id("cli"));
        let call = Call::post(path, body)
            .context(RenderSnafu)?
            .named(name.clone());
        Ok(Self {
            name,
            tasks,
            deadline,
            call,
        })
    }
}

fn read_job(path: &Path) -> Result<JobRequest, InputError> {
    let job: JobRequest = input::read_json(path)?;
    ensure!(!job.tasks.is_empty(), NoTasksSnafu { path });
    Ok(job)
}

/// Checks that an answer is whole, or failed, and belongs to the submission.
pub fn check_answer(
    entry: SocketAddr,
    answer: &Answer,
    expected: &SubmissionId,
    tasks: usize,
) -> Result<(), CallError> {
    if let Some(found) = answer.submission.as_ref().filter(|id| *id != expected) {
        return Err(CallError::WrongSubmission {
            entry,
            expected: expected.clone(),
            found: found.clone(),
        });
    }
    let whole = match answer.outcome {
        Outcome::Complete => answer.results.len() == tasks && answer.failure.is_none(),
        Outcome::Failed => answer.results.is_empty() && answer.failure.is_some(),
    };
    let results = answer.results.len();
    let partial = CallError::Partial {
        entry,
        tasks,
        results,
    };
    if whole { Ok(()) } else { Err(partial) }
}

//! A submission, built from options and an input file, and the check of its answer.

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

/// A job or request that is ready to send.
#[derive(Debug)]
pub struct Submission {
    /// Name for `job cancel`, given with `--submission` or drawn at random.
    pub name: SubmissionId,
    /// Number of tasks; at least one.
    pub task_count: usize,
    /// Time within which the answer is needed, `None` for the default of the entry.
    pub deadline: Option<Millis>,
    /// HTTP call that submits it.
    pub call: Call,
}

impl Submission {
    /// Reads a job; the options of the command line override fields of the file.
    pub fn job(args: &JobSubmitArgs) -> Result<Self, Error> {
        let mut job = read_job(&args.file)?;
        job.deadline_ms = args.submit.deadline_ms.or(job.deadline_ms);
        job.request_key = args.submit.request_key.clone().or(job.request_key);
        let (task_count, deadline) = (job.tasks.len(), job.deadline_ms);
        Self::new(&args.submit, "/v1/jobs", task_count, deadline, &job)
    }

    /// Reads the body of a request; everything else comes from the options.
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
        task_count: usize,
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
            task_count,
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

/// Checks that an answer belongs to the submission and holds either all results or a failure.
pub fn check_answer(
    entry: SocketAddr,
    answer: &Answer,
    expected: &SubmissionId,
    task_count: usize,
) -> Result<(), CallError> {
    if let Some(found) = answer.submission.as_ref().filter(|id| *id != expected) {
        return Err(CallError::WrongSubmission {
            entry,
            expected: expected.clone(),
            found: found.clone(),
        });
    }
    let is_complete_or_failed = match answer.outcome {
        Outcome::Complete => answer.results.len() == task_count && answer.failure.is_none(),
        Outcome::Failed => answer.results.is_empty() && answer.failure.is_some(),
    };
    let results = answer.results.len();
    let partial = CallError::Partial {
        entry,
        tasks: task_count,
        results,
    };
    if is_complete_or_failed {
        Ok(())
    } else {
        Err(partial)
    }
}

//! Sends one submission of the load and checks its answer.

use std::net::SocketAddr;
use std::time::Duration;

use dfs_ids::Millis;
use dfs_ids::SubmissionId;
use dfs_wire::api::Answer;
use dfs_wire::api::JobRequest;
use dfs_wire::api::SingleRequest;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
use tokio::time::Instant;

use super::arrival::Arrival;
use super::mix::ClassLoad;
use super::mix::GroupLoad;
use super::mix::Mix;
use super::mix::Submit;
use super::outcome::End;
use super::outcome::ObservedOutcome;
use crate::client::Call;
use crate::client::CallError;
use crate::client::Client;
use crate::submit::check_answer;

/// Task body understood by the target stand-in.
#[derive(Debug, Serialize)]
struct TaskBody<'a> {
    /// Run time on the target.
    run_ms: Millis,
    /// Text that the target copies into the result; unique per task.
    echo: &'a str,
}

/// The part of a result that the load tool reads; other fields are ignored.
#[derive(Debug, Deserialize)]
struct TaskResult {
    /// Echo text of the task that the result belongs to.
    echo: String,
}

/// A submission ready to be sent, with what its answer is checked against.
#[derive(Debug)]
pub struct PreparedSubmission {
    id: SubmissionId,
    call: Call,
    echoes: Vec<String>,
    ideal: Duration,
}

impl PreparedSubmission {
    /// Builds the call of an arrival; `id` must be unique among all runs.
    #[must_use]
    pub fn new(mix: &Mix, arrival: &Arrival, id: SubmissionId, round_trip: Duration) -> Self {
        let echoes: Vec<String> = (0..arrival.run_times.len())
            .map(|task| format!("{id}/{task}"))
            .collect();
        let group = &mix.groups[arrival.group];
        let class = &mix.classes[arrival.class];
        let call = build_call(group, class, arrival, task_bodies(arrival, &echoes));
        Self {
            call: call.named(id.clone()),
            id,
            echoes,
            ideal: Duration::from(arrival.longest_run_time()) + round_trip,
        }
    }

    /// Sends the call, waits for the answer and checks it.
    pub async fn send(&self, client: &Client, entry: SocketAddr) -> End {
        let sent_at = Instant::now();
        match self.fetch_answer(client, entry).await {
            Ok(answer) => self.check_echoes(&answer, sent_at.elapsed()),
            Err(error) => End::from(&error),
        }
    }

    async fn fetch_answer(&self, client: &Client, entry: SocketAddr) -> Result<Answer, CallError> {
        let reply = client.send(entry, &self.call).await?;
        let answer: Answer = reply.parse()?;
        check_answer(entry, &answer, &self.id, self.echoes.len())?;
        match answer.failure {
            Some(_) => Err(reply.refusal()),
            None => Ok(answer),
        }
    }

    fn check_echoes(&self, answer: &Answer, response: Duration) -> End {
        let mut results = answer.results.iter().zip(&self.echoes);
        if results.all(|(result, echo)| has_echo(result, echo)) {
            let ideal = self.ideal;
            End::Complete { response, ideal }
        } else {
            ObservedOutcome::WrongAnswer.into()
        }
    }
}

fn has_echo(result: &RawValue, echo: &str) -> bool {
    serde_json::from_str::<TaskResult>(result.get()).is_ok_and(|result| result.echo == echo)
}

fn task_bodies(arrival: &Arrival, echoes: &[String]) -> Vec<Box<RawValue>> {
    let tasks = arrival.run_times.iter().zip(echoes);
    tasks
        .map(|(run_ms, echo)| {
            let body = TaskBody {
                run_ms: *run_ms,
                echo,
            };
            serde_json::value::to_raw_value(&body).expect("a task body serialises to JSON")
        })
        .collect()
}

fn build_call(
    group: &GroupLoad,
    class: &ClassLoad,
    arrival: &Arrival,
    mut tasks: Vec<Box<RawValue>>,
) -> Call {
    let service = group.service.clone();
    let call = match class.submit {
        Submit::Job { .. } => Call::post(
            "/v1/jobs",
            &JobRequest {
                service,
                tasks,
                deadline_ms: class.deadline_ms,
                declared_ms: arrival.declared,
                request_key: None,
            },
        ),
        Submit::Request { repeatable } => Call::post(
            "/v1/requests",
            &SingleRequest {
                service,
                body: tasks.swap_remove(0),
                repeatable,
                deadline_ms: class.deadline_ms,
                declared_ms: arrival.declared,
                request_key: None,
            },
        ),
    };
    call.expect("a submission serialises to JSON")
}

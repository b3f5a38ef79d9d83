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
use super::outcome::SeenOutcome;
use crate::client::Call;
use crate::client::CallError;
use crate::client::Client;
use crate::submit::check_answer;

/// Body of a task for the test target.
#[derive(Debug, Serialize)]
struct TaskBody<'a> {
    /// Time that the target takes.
    run_ms: Millis,
    /// Text that the target returns.
    echo: &'a str,
}

/// What the load reads of a result; the target may add more.
#[derive(Debug, Deserialize)]
struct TaskEcho {
    /// The text of the task.
    echo: String,
}

/// A submission that is ready to be sent.
#[derive(Debug)]
pub struct Prepared {
    name: SubmissionId,
    call: Call,
    echoes: Vec<String>,
    ideal: Duration,
}

impl Prepared {
    /// Forms the call of an arrival; `name` is unique among all runs of the load.
    #[must_use]
    pub fn new(mix: &Mix, arrival: &Arrival, name: SubmissionId, round_trip: Duration) -> Self {
        let echoes: Vec<String> = (0..arrival.run_times.len())
            .map(|task| format!("{name}/{task}"))
            .collect();
        let group = &mix.groups[arrival.group];
        let class = &mix.classes[arrival.class];
        let call = call(group, class, arrival, bodies(arrival, &echoes));
        Self {
            call: call.named(name.clone()),
            name,
            echoes,
            ideal: Duration::from(arrival.slowest()) + round_trip,
        }
    }

    /// Sends the call and waits for the answer.
    pub async fn send(&self, client: &Client, entry: SocketAddr) -> End {
        let sent = Instant::now();
        match self.answer(client, entry).await {
            Ok(answer) => self.judge(&answer, sent.elapsed()),
            Err(error) => End::from(&error),
        }
    }

    async fn answer(&self, client: &Client, entry: SocketAddr) -> Result<Answer, CallError> {
        let reply = client.send(entry, &self.call).await?;
        let answer: Answer = reply.parse()?;
        check_answer(entry, &answer, &self.name, self.echoes.len())?;
        match answer.failure {
            Some(_) => Err(reply.refusal()),
            None => Ok(answer),
        }
    }

    fn judge(&self, answer: &Answer, response: Duration) -> End {
        let mut results = answer.results.iter().zip(&self.echoes);
        if results.all(|(result, echo)| has_echo(result, echo)) {
            let ideal = self.ideal;
            End::Complete { response, ideal }
        } else {
            SeenOutcome::WrongAnswer.into()
        }
    }
}

fn has_echo(result: &RawValue, echo: &str) -> bool {
    serde_json::from_str::<TaskEcho>(result.get()).is_ok_and(|found| found.echo == echo)
}

fn bodies(arrival: &Arrival, echoes: &[String]) -> Vec<Box<RawValue>> {
    let tasks = arrival.run_times.iter().zip(echoes);
    tasks
        .map(|(run_ms, echo)| {
            let body = TaskBody {
                run_ms: *run_ms,
                echo,
            };
            serde_json::value::to_raw_value(&body).expect("a task body has a JSON form")
        })
        .collect()
}

fn call(
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
    call.expect("a submission has a JSON form")
}

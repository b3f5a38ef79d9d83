//! Stand-in for a worker of the platform, as PROTOCOL.md describes it under "Running tasks".

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Request;
use crate::http::Response;
use crate::json::Json;
use crate::record::Record;
use crate::store::answer;
use crate::store::object;

/// Longest lease, and time that a stop takes; `holdMaxMs` and `stopMs` of the sheets.
const HOLD_MAX_MS: i128 = 1_000;
const STOP_MS: u64 = 30;
pub const HEARTBEAT_MS: u64 = 1_500;

struct Run {
    number: i128,
    cpu: i128,
    started: Instant,
    ends_at: Instant,
    /// When a stop takes effect.
    stops_at: Option<Instant>,
    how: &'static str,
}

impl Run {
    /// How much of the work is done.
    fn percent(&self) -> i128 {
        let whole = self.ends_at.duration_since(self.started).as_millis().max(1);
        let done = self.started.elapsed().as_millis().min(whole);
        (done * 100 / whole) as i128
    }
}

struct State {
    id: String,
    born: i128,
    booted: Instant,
    sequence: i128,
    token: i128,
    lease_until: i128,
    running: BTreeMap<String, Run>,
    refused_up_to: BTreeMap<String, i128>,
    ended: Vec<Json>,
    forgotten: i128,
}

#[derive(Clone)]
pub struct Worker {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    capacity_cpu: i128,
    labels: Vec<String>,
    zone: String,
    service: String,
    pub address: SocketAddr,
}

impl Worker {
    pub fn start(
        record: &Record,
        id: &str,
        address: SocketAddr,
        zone: &str,
        service: &str,
        capacity_cpu: i128,
        labels: &[&str],
    ) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let state = State {
            id: id.to_owned(),
            born: born.as_millis() as i128,
            booted: Instant::now(),
            sequence: 0,
            token: 0,
            lease_until: 0,
            running: BTreeMap::new(),
            refused_up_to: BTreeMap::new(),
            ended: Vec::new(),
            forgotten: 0,
        };
        let mut worker = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
            capacity_cpu,
            labels: labels.iter().map(|&label| label.to_owned()).collect(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            address,
        };
        let handler = worker.clone();
        worker.address = http::serve(address, move |request| handler.handle(&request))
            .expect("the worker's address is free");
        let clock = worker.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(2));
                clock.end_due_runs();
            }
        });
        worker
    }

    /// Sends heartbeats to an agent until the process ends.
    pub fn beat(&self, agent: SocketAddr) {
        let worker = self.clone();
        std::thread::spawn(move || {
            loop {
                worker.beat_once(agent);
                std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
    }

    fn beat_once(&self, agent: SocketAddr) {
        let (id, body) = {
            let mut state = self.state.0.lock().unwrap();
            state.sequence += 1;
            let labels = self.labels.iter().cloned().map(Json::Text).collect();
            let body = object(vec![
                ("service", Json::Text(self.service.clone())),
                ("address", Json::Text(self.address.to_string())),
                ("zone", Json::Text(self.zone.clone())),
                ("version", Json::Text("v1".to_owned())),
                ("slots", Json::Int(8)),
                ("state", Json::Text("ready".to_owned())),
                ("coldRemainingMs", Json::Int(0)),
                (
                    "capacity",
                    object(vec![
                        ("cpu", Json::Int(self.capacity_cpu)),
                        ("memMb", Json::Int(65_536)),
                        ("gpu", Json::Int(0)),
                    ]),
                ),
                ("labels", Json::List(labels)),
                ("clockMs", Json::Int(state.clock_ms())),
                ("sequence", Json::Int(state.sequence)),
                ("born", Json::Int(state.born)),
            ]);
            (state.id.clone(), body)
        };
        let request = Request {
            method: "POST".to_owned(),
            path: format!("/Instances.Heartbeat/{id}"),
            headers: vec![("Host".to_owned(), agent.to_string())],
            body: body.encode(),
            ..Request::default()
        };
        let _ = http::call(agent, &request, Duration::from_secs(1));
    }

    fn handle(&self, request: &Request) -> Response {
        if let Some(expected) = request.header("Dragonflyshed-Expect-Instance") {
            if expected != self.state.0.lock().unwrap().id {
                return answer(421, object(vec![]));
            }
        }
        let Some(body) = Json::parse(&request.body) else {
            return answer(400, object(vec![]));
        };
        match request.path.as_str() {
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/hold" => self.hold(&body),
            _ => answer(404, object(vec![])),
        }
    }

    fn start_run(&self, body: &Json) -> Response {
        let (Some(task), Some(number), Some(until)) = (
            body.get("task").text(),
            body.get("run").int(),
            body.get("deadlineMs").int(),
        ) else {
            return answer(400, object(vec![]));
        };
        let spec = body.get("spec").text().unwrap_or_default();
        let Some(work) = Work::parse(spec) else {
            return answer(400, object(vec![]));
        };
        let mut state = self.state.0.lock().unwrap();
        if !state.take_token(body) {
            return state.refuse("fence");
        }
        if until <= state.clock_ms() {
            return state.refuse("late");
        }
        state.extend_lease(until);
        if let Some(run) = state.running.get(task) {
            if run.number == number {
                return state.accept();
            }
            return state.refuse("old");
        }
        if state
            .refused_up_to
            .get(task)
            .is_some_and(|up_to| number <= *up_to)
        {
            return state.refuse("old");
        }
        let used: i128 = state.running.values().map(|run| run.cpu).sum();
        if used + work.cpu > self.capacity_cpu {
            return state.refuse("room");
        }
        self.record
            .line(&format!("worker {} starts {task} run {number}", state.id));
        state.running.insert(
            task.to_owned(),
            Run {
                number,
                cpu: work.cpu,
                started: Instant::now(),
                ends_at: Instant::now() + work.time,
                stops_at: None,
                how: work.how,
            },
        );
        state.accept()
    }

    fn stop_run(&self, body: &Json) -> Response {
        let (Some(task), Some(number)) = (body.get("task").text(), body.get("run").int()) else {
            return answer(400, object(vec![]));
        };
        let mut state = self.state.0.lock().unwrap();
        if !state.take_token(body) {
            return state.refuse("fence");
        }
        if let Some(run) = state.running.get_mut(task) {
            if run.number <= number && run.stops_at.is_none() {
                run.stops_at = Some(Instant::now() + Duration::from_millis(STOP_MS));
            }
        }
        let up_to = state.refused_up_to.entry(task.to_owned()).or_default();
        *up_to = number.max(*up_to);
        state.accept()
    }

    fn hold(&self, body: &Json) -> Response {
        let mut state = self.state.0.lock().unwrap();
        if !state.take_token(body) {
            return state.refuse("fence");
        }
        if let Some(until) = body.get("deadlineMs").int() {
            state.extend_lease(until);
        }
        let seen = body.get("lastSeen").int().unwrap_or(0);
        state.forgotten = state.forgotten.max(seen);
        let wait_ms = body.get("waitMs").int().unwrap_or(0).clamp(0, 2_000);
        let until = Instant::now() + Duration::from_millis(wait_ms as u64);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || state.ended.len() as i128 > seen {
                break;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        let running = state.running.iter().map(|(task, run)| {
            Json::List(vec![
                Json::Text(task.clone()),
                Json::Int(run.number),
                Json::Text(String::new()),
                Json::Int(run.percent()),
                Json::Int(run.cpu),
            ])
        });
        let running = running.collect();
        let first = (seen.max(state.forgotten) as usize).min(state.ended.len());
        let ended = state.ended[first..].iter().take(500).cloned().collect();
        answer(
            200,
            object(vec![
                ("clockMs", Json::Int(state.clock_ms())),
                ("born", Json::Int(state.born)),
                ("running", Json::List(running)),
                ("ended", Json::List(ended)),
            ]),
        )
    }

    fn end_due_runs(&self) {
        let now = Instant::now();
        let mut state = self.state.0.lock().unwrap();
        let is_over = state.clock_ms() >= state.lease_until;
        let due = state.running.iter().filter_map(|(task, run)| {
            let how = if now >= run.ends_at {
                run.how
            } else if run.stops_at.is_some_and(|at| now >= at) {
                "stopped"
            } else if is_over {
                "lapsed"
            } else {
                return None;
            };
            Some((task.clone(), run.number, how))
        });
        let due: Vec<_> = due.collect();
        for (task, number, how) in due {
            state.running.remove(&task);
            let up_to = state.refused_up_to.entry(task.clone()).or_default();
            *up_to = number.max(*up_to);
            self.record.line(&format!(
                "worker {} ends {task} run {number} {how}",
                state.id
            ));
            let index = state.ended.len() as i128 + 1;
            state.ended.push(Json::List(vec![
                Json::Int(index),
                Json::Text(task),
                Json::Int(number),
                Json::Text(how.to_owned()),
                Json::Text(String::new()),
            ]));
            self.state.1.notify_all();
        }
    }
}

impl State {
    fn clock_ms(&self) -> i128 {
        self.booted.elapsed().as_millis() as i128
    }

    /// False if the worker has seen a higher token.
    fn take_token(&mut self, body: &Json) -> bool {
        let token = body.get("fencingToken").int().unwrap_or(0);
        let is_taken = token >= self.token;
        self.token = self.token.max(token);
        is_taken
    }

    fn extend_lease(&mut self, until: i128) {
        let longest = self.clock_ms() + HOLD_MAX_MS;
        self.lease_until = self.lease_until.max(until.min(longest));
    }

    fn accept(&self) -> Response {
        answer(200, object(vec![("clockMs", Json::Int(self.clock_ms()))]))
    }

    fn refuse(&self, reason: &str) -> Response {
        answer(
            409,
            object(vec![
                ("clockMs", Json::Int(self.clock_ms())),
                ("reason", Json::Text(reason.to_owned())),
            ]),
        )
    }
}

/// What a task does, from its `spec`: `CPU MS` and how it ends.
struct Work {
    cpu: i128,
    time: Duration,
    how: &'static str,
}

impl Work {
    fn parse(spec: &str) -> Option<Self> {
        let mut words = spec.split_whitespace();
        let cpu = words.next()?.parse().ok()?;
        let time = Duration::from_millis(words.next()?.parse().ok()?);
        let how = match words.next() {
            Some("failed") => "failed",
            _ => "done",
        };
        Some(Self { cpu, time, how })
    }
}

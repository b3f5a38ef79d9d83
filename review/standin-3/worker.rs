//! Workers that guard their capacity.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Client;
use crate::http::Request;
use crate::json::Json;
use crate::json::quoted;
use crate::record::Record;

const HOLD_MAX_MS: u64 = 1_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const STEP: Duration = Duration::from_millis(4);

struct Active {
    run: u64,
    cpu: u64,
    started: Instant,
    work: Duration,
}

struct State {
    token: u64,
    lease_until_ms: u64,
    active: BTreeMap<String, Active>,
    refused_up_to: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
}

pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub cpu: u64,
}

#[derive(Clone)]
pub struct Worker {
    options: Arc<Options>,
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
    born: u128,
    record: Record,
    /// Set once the worker is lost for good.
    is_gone: Arc<AtomicBool>,
}

/// Field `name=NUMBER;` of a task's `spec`.
fn field(spec: &str, name: &str) -> u64 {
    let mut fields = spec.split(';').filter_map(|field| field.split_once('='));
    fields.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

impl Worker {
    pub fn start(options: Options, record: Record) -> std::io::Result<Self> {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let state = State {
            token: 0,
            lease_until_ms: 0,
            active: BTreeMap::new(),
            refused_up_to: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
        };
        let worker = Self {
            options: Arc::new(options),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            started: Instant::now(),
            born: since_epoch.as_millis(),
            record,
            is_gone: Arc::default(),
        };
        let served = worker.clone();
        http::serve(worker.options.address, Arc::clone(&worker.is_gone), move |request| served.handle(&request))?;
        let (steps, beats) = (worker.clone(), worker.clone());
        thread::spawn(move || loop {
            thread::sleep(STEP);
            steps.step();
        });
        thread::spawn(move || beats.send_heartbeats());
        Ok(worker)
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Whether a task runs here that begins with these digits.
    pub fn runs(&self, job: &str) -> bool {
        self.state.0.lock().unwrap().active.keys().any(|task| task.starts_with(job))
    }

    /// The worker is lost for good, with all that runs on it.
    pub fn lose(&self) {
        self.is_gone.store(true, Ordering::Relaxed);
        let mut state = self.state.0.lock().unwrap();
        let tasks: Vec<_> = state.active.keys().cloned().collect();
        self.record.line(&format!("worker {} is lost for good with {} runs", self.options.id, tasks.len()));
        state.active.clear();
    }

    fn send_heartbeats(&self) {
        let options = &self.options;
        let mut client = Client::new(options.control);
        for sequence in 1_u64.. {
            if self.is_gone.load(Ordering::Relaxed) {
                return;
            }
            let body = format!(
                "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\
                 \"capacity\":{{\"cpu\":{},\"memMb\":65536,\"gpu\":0}},\"labels\":[\"a\",\"r1-1\"],\"clockMs\":{},\"sequence\":{sequence},\"born\":{}}}",
                quoted(&options.service), options.address, quoted(&options.zone), options.cpu, self.clock_ms(), self.born
            );
            let path = format!("/Instances.Heartbeat/{}", options.id);
            let answer = client.call("POST", &path, &[], &body, Duration::from_secs(1));
            let is_acked = answer.is_some_and(|(status, _)| status == 200);
            thread::sleep(if is_acked { HEARTBEAT } else { Duration::from_millis(200) });
        }
    }

    /// Ends the runs that are done, and all of them when the lease is over.
    fn step(&self) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let is_lapsed = self.clock_ms() >= state.lease_until_ms;
        let over: Vec<_> = state.active.iter().filter(|(_, run)| is_lapsed || run.started.elapsed() >= run.work).map(|(task, _)| task.clone()).collect();
        for task in over {
            let is_done = state.active[&task].started.elapsed() >= state.active[&task].work;
            self.end(&mut state, &task, if is_done { "done" } else { "lapsed" });
            changed.notify_all();
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(active) = state.active.remove(task) else { return };
        let number = state.next_end;
        state.next_end += 1;
        state.ended.push((number, task.to_owned(), active.run, how));
        let refused = state.refused_up_to.entry(task.to_owned()).or_default();
        *refused = (*refused).max(active.run);
        self.record.line(&format!("worker {} task {task} run {} ends {how}", self.options.id, active.run));
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        if request.header("Dragonflyshed-Expect-Instance").is_some_and(|id| id != self.options.id) {
            return (421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else { return (400, "{}".to_owned()) };
        match request.path.as_str() {
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/hold" => self.hold(&body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn refusal(&self, reason: &str) -> (u16, String) {
        (409, format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", self.clock_ms()))
    }

    /// Checks the generation number and takes the lease of an order.
    fn take_order(&self, state: &mut State, body: &Json) -> Result<(), (u16, String)> {
        let token = body.number("fencingToken").unwrap_or(0.0) as u64;
        if token < state.token {
            return Err(self.refusal("fence"));
        }
        state.token = token;
        let now_ms = self.clock_ms();
        if let Some(until_ms) = body.number("deadlineMs") {
            let until_ms = until_ms as u64;
            if until_ms <= now_ms {
                return Err(self.refusal("late"));
            }
            state.lease_until_ms = state.lease_until_ms.max(until_ms.min(now_ms + HOLD_MAX_MS));
        }
        Ok(())
    }

    fn start_run(&self, body: &Json) -> (u16, String) {
        let (Some(task), Some(run), Some(spec)) = (body.text("task"), body.number("run"), body.text("spec")) else {
            return (400, "{}".to_owned());
        };
        let run = run as u64;
        let (state, _) = &*self.state;
        let mut state = state.lock().unwrap();
        if let Err(refusal) = self.take_order(&mut state, body) {
            return refusal;
        }
        if state.active.get(task).is_some_and(|active| active.run == run) {
            return (200, format!("{{\"clockMs\":{}}}", self.clock_ms()));
        }
        if state.active.contains_key(task) || state.refused_up_to.get(task).is_some_and(|up_to| run <= *up_to) {
            return self.refusal("old");
        }
        let cpu = field(spec, "cpu");
        let used: u64 = state.active.values().map(|active| active.cpu).sum();
        if used + cpu > self.options.cpu {
            return self.refusal("room");
        }
        self.record.line(&format!("worker {} task {task} run {run} starts", self.options.id));
        let work = Duration::from_millis(field(spec, "ms"));
        state.active.insert(task.to_owned(), Active { run, cpu, started: Instant::now(), work });
        (200, format!("{{\"clockMs\":{}}}", self.clock_ms()))
    }

    fn stop_run(&self, body: &Json) -> (u16, String) {
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else { return (400, "{}".to_owned()) };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if let Err(refusal) = self.take_order(&mut state, body) {
            return refusal;
        }
        self.record.line(&format!("worker {} task {task} is told to stop", self.options.id));
        if state.active.get(task).is_some_and(|active| active.run <= run as u64) {
            self.end(&mut state, task, "stopped");
            changed.notify_all();
        }
        let refused = state.refused_up_to.entry(task.to_owned()).or_default();
        *refused = (*refused).max(run as u64);
        (200, format!("{{\"clockMs\":{}}}", self.clock_ms()))
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let number = |name: &str| body.number(name).unwrap_or(0.0) as u64;
        let until = Instant::now() + Duration::from_millis(number("waitMs").min(2_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if let Err(refusal) = self.take_order(&mut state, body) {
            return refusal;
        }
        let last_seen = number("lastSeen");
        state.ended.retain(|(number, ..)| *number > last_seen);
        while state.ended.is_empty() && Instant::now() < until {
            state = changed.wait_timeout(state, until.saturating_duration_since(Instant::now())).unwrap().0;
        }
        let running = state.active.iter().map(|(task, active)| {
            let percent = active.started.elapsed().as_millis() * 100 / active.work.as_millis().max(1);
            format!("[{},{},\"\",{}]", quoted(task), active.run, percent.min(99))
        });
        let running: Vec<_> = running.collect();
        let ended = state.ended.iter().take(500).map(|(number, task, run, how)| format!("[{number},{},{run},\"{how}\",\"\"]", quoted(task)));
        let ended: Vec<_> = ended.collect();
        (200, format!("{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}", self.clock_ms(), self.born, running.join(","), ended.join(",")))
    }
}

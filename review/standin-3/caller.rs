//! A client that hands in one job and waits for its answer.

use std::net::SocketAddr;
use std::time::Duration;

use crate::cell::HOST;
use crate::cell::PREFIX;
use crate::http::Client;
use crate::record::Record;

/// A best-effort job of one step.
#[derive(Clone, Copy)]
pub struct Job {
    pub tasks: u64,
    pub cpu: u64,
    pub work_ms: u64,
    pub spec_bytes: usize,
    /// How long the client waits.
    pub wait_ms: u64,
}

impl Job {
    fn body(&self) -> String {
        let spec = format!("ms={};cpu={};", self.work_ms, self.cpu);
        let padding = "x".repeat(self.spec_bytes.saturating_sub(spec.len()));
        format!(
            "{{\"spec\":\"{spec}{padding}\",\"steps\":[{{\"count\":{},\"cpu\":{},\"memMb\":16,\"estimateMs\":{}}}],\"bestEffort\":true}}",
            self.tasks, self.cpu, self.work_ms
        )
    }

    /// Hands the job in under an id; the status of the answer, `None` without one in time.
    pub fn hand_in(&self, front: SocketAddr, record: &Record, id: u64) -> Option<u16> {
        let path = format!("{PREFIX}{id:016x}");
        let headers = [("Host", HOST.to_owned()), ("Dragonflyshed-Deadline-Ms", self.wait_ms.to_string())];
        record.line(&format!("client POST {path}, {} tasks", self.tasks));
        let wait = Duration::from_millis(self.wait_ms);
        let answer = Client::new(front).call("POST", &path, &headers, &self.body(), wait);
        let status = answer.map(|(status, _)| status);
        record.line(&format!("client POST {path} answered {status:?}"));
        status
    }
}

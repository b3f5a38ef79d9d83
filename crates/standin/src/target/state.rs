//! State that the handlers of a target share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use serde::Deserialize;
use serde::Serialize;

use super::StartLog;
use super::announce::Announcer;
use crate::Faults;
use crate::Mode;

/// How a target treats tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// Runs them.
    #[default]
    Normal,
    /// Starts them and fails them at once.
    Fail,
    /// Runs them this many times longer.
    SlowBy(f64),
    /// Starts them and never answers.
    Silent,
    /// Refuses connections and breaks those that are open.
    Refuse,
}

/// Body of `POST /control` of a target; what is absent stays as it is.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetControl {
    /// New behaviour.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub behaviour: Option<Behaviour>,
    /// Whether it sends heartbeats.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub announcing: Option<bool>,
    /// Whether to tell the agent now that it leaves.
    pub goodbye: bool,
}

/// Shared by all requests of one target.
#[derive(Debug, Clone)]
pub(super) struct TargetState {
    behaviour: Arc<Mutex<Behaviour>>,
    faults: Faults,
    log: StartLog,
    announcer: Announcer,
    running: Arc<Running>,
}

#[derive(Debug, Default)]
struct Running {
    now: AtomicU32,
    max: AtomicU32,
}

/// Counts a task as running until it is dropped.
pub(super) struct RunGuard(Arc<Running>);

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.0.now.fetch_sub(1, Ordering::Relaxed);
    }
}

impl TargetState {
    pub(super) fn new(announcer: Announcer) -> Self {
        Self {
            behaviour: Arc::default(),
            faults: Faults::default(),
            log: StartLog::default(),
            announcer,
            running: Arc::default(),
        }
    }

    pub(super) async fn set_behaviour(&self, behaviour: Behaviour) {
        *self.lock() = behaviour;
        let mode = match behaviour {
            Behaviour::Refuse => Mode::Refuse,
            Behaviour::Normal | Behaviour::Fail | Behaviour::SlowBy(_) | Behaviour::Silent => {
                Mode::Normal
            }
        };
        self.faults.set_mode(mode).await;
    }

    pub(super) fn behaviour(&self) -> Behaviour {
        *self.lock()
    }

    pub(super) const fn faults(&self) -> &Faults {
        &self.faults
    }

    pub(super) const fn log(&self) -> &StartLog {
        &self.log
    }

    pub(super) const fn announcer(&self) -> &Announcer {
        &self.announcer
    }

    pub(super) fn running(&self) -> u32 {
        self.running.now.load(Ordering::Relaxed)
    }

    pub(super) fn max_running(&self) -> u32 {
        self.running.max.load(Ordering::Relaxed)
    }

    /// Counts one more running task.
    pub(super) fn enter(&self) -> RunGuard {
        let now = self.running.now.fetch_add(1, Ordering::Relaxed) + 1;
        self.running.max.fetch_max(now, Ordering::Relaxed);
        RunGuard(Arc::clone(&self.running))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Behaviour> {
        self.behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

//! State shared by the HTTP handlers of a target.

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

/// How a target handles tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// Runs tasks for the time that they ask for.
    #[default]
    Normal,
    /// Logs the start of each task, then fails it at once.
    Fail,
    /// Multiplies the run time of tasks by this factor; a negative factor counts as zero.
    SlowBy(f64),
    /// Logs the start of each task, but never replies.
    Silent,
    /// Refuses new connections and closes open ones.
    Refuse,
}

/// Body of `POST /control` of a target; an absent field leaves its setting unchanged.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetControl {
    /// Behaviour to switch to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub behaviour: Option<Behaviour>,
    /// Whether the target sends heartbeats.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub announcing: Option<bool>,
    /// Tells the agent that the target is shutting down, and stops the heartbeats.
    pub goodbye: bool,
}

/// State of one target; clones share it.
#[derive(Debug, Clone)]
pub(super) struct TargetState {
    behaviour: Arc<Mutex<Behaviour>>,
    faults: Faults,
    log: StartLog,
    announcer: Announcer,
    running: Arc<RunningTasks>,
}

#[derive(Debug, Default)]
struct RunningTasks {
    current: AtomicU32,
    max: AtomicU32,
}

/// Counts one task as running until the guard is dropped.
pub(super) struct RunGuard(Arc<RunningTasks>);

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.0.current.fetch_sub(1, Ordering::Relaxed);
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
        *self.lock_behaviour() = behaviour;
        let mode = match behaviour {
            Behaviour::Refuse => Mode::Refuse,
            Behaviour::Normal | Behaviour::Fail | Behaviour::SlowBy(_) | Behaviour::Silent => {
                Mode::Normal
            }
        };
        self.faults.set_mode(mode).await;
    }

    pub(super) fn behaviour(&self) -> Behaviour {
        *self.lock_behaviour()
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
        self.running.current.load(Ordering::Relaxed)
    }

    pub(super) fn max_running(&self) -> u32 {
        self.running.max.load(Ordering::Relaxed)
    }

    /// Counts one more running task until the guard is dropped.
    pub(super) fn begin_task(&self) -> RunGuard {
        let current = self.running.current.fetch_add(1, Ordering::Relaxed) + 1;
        self.running.max.fetch_max(current, Ordering::Relaxed);
        RunGuard(Arc::clone(&self.running))
    }

    fn lock_behaviour(&self) -> std::sync::MutexGuard<'_, Behaviour> {
        self.behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

//! Estimate of when a task would end on a target: the wait for room there, and then its run time.
//!
//! Placement, admission and refusals use the same estimate. Times are in microseconds, loads are fractions of
//! one target, and rates are loads per microsecond.

use crate::placement::Candidate;

/// Ratio between the run times of neighbouring speed classes.
const CLASS_RATIO: f64 = 1.1;
/// Classes up to this far from the typical one count as typical: run times of a single kind vary that much, so
/// that equal targets would else be told apart by chance.
const TYPICAL_CLASSES: i32 = 2;
/// Factor by which a run time must differ from another one for the difference to matter.
const NOTABLE_RATIO: f64 = 1.2;
/// Fraction of a task's slack that may be lost on a target without making it worse than a less loaded one. The rest
/// is for errors in the expected run time and in the known load.
const EXPENDABLE_SLACK: f64 = 0.5;
/// Multiple of the expected wait that is reckoned with where a wait must not be exceeded. A wait for the first of
/// many independent ends is exceeded twofold with a probability of 14%.
const CAUTIOUS_WAIT: f64 = 2.0;

/// Added to the load of targets on which a task ends too late; above any real load.
const TOO_LATE_LOAD: f64 = 1e3;

/// Run time on a target relative to a typical one, in coarse steps, so that targets of the same speed compare as
/// equal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SpeedClass(i32);

impl SpeedClass {
    /// Class of a measured relative run time.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the logarithm of a finite number is small"
    )]
    pub fn of(relative_run_time: f64) -> Self {
        if !relative_run_time.is_finite() || relative_run_time <= 0.0 {
            return Self::default();
        }
        let class = relative_run_time.log(CLASS_RATIO).round() as i32;
        Self(if class.abs() <= TYPICAL_CLASSES {
            0
        } else {
            class
        })
    }

    /// Run time of the class relative to a typical target.
    #[must_use]
    pub fn relative_run_time(self) -> f64 {
        CLASS_RATIO.powi(self.0)
    }
}

/// What the end of a task on one target depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Place {
    /// Load of the target with the task, 1 when it is full.
    pub load: f64,
    /// Fraction of the target that the task takes.
    pub task_load: f64,
    /// Rate at which a full target releases load.
    pub release_rate: f64,
    /// Expected run time of the task there.
    pub run_us: f64,
    /// Factor by which the run time is longer because the target is away from the task's data; 1 if it is near.
    pub far_factor: f64,
}

impl Place {
    /// Expected time until there is room for the task.
    #[must_use]
    pub fn wait_us(&self) -> f64 {
        let missing = self.load - 1.0;
        // Tolerates rounding in load hints.
        if missing <= 1e-3 {
            0.0
        } else {
            missing / self.release_rate.max(f64::MIN_POSITIVE)
        }
    }

    /// Expected time until the task has ended.
    #[must_use]
    pub fn end_us(&self) -> f64 {
        self.wait_us() + self.run_us
    }
}

/// Whether two run times differ by more than chance.
#[must_use]
pub fn is_notably_longer(run_us: f64, than_us: f64) -> bool {
    run_us > than_us * NOTABLE_RATIO
}

/// Fraction of the slack that is lost by an end later than `first_end_us`; above 1, the task ends too late.
///
/// `left_us` is the time left to the objective; without one, the time lost is compared with the run time.
fn lost_slack(end_us: f64, first_end_us: f64, left_us: Option<f64>) -> f64 {
    let lost_us = end_us - first_end_us;
    if lost_us <= 0.0 {
        return 0.0;
    }
    let slack_us = left_us.map_or(first_end_us, |left_us| left_us - first_end_us);
    lost_us / slack_us.max(1.0)
}

/// Weighs the load of targets with room against when the task would end there.
///
/// The loads of the result are for comparison only. A target on which the task loses half of its slack counts as
/// loaded as a faster one of the same load. With less at stake, the slower target is preferred and fast capacity
/// is kept for other tasks; with more, the faster one. Targets on which the task ends too late come last,
/// those where it ends first before the others. Loads that differ by less than the task itself compare as equal,
/// so that entries with the same view choose different targets. If the run times are about equal, the candidates
/// are returned as they are.
///
/// A longer run away from the data takes capacity that is lost to the pool. So such a target also counts as loaded
/// by the fraction of the run that is lost, unless near targets are `contended` by tasks that must run there.
#[must_use]
pub fn weigh<T: Clone>(
    places: &[(Candidate<T>, Place)],
    left_us: Option<f64>,
    is_near_contended: bool,
) -> Vec<Candidate<T>> {
    let run_times = || places.iter().map(|(_, place)| place.run_us);
    let shortest_us = run_times().fold(f64::INFINITY, f64::min);
    let longest_us = run_times().fold(0.0, f64::max);
    if !is_notably_longer(longest_us, shortest_us) {
        return places.iter().map(|(c, _)| c.clone()).collect();
    }
    let ends = places.iter().map(|(_, place)| place.end_us());
    let first_end_us = ends.fold(f64::INFINITY, f64::min);
    let weighed = |(candidate, place): &(Candidate<T>, Place)| {
        let lost = lost_slack(place.end_us(), first_end_us, left_us);
        let load = if lost > 1.0 {
            TOO_LATE_LOAD + lost
        } else {
            let is_slower = is_notably_longer(place.run_us, shortest_us);
            let lost_capacity = if is_near_contended {
                0.0
            } else {
                1.0 - 1.0 / place.far_factor
            };
            let handicap = if lost_capacity > 0.0 {
                lost + lost_capacity
            } else if is_slower {
                lost - EXPENDABLE_SLACK
            } else {
                0.0
            };
            candidate.load + handicap
        };
        let step = place.task_load.max(f64::MIN_POSITIVE);
        Candidate {
            id: candidate.id.clone(),
            load: (load / step).round() * step,
        }
    };
    places.iter().map(weighed).collect()
}

/// Targets without room on which a task would run for a notably shorter time than on those with room.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Busy {
    /// Rate at which they release load for tasks of this entry.
    pub release_rate: f64,
    /// Load that must be released there before there is room for the task, the task included.
    pub missing: f64,
    /// Mean run time of the task there.
    pub run_us: f64,
}

impl Busy {
    /// Expected wait for room on one of the targets.
    #[must_use]
    pub fn wait_us(&self) -> f64 {
        self.missing / self.release_rate.max(f64::MIN_POSITIVE)
    }
}

/// What the decision to wait is weighed by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stakes {
    /// Time left to the objective of the task, if it has one.
    pub left_us: Option<f64>,
    /// Fraction of a longer run that delays other tasks: 1 if others are waiting for the room, 0 if it
    /// would stay free.
    pub delayed_fraction: f64,
    /// Whether the run is longer because of the place and not of the speed of the target, so that it takes
    /// capacity that the pool would not have spent.
    pub costs_capacity: bool,
}

/// Whether a task should wait for room on busy targets instead of starting now where its run ends after `run_us`.
///
/// It waits if it ends in time only after the wait. If it ends in time either way, it takes a slower target that is
/// free, since nothing is gained for others by leaving that idle; but it waits for a near target if
/// even after a long wait it ends sooner, counting the time that its longer run would take from others.
#[must_use]
pub fn should_wait(run_us: f64, busy: &Busy, stakes: &Stakes) -> bool {
    if busy.release_rate <= 0.0 || !is_notably_longer(run_us, busy.run_us) {
        return false;
    }
    let expected_end_us = busy.wait_us() + busy.run_us;
    let cautious_end_us = CAUTIOUS_WAIT * busy.wait_us() + busy.run_us;
    let is_in_time = |end_us: f64| stakes.left_us.is_none_or(|left_us| end_us <= left_us);
    match (is_in_time(run_us), is_in_time(expected_end_us)) {
        (false, true) => true,
        (true, false) => false,
        (true, true) if !stakes.costs_capacity => false,
        (true, true) if !is_in_time(cautious_end_us) => false,
        (true, true) | (false, false) => {
            let delay_of_others_us = if stakes.costs_capacity {
                stakes.delayed_fraction * (run_us - busy.run_us)
            } else {
                0.0
            };
            cautious_end_us < run_us + delay_of_others_us
        }
    }
}

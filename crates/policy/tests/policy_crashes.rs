//! Which tasks are given up and which queues are contained after crashes of targets.

use dfs_ids::AgentId;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::QueueName;
use dfs_ids::TaskIndex;
use dfs_policy::crashes::CrashTracker;
use dfs_policy::crashes::TaskKey;
use dfs_policy::crashes::Verdict;
use dfs_wire::session::CrashedRun;
use dfs_wire::session::TargetCrash;
use googletest::prelude::*;

const QUOTES: &str = "quotes";
const SLOTS: &str = "slots";
/// Longer than the time after which a suspect is judged.
const JUDGED_MS: u64 = 30;

fn run(job: &str, queue: &str, run_ms: u64) -> CrashedRun {
    CrashedRun {
        job: job.parse().unwrap(),
        task: TaskIndex::new(0),
        queue: Some(queue.parse().unwrap()),
        run_ms: Millis::new(run_ms),
        is_confirmed: true,
        earlier_crashes: 0,
    }
}

fn agent(index: u64) -> AgentId {
    format!("agent-{index}").parse().unwrap()
}

fn queue(name: &str) -> QueueName {
    name.parse().unwrap()
}

struct Scene {
    tracker: CrashTracker,
    now: Moment,
    crashes: u64,
}

impl Scene {
    fn new() -> Self {
        Self {
            tracker: CrashTracker::default(),
            now: Moment::from_millis(1_000),
            crashes: 0,
        }
    }

    fn crash(&mut self, on: u64, runs: &[CrashedRun]) -> Verdict {
        self.crashes += 1;
        let crash = TargetCrash {
            number: self.crashes,
            age_ms: Millis::default(),
            runs: runs.to_vec(),
        };
        let incarnation = Incarnation::new(1);
        self.tracker
            .record_crash(self.now, &agent(on), incarnation, &crash, true)
    }

    fn advance(&mut self, ms: u64) -> Verdict {
        self.now = self.now + Millis::new(ms);
        self.tracker.judge(self.now)
    }

    fn is_given_up(&self, job: &str) -> bool {
        let job = job.parse().unwrap();
        self.tracker.given_up_task(&job).is_some()
    }

    fn is_contained(&self, name: &str) -> bool {
        self.tracker.is_contained(&queue(name))
    }

    /// Two crashes under one task, after which it is given up and its queue contained.
    fn convict(&mut self, job: &str, name: &str, first: u64, second: u64) {
        self.crash(first, &[run(job, name, 10)]);
        self.advance(100);
        self.crash(second, &[run(job, name, 10)]);
        self.advance(JUDGED_MS);
    }
}

#[googletest::test]
fn a_task_that_crashes_a_second_target_after_the_same_work_is_given_up() {
    let mut scene = Scene::new();
    let bystanders = [run("b", SLOTS, 150), run("c", SLOTS, 90)];
    scene.crash(1, &[&bystanders[..], &[run("a", QUOTES, 10)]].concat());
    scene.advance(100);
    let verdict = scene.crash(2, &[run("d", SLOTS, 400), run("a", QUOTES, 12)]);
    expect_that!(verdict.contained, eq(&[queue(QUOTES)]));
    expect_that!(verdict.given_up, is_empty());
    let verdict = scene.advance(JUDGED_MS);
    let key = TaskKey {
        job: "a".parse().unwrap(),
        task: TaskIndex::new(0),
    };
    expect_that!(verdict.given_up, eq(&[(key, 2)]));
    expect_false!(scene.is_given_up("b"));
    expect_false!(scene.is_contained(SLOTS));
}

#[googletest::test]
fn a_task_beside_one_that_had_just_started_is_not_given_up() {
    let mut scene = Scene::new();
    scene.crash(1, &[run("b", SLOTS, 150), run("a", QUOTES, 10)]);
    scene.advance(300);
    scene.crash(2, &[run("b", SLOTS, 140), run("d", QUOTES, 9)]);
    scene.advance(JUDGED_MS);
    expect_false!(scene.is_given_up("b"));
    expect_false!(scene.is_contained(SLOTS));
}

#[googletest::test]
fn a_task_that_ran_alone_is_given_up_whatever_its_run_times() {
    let mut scene = Scene::new();
    scene.crash(1, &[run("a", QUOTES, 10), run("b", SLOTS, 5)]);
    scene.advance(100);
    scene.crash(1, &[run("a", QUOTES, 300)]);
    scene.advance(JUDGED_MS);
    expect_true!(scene.is_given_up("a"));
}

#[googletest::test]
fn targets_that_crash_together_give_no_task_up() {
    let mut scene = Scene::new();
    scene.crash(1, &[run("a", QUOTES, 10)]);
    scene.advance(500);
    scene.crash(2, &[run("a", QUOTES, 10)]);
    scene.advance(2);
    scene.crash(3, &[run("d", SLOTS, 10)]);
    scene.advance(JUDGED_MS);
    expect_false!(scene.is_given_up("a"));
}

#[googletest::test]
fn a_task_that_crashes_targets_in_quick_succession_is_given_up() {
    let mut scene = Scene::new();
    let unconfirmed = CrashedRun {
        is_confirmed: false,
        ..run("a", QUOTES, 2)
    };
    scene.crash(1, &[run("a", QUOTES, 10)]);
    scene.advance(11);
    scene.crash(2, &[unconfirmed]);
    scene.advance(11);
    scene.crash(3, &[run("a", QUOTES, 10)]);
    scene.advance(JUDGED_MS);
    expect_true!(scene.is_given_up("a"));
}

#[googletest::test]
fn a_queue_is_contained_only_briefly_when_a_rack_loses_power() {
    let mut scene = Scene::new();
    scene.crash(1, &[run("a", QUOTES, 10)]);
    scene.advance(500);
    scene.crash(2, &[run("a", QUOTES, 10)]);
    scene.crash(3, &[run("b", SLOTS, 10)]);
    scene.crash(4, &[run("c", SLOTS, 10)]);
    expect_true!(scene.is_contained(QUOTES));
    scene.advance(JUDGED_MS);
    scene.advance(500);
    expect_false!(scene.is_contained(QUOTES));
}

#[googletest::test]
fn a_run_that_the_target_had_not_confirmed_gives_no_task_up() {
    let mut scene = Scene::new();
    let unconfirmed = CrashedRun {
        is_confirmed: false,
        ..run("a", QUOTES, 2)
    };
    scene.crash(1, &[unconfirmed]);
    scene.advance(100);
    scene.crash(2, &[run("a", QUOTES, 10)]);
    scene.advance(JUDGED_MS);
    expect_false!(scene.is_given_up("a"));
    scene.crash(3, &[run("a", QUOTES, 10)]);
    scene.advance(JUDGED_MS);
    expect_true!(scene.is_given_up("a"));
}

#[googletest::test]
fn four_crashes_give_a_task_up_in_any_case() {
    let mut scene = Scene::new();
    for on in 0..4 {
        expect_false!(scene.is_given_up("a"));
        scene.crash(on, &[run("a", QUOTES, 900 * on), run("b", SLOTS, 900 * on)]);
        scene.advance(500);
    }
    expect_true!(scene.is_given_up("a"));
}

#[googletest::test]
fn targets_that_crash_together_three_times_give_no_task_up() {
    let mut scene = Scene::new();
    for on in 0..3 {
        scene.crash(on, &[run("a", QUOTES, 10 + on)]);
        scene.crash(10 + on, &[run("b", QUOTES, 900 * on)]);
        scene.advance(500);
    }
    expect_false!(scene.is_given_up("a"));
}

#[googletest::test]
fn a_queue_that_is_suspected_again_is_contained_for_longer() {
    let mut scene = Scene::new();
    let mut suspect = |job: &str, on| {
        scene.crash(on, &[run(job, QUOTES, 10)]);
        scene.advance(100);
        scene.crash(on + 1, &[run(job, QUOTES, 12)]);
        scene.crash(on + 2, &[run(&format!("{job}-other"), SLOTS, 400)]);
        let mut contained_ms = 0;
        while scene.is_contained(QUOTES) {
            scene.advance(50);
            contained_ms += 50;
        }
        scene.advance(1_000);
        contained_ms
    };
    expect_that!(suspect("a", 0), eq(500));
    expect_that!(suspect("b", 10), eq(1_000));
    expect_that!(suspect("c", 20), eq(2_000));
}

#[googletest::test]
fn crashes_that_are_reported_late_and_out_of_order_count_once_each() {
    let mut scene = Scene::new();
    let second = CrashedRun {
        earlier_crashes: 1,
        ..run("a", QUOTES, 400)
    };
    scene.crash(2, &[second, run("b", SLOTS, 10)]);
    let verdict = scene.crash(1, &[run("a", QUOTES, 10), run("c", SLOTS, 10)]);
    expect_that!(verdict.accused[0].1, eq(2));
    scene.advance(500);
    let last = CrashedRun {
        earlier_crashes: 2,
        ..run("a", QUOTES, 1_500)
    };
    let verdict = scene.crash(3, &[last, run("d", SLOTS, 10)]);
    expect_that!(verdict.accused[0].1, eq(3));
    scene.advance(JUDGED_MS);
    expect_false!(scene.is_given_up("a"));
}

#[googletest::test]
fn a_report_with_extreme_numbers_stops_no_entry() {
    let mut scene = Scene::new();
    for (on, run_ms) in [(1, u64::MAX), (2, 0), (3, u64::MAX)] {
        let extreme = CrashedRun {
            earlier_crashes: u32::MAX,
            ..run("a", QUOTES, run_ms)
        };
        scene.crash(on, &[extreme]);
        scene.advance(JUDGED_MS);
    }
    expect_true!(scene.is_given_up("a"));
}

#[googletest::test]
fn a_crash_that_several_entries_would_count_is_counted_once() {
    let mut scene = Scene::new();
    let crash = TargetCrash {
        number: 1,
        age_ms: Millis::default(),
        runs: vec![run("a", QUOTES, 10)],
    };
    for _ in 0..5 {
        let (now, incarnation) = (scene.now, Incarnation::new(1));
        scene
            .tracker
            .record_crash(now, &agent(1), incarnation, &crash, true);
        scene.advance(JUDGED_MS);
    }
    expect_false!(scene.is_given_up("a"));
}

#[googletest::test]
fn a_queue_is_released_after_clean_runs_once_its_targets_are_back() {
    let mut scene = Scene::new();
    scene.convict("a", QUOTES, 1, 2);
    expect_true!(scene.is_contained(QUOTES));
    for _ in 0..1_000 {
        expect_false!(scene.tracker.record_success(&queue(QUOTES)));
    }
    scene.tracker.record_return(scene.now, &agent(1));
    scene.tracker.record_return(scene.now, &agent(2));
    expect_true!(scene.tracker.record_success(&queue(QUOTES)));
    expect_false!(scene.is_contained(QUOTES));
}

#[googletest::test]
fn a_queue_whose_runs_end_well_between_crashes_needs_more_of_them_to_be_released() {
    let mut scene = Scene::new();
    scene.convict("a", QUOTES, 1, 2);
    for _ in 0..500 {
        scene.tracker.record_success(&queue(QUOTES));
    }
    scene.crash(3, &[run("e", QUOTES, 10)]);
    for on in 1..=3 {
        scene.tracker.record_return(scene.now, &agent(on));
    }
    let mut runs = 1;
    while !scene.tracker.record_success(&queue(QUOTES)) {
        runs += 1;
    }
    expect_that!(runs, ge(1_000));
}

#[googletest::test]
fn a_queue_without_traffic_is_released_after_a_minute() {
    let mut scene = Scene::new();
    scene.convict("a", QUOTES, 1, 2);
    scene.advance(59_000);
    expect_that!(scene.tracker.expire(scene.now), is_empty());
    scene.advance(2_000);
    expect_that!(scene.tracker.expire(scene.now), eq(&[queue(QUOTES)]));
}

#[googletest::test]
fn a_queue_that_was_only_suspected_is_released_when_a_task_of_another_is_given_up() {
    let mut scene = Scene::new();
    scene.crash(1, &[run("b", SLOTS, 10), run("a", QUOTES, 10)]);
    scene.advance(300);
    scene.crash(2, &[run("b", SLOTS, 12)]);
    scene.crash(3, &[run("d", QUOTES, 10)]);
    scene.advance(JUDGED_MS);
    expect_true!(scene.is_contained(SLOTS));
    scene.advance(300);
    scene.crash(4, &[run("a", QUOTES, 10)]);
    let verdict = scene.advance(JUDGED_MS);
    expect_that!(verdict.released, eq(&[queue(SLOTS)]));
    expect_true!(scene.is_contained(QUOTES));
}

#[googletest::test]
fn the_return_of_a_crashed_target_is_expected_after_the_time_that_others_took() {
    let mut scene = Scene::new();
    scene.crash(1, &[run("a", QUOTES, 10)]);
    scene.advance(3_000);
    scene.tracker.record_return(scene.now, &agent(1));
    scene.crash(2, &[run("a", QUOTES, 10)]);
    scene.advance(1_000);
    let agents = [agent(1), agent(2)];
    let expected = scene.tracker.expected_return(scene.now, agents.iter());
    expect_that!(expected, some(eq(Millis::new(2_000))));
}

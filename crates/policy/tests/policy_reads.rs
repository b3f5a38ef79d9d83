//! Reads of a configuration source that falls silent, is slow, loses answers or refuses reads.

use std::collections::BTreeMap;

use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_policy::reads::ReadId;
use dfs_policy::reads::ReadSchedule;
use dfs_policy::reads::ReadScope;
use dfs_policy::reads::ReadTiming;
use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const BOUND_MS: u64 = 2_000;
const RUN_MS: u64 = 30_000;
/// Time between a version and the next one.
const CHANGE_MS: std::ops::Range<u64> = 50..3_000;

/// What the source does to the reads that it has at some time.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Condition {
    Answers,
    /// Reads that it has or gets are never answered.
    Silent,
    /// Answers take this long.
    Slow(u64),
    /// Each answer is lost with this probability.
    LosesAnswers(f64),
    /// Reads fail at once.
    Refuses,
}

#[derive(Debug)]
struct SourceRead {
    sent_ms: u64,
    wait_ms: u64,
    scope: ReadScope,
    after: u64,
    /// When its answer arrives, and the version in it.
    answer: Option<(u64, u64)>,
    is_lost: bool,
}

/// A source under random conditions, and a reader that follows it. One step is a millisecond.
struct Simulation {
    random: SmallRng,
    schedule: ReadSchedule,
    reads: BTreeMap<ReadId, SourceRead>,
    sent_reads: u64,
    /// Versions in all answers.
    read_versions: u64,
    version: u64,
    /// Version that the reader has.
    active: u64,
    /// For each version, when it was confirmed and when it was active.
    confirmed_ms: Vec<u64>,
    active_ms: Vec<u64>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let timing = ReadTiming::within(Millis::new(BOUND_MS));
        Self {
            random: SmallRng::seed_from_u64(seed),
            schedule: ReadSchedule::new(timing, Moment::default()),
            reads: BTreeMap::new(),
            sent_reads: 0,
            read_versions: 0,
            version: 0,
            active: 0,
            confirmed_ms: vec![0],
            active_ms: vec![0],
        }
    }

    fn confirm_version(&mut self, now_ms: u64) {
        self.version += 1;
        self.confirmed_ms.push(now_ms);
        self.active_ms.push(u64::MAX);
    }

    fn step(&mut self, now_ms: u64, condition: Condition) {
        let now = Moment::from_millis(now_ms);
        self.schedule.abandon_old(now);
        let schedule = &self.schedule;
        self.reads.retain(|id, _| schedule.is_open(*id));
        if let Some(read) = self.schedule.start_due(now) {
            self.sent_reads += 1;
            let source_read = SourceRead {
                sent_ms: now_ms,
                wait_ms: read.wait_ms.get(),
                scope: read.scope,
                after: self.active,
                answer: None,
                is_lost: false,
            };
            self.reads.insert(read.id, source_read);
        }
        self.answer_reads(now_ms, condition);
        self.deliver(now_ms, condition);
    }

    fn answer_reads(&mut self, now_ms: u64, condition: Condition) {
        let latency_ms = match condition {
            Condition::Slow(latency_ms) => latency_ms,
            _ => self.random.random_range(1..20),
        };
        for read in self.reads.values_mut() {
            read.is_lost |= condition == Condition::Silent;
            let has_news = self.version > read.after;
            if read.answer.is_none() && (has_news || now_ms >= read.sent_ms + read.wait_ms) {
                read.answer = Some((now_ms + latency_ms, self.version));
                if let Condition::LosesAnswers(probability) = condition {
                    read.is_lost |= self.random.random_bool(probability);
                }
            }
        }
    }

    fn deliver(&mut self, now_ms: u64, condition: Condition) {
        let now = Moment::from_millis(now_ms);
        if condition == Condition::Refuses {
            for id in std::mem::take(&mut self.reads).into_keys() {
                self.schedule.on_failure(now, id);
            }
        }
        let is_due = |read: &SourceRead| {
            !read.is_lost && read.answer.is_some_and(|(at_ms, _)| at_ms <= now_ms)
        };
        while let Some(id) = self
            .reads
            .iter()
            .find(|(_, r)| is_due(r))
            .map(|(id, _)| *id)
        {
            let read = self.reads.remove(&id).unwrap();
            let (_, version) = read.answer.unwrap();
            for active_ms in &mut self.active_ms[..=usize::try_from(version).unwrap()] {
                *active_ms = (*active_ms).min(now_ms);
            }
            let versions = usize::try_from(version.saturating_sub(self.active)).unwrap();
            let versions = match read.scope {
                ReadScope::Changes => versions,
                ReadScope::Full => versions.min(1),
            };
            self.read_versions += versions as u64;
            self.active = self.active.max(version);
            self.schedule.on_versions(now, id, read.scope, versions);
            let schedule = &self.schedule;
            self.reads.retain(|id, _| schedule.is_open(*id));
        }
    }

    /// Runs under conditions that change at random, with versions that are confirmed while the source is not
    /// silent, and returns when the source last was in trouble before or at each millisecond.
    fn run(
        &mut self,
        mut next_condition: impl FnMut(&mut SmallRng) -> (Condition, u64),
    ) -> Vec<u64> {
        let mut last_trouble_ms = 0;
        let mut troubles = Vec::new();
        let (mut condition, mut until_ms) = (Condition::Answers, 1_000);
        let mut change_at_ms = 500;
        for now_ms in 0..RUN_MS {
            if now_ms >= until_ms {
                let (next, duration_ms) = next_condition(&mut self.random);
                (condition, until_ms) = (next, now_ms + duration_ms);
            }
            if condition != Condition::Answers {
                last_trouble_ms = now_ms;
            }
            troubles.push(last_trouble_ms);
            if now_ms >= change_at_ms
                && condition != Condition::Silent
                && now_ms + 2 * BOUND_MS < RUN_MS
            {
                self.confirm_version(now_ms);
                change_at_ms = now_ms + self.random.random_range(CHANGE_MS);
            }
            self.step(now_ms, condition);
        }
        troubles
    }
}

fn random_condition(random: &mut SmallRng) -> (Condition, u64) {
    let condition = match random.random_range(0..8) {
        0..3 => Condition::Answers,
        3..5 => Condition::Silent,
        5 => Condition::Slow(random.random_range(20..3_000)),
        6 => Condition::LosesAnswers(random.random_range(0.1..0.6)),
        _ => Condition::Refuses,
    };
    (condition, random.random_range(1..8_000))
}

#[googletest::test]
fn a_version_is_active_in_time_once_the_source_answers_again() {
    for seed in 1..=100 {
        let mut simulation = Simulation::new(seed);
        let troubles = simulation.run(random_condition);
        for (confirmed_ms, active_ms) in simulation.confirmed_ms.iter().zip(&simulation.active_ms) {
            // The bound holds from the confirmation, or from the end of the trouble that it fell into. Trouble
            // that begins before it is over starts it anew.
            let mut due_ms = confirmed_ms + BOUND_MS;
            while let Some(trouble_ms) = troubles.get(usize::try_from(due_ms).unwrap())
                && trouble_ms + BOUND_MS > due_ms
            {
                due_ms = trouble_ms + BOUND_MS;
            }
            if due_ms < RUN_MS {
                expect_that!(
                    *active_ms,
                    le(due_ms),
                    "seed {seed}, confirmed at {confirmed_ms} ms"
                );
            }
        }
    }
}

#[googletest::test]
fn a_lost_answer_costs_a_part_of_the_bound() {
    let mut simulation = Simulation::new(1);
    for now_ms in 0..10_000 {
        let is_silent = now_ms == 5_000;
        if now_ms == 5_001 {
            simulation.confirm_version(now_ms);
        }
        let condition = if is_silent {
            Condition::Silent
        } else {
            Condition::Answers
        };
        simulation.step(now_ms, condition);
    }
    expect_that!(simulation.active_ms[1] - 5_001, le(BOUND_MS / 4 + 20));
}

#[googletest::test]
fn a_slow_source_is_heard_although_reads_are_repeated_earlier() {
    for answer_ms in [300, 700, 1_500, 3_500] {
        let mut simulation = Simulation::new(answer_ms);
        simulation.run(|_| (Condition::Slow(answer_ms), RUN_MS));
        let delays = simulation.confirmed_ms.iter().zip(&simulation.active_ms);
        let longest_ms = delays
            .map(|(confirmed, active)| active.saturating_sub(*confirmed))
            .max();
        expect_that!(
            longest_ms,
            some(le(answer_ms + BOUND_MS)),
            "answers after {answer_ms} ms"
        );
    }
}

#[googletest::test]
fn reads_of_an_idle_a_silent_or_a_refusing_source_stay_few() {
    for (condition, max_per_bound) in [
        (Condition::Answers, 5),
        (Condition::Silent, 4),
        (Condition::Refuses, 10),
    ] {
        let mut simulation = Simulation::new(1);
        for now_ms in 0..RUN_MS {
            simulation.step(now_ms, condition);
        }
        let bounds = RUN_MS / BOUND_MS;
        expect_that!(
            simulation.sent_reads,
            le(bounds * max_per_bound + 1),
            "{condition:?}"
        );
    }
}

#[googletest::test]
fn versions_in_quick_succession_are_read_whole_and_at_intervals() {
    let mut simulation = Simulation::new(1);
    for now_ms in 0..10_000 {
        if now_ms >= 1_000 && now_ms % 50 == 0 {
            simulation.confirm_version(now_ms);
        }
        simulation.step(now_ms, Condition::Answers);
    }
    // The first answer of a succession has its versions, and then one each tenth of the bound has only the newest.
    let bounds = 10_000 / BOUND_MS;
    expect_that!(simulation.sent_reads, le(bounds * 10 + 3));
    expect_that!(simulation.read_versions, le(bounds * 10 + 6));
    let due = simulation.confirmed_ms.iter().zip(&simulation.active_ms);
    for (confirmed_ms, active_ms) in due.filter(|(confirmed_ms, _)| **confirmed_ms < 9_000) {
        expect_that!(*active_ms, le(confirmed_ms + BOUND_MS / 4));
    }
}

#[googletest::test]
fn a_full_read_from_a_copy_that_lags_behind_is_followed_by_one_of_changes() {
    let timing = ReadTiming::within(Millis::new(BOUND_MS));
    let mut now = Moment::default();
    let mut schedule = ReadSchedule::new(timing, now);
    let mut next_read = |schedule: &mut ReadSchedule| {
        now = schedule.due_at();
        (now, schedule.start_due(now).unwrap())
    };
    let (at, first) = next_read(&mut schedule);
    expect_that!(first.scope, eq(ReadScope::Full));
    schedule.on_versions(at, first.id, first.scope, 1);
    let (at, second) = next_read(&mut schedule);
    expect_that!(second.scope, eq(ReadScope::Changes));
    schedule.on_versions(at, second.id, second.scope, 3);
    let (at, third) = next_read(&mut schedule);
    expect_that!(third.scope, eq(ReadScope::Full));
    schedule.on_lagging_copy(at, third.id);
    let (at, fourth) = next_read(&mut schedule);
    expect_that!(fourth.scope, eq(ReadScope::Changes));
    schedule.on_history_lost(at, fourth.id);
    let (at, fifth) = next_read(&mut schedule);
    expect_that!(fifth.scope, eq(ReadScope::Full));
    schedule.on_lagging_copy(at, fifth.id);
    let (_, sixth) = next_read(&mut schedule);
    expect_that!(sixth.scope, eq(ReadScope::Full));
}

//! Busy time of groups against their shares under overload.

use std::sync::Arc;

use dfs_conf::Config;
use dfs_conf::Group;
use dfs_conf::Rules;

use super::cluster::Cluster;
use super::cluster::Fault;
use super::cluster::Scenario;
use super::cluster::Workload;
use super::config;
use super::mix::MEMBER_DESK;
use super::mix::to_f64;
use super::tally::WINDOW_US;

/// A group, its share, and the part of the capacity that it is owed.
struct Owed {
    workload: Workload,
    share: f64,
    part: f64,
    /// Number of targets that it may use; 0: all.
    targets: u64,
}

/// Windows at the start in which the queues fill.
const SKIPPED_WINDOWS: u64 = 2;
const WINDOWS: u64 = 12;
const LOAD: f64 = 2.0;
const AGENTS: u64 = 11;
const SLOTS: u32 = 8;

fn owed(name: &'static str, share: f64, part: f64, uniform_job: (usize, u64)) -> Owed {
    let work = to_f64(uniform_job.0 as u64 * uniform_job.1);
    Owed {
        workload: Workload {
            name,
            group: name,
            weight: part / work,
            entries: Vec::new(),
            uniform_job: Some(uniform_job),
            service_level: None,
        },
        share,
        part,
        targets: 0,
    }
}

fn scenarios() -> Vec<(&'static str, Vec<Owed>)> {
    const JOB: (usize, u64) = (10, 400_000);
    let mut split = vec![owed("aba", 1.0, 0.5, JOB), owed("onitsha", 1.0, 0.5, JOB)];
    split[0].workload.entries = vec![0];
    split[1].workload.entries = vec![1, 2, 3];
    let limited_part = 3.0 / to_f64(AGENTS);
    let mut limited = vec![
        owed("aba", 1.0, limited_part, JOB),
        owed("onitsha", 1.0, 1.0 - limited_part, JOB),
    ];
    limited[0].targets = 3;
    let mut burst = vec![owed("aba", 1.0, 0.5, JOB), owed("onitsha", 1.0, 0.5, JOB)];
    burst[0].workload.weight *= 10.0;
    vec![
        (
            "shares 1:2:4",
            vec![
                owed("aba", 1.0, 1.0 / 7.0, JOB),
                owed("lagos", 2.0, 2.0 / 7.0, JOB),
                owed("onitsha", 4.0, 4.0 / 7.0, JOB),
            ],
        ),
        (
            "50 ms against 2 s",
            vec![
                owed("aba", 1.0, 0.5, (10, 50_000)),
                owed("onitsha", 1.0, 0.5, (10, 2_000_000)),
            ],
        ),
        (
            "wide against single",
            vec![
                owed("aba", 1.0, 0.5, (200, 400_000)),
                owed("onitsha", 1.0, 0.5, (1, 400_000)),
            ],
        ),
        ("one entry against three", split),
        ("limited to 3 targets", limited),
        ("ten times the other's load", burst),
    ]
}

fn config_of(rules: &Rules, groups: &[Owed]) -> Arc<Config> {
    let mut config = (*config(rules)).clone();
    let template = config.inventory.groups[0].clone();
    let group = |owed: &Owed| Group {
        group: owed.workload.group(),
        share: owed.share,
        targets: (0..owed.targets)
            .map(|t| format!("t{t}").parse().expect("a valid name"))
            .collect(),
        ..template.clone()
    };
    config.inventory.groups = groups.iter().map(group).collect();
    Arc::new(config)
}

/// Prints busy time over the part owed: mean, and the worst window of each group.
pub fn compare(rules: &Rules) {
    for (name, groups) in scenarios() {
        let load = if name.starts_with("ten") { 10.0 } else { LOAD };
        let scenario = Scenario {
            entries: 4,
            agents: AGENTS,
            slots: SLOTS,
            load,
            duration_us: WINDOWS * WINDOW_US,
            seed: 1,
            workloads: groups.iter().map(|owed| owed.workload.clone()).collect(),
            fault: Fault::None,
        };
        let tally = Cluster::new(scenario, MEMBER_DESK, &config_of(rules, &groups)).run();
        println!("\n{name}");
        for owed in &groups {
            let full = to_f64(WINDOW_US * AGENTS * u64::from(SLOTS)) * owed.part;
            let ratios: Vec<f64> = (SKIPPED_WINDOWS..WINDOWS)
                .map(|window| tally.busy_us.get(&(owed.workload.group(), window)))
                .map(|busy| to_f64(busy.copied().unwrap_or_default()) / full)
                .collect();
            let mean = ratios.iter().sum::<f64>() / to_f64(ratios.len() as u64);
            let worst = ratios.iter().copied().fold(f64::INFINITY, f64::min);
            let name = owed.workload.name;
            println!(
                "  {name:10} owed {:.3}: mean {mean:.3}, worst {worst:.3}",
                owed.part
            );
        }
    }
}

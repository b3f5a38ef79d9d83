//! One target of eleven misbehaves.

use dfs_conf::Rules;

use super::cluster::Cluster;
use super::cluster::Fault;
use super::cluster::Scenario;
use super::cluster::Workload;
use super::config;
use super::mix::MEMBER_DESK;
use super::mix::to_f64;
use super::tally::HEADER;

/// Prints response times and what the target has drawn.
pub fn compare(rules: &Rules, load: f64, duration_us: u64) {
    println!(
        "\none target of 11 at {:.0}%\n{:12}{HEADER}",
        load * 100.0,
        ""
    );
    for fault in [
        Fault::None,
        Fault::FailsAll,
        Fault::SlowByTen,
        Fault::Silent,
    ] {
        let scenario = Scenario {
            entries: 4,
            agents: 11,
            slots: 8,
            load,
            duration_us,
            seed: 1,
            workloads: vec![Workload::single()],
            fault,
        };
        let tally = Cluster::new(scenario, MEMBER_DESK, &config(rules)).run();
        let drawn = to_f64(tally.tasks_at_first_agent) / to_f64(tally.tasks);
        let name = format!("{fault:?}");
        println!(
            "{name:12}{}, {drawn:.3} of the tasks there",
            tally.format_row()
        );
    }
}

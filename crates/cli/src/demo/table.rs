//! The table of response times.

use super::job::JobMeasurement;
use crate::output::Table;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Compares the response time of each job with its ideal.
pub fn response_times(measurements: &[JobMeasurement]) -> Table {
    let mut table = Table::of_numbers(&[
        "group",
        "tasks",
        "response ms",
        "ideal ms",
        "response/ideal",
    ]);
    for measurement in measurements {
        let response = measurement.response.as_secs_f64();
        let ideal = measurement.ideal_response().as_secs_f64();
        table.row([
            measurement.job.group.to_owned(),
            measurement.job.tasks.to_string(),
            format!("{:.1}", response * MILLIS_PER_SECOND),
            format!("{:.0}", ideal * MILLIS_PER_SECOND),
            format!("{:.2}", response / ideal),
        ]);
    }
    table
}

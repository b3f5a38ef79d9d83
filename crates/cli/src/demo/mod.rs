//! The demo: runs a whole pool in one process and submits jobs of two groups.

mod error;
mod job;
mod pool;
mod table;

use indicatif::ProgressBar;

pub use error::DemoError;
use job::DEMO_JOBS;
use job::DemoJob;
use job::JobMeasurement;
use pool::Pool;

use crate::error::Error;
use crate::exit::Exit;

/// Starts the pool, submits all jobs concurrently, and prints answers, response times and the
/// number of messages per task.
pub async fn run() -> Result<Exit, Error> {
    let pool = Pool::start().await?;
    println!("{pool}");
    pool.apply_configuration().await?;
    pool.wait_until_ready().await?;
    let progress = ProgressBar::new(DEMO_JOBS.len() as u64);
    let submissions = DEMO_JOBS.iter().zip(0_usize..).map(|(job, n)| {
        let entry_address = pool.entry_address(n);
        let progress = &progress;
        async move {
            let measurement = job.submit(entry_address).await;
            progress.inc(1);
            measurement
        }
    });
    let results = futures::future::join_all(submissions).await;
    progress.finish_and_clear();
    let measurements = results.into_iter().collect::<Result<Vec<_>, _>>()?;
    print_answers(&measurements);
    let messages = pool.messages_per_task().await?;
    println!("\n{}", table::response_times(&measurements));
    println!("\nmessages between processes for each task: {messages:.2}");
    pool.stop().await;
    let all_complete = measurements.iter().all(JobMeasurement::is_complete);
    Ok(if all_complete {
        Exit::Success
    } else {
        Exit::TaskFailed
    })
}

fn print_answers(measurements: &[JobMeasurement]) {
    for measurement in measurements {
        println!("{measurement}");
    }
}

/// Task bodies with the run times of the job, in the form that the target stand-in reads.
fn task_bodies(job: &DemoJob) -> Vec<serde_json::Value> {
    let body = |n: usize| {
        let run_ms = job.run_times_ms[n % job.run_times_ms.len()];
        serde_json::json!({ "run_ms": run_ms, "echo": format!("{}-{n}", job.group) })
    };
    (0..job.tasks).map(body).collect()
}

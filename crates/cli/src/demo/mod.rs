//! The demo: a whole pool embedded in one process, with a mixed job for each of two groups.

mod error;
mod job;
mod pool;
mod table;

use indicatif::ProgressBar;

pub use error::DemoError;
use job::DEMO_JOBS;
use job::DemoJob;
use job::Measured;
use pool::Pool;

use crate::error::Error;
use crate::exit::Exit;

/// Starts the pool, submits the jobs at once, and prints answers and figures.
pub async fn run() -> Result<Exit, Error> {
    let pool = Pool::start().await?;
    println!("{pool}");
    pool.load_inventory().await?;
    pool.wait_until_ready().await?;
    let progress = ProgressBar::new(DEMO_JOBS.len() as u64);
    let running = DEMO_JOBS.iter().zip(0_usize..).map(|(job, n)| {
        let entry = pool.entry(n);
        let progress = &progress;
        async move {
            let measured = job.submit(entry).await;
            progress.inc(1);
            measured
        }
    });
    let measured = futures::future::join_all(running).await;
    progress.finish_and_clear();
    let measured = measured.into_iter().collect::<Result<Vec<_>, _>>()?;
    print_answers(&measured);
    let messages = pool.messages_per_task().await?;
    println!("\n{}", table::of_jobs(&measured));
    println!("\nmessages between processes for each task: {messages:.2}");
    pool.stop().await;
    let whole = measured.iter().all(Measured::is_complete);
    Ok(if whole {
        Exit::Success
    } else {
        Exit::TaskFailed
    })
}

fn print_answers(measured: &[Measured]) {
    for one in measured {
        println!("{one}");
    }
}

/// Bodies of tasks that wait for the given times on the target stand-in.
fn bodies(job: &DemoJob) -> Vec<serde_json::Value> {
    let body = |n: usize| {
        let run_ms = job.run_times_ms[n % job.run_times_ms.len()];
        serde_json::json!({ "run_ms": run_ms, "echo": format!("{}-{n}", job.group) })
    };
    (0..job.tasks).map(body).collect()
}

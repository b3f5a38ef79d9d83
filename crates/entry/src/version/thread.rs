//! A thread on which the configuration is read.

use std::io;
use std::sync::mpsc;
use std::thread;

use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

const THREAD_NAME: &str = "config";

/// Runs a task on a thread and runtime of its own, where it does not wait for requests that are ready. Its connections
/// have to be opened there, too.
///
/// The thread ends with the returned handle's task, and with the runtime of the caller.
pub(crate) fn spawn_on_own_thread(
    task: impl Future<Output = ()> + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let (mut alive, stopped) = oneshot::channel::<()>();
    let (started, start_result) = mpsc::channel();
    let run = move || match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => {
            // The receiver waits for this.
            let _ = started.send(Ok(()));
            runtime.block_on(async {
                tokio::select! {
                    () = task => {}
                    // No value is ever sent, so this is the end of the sender.
                    _ = stopped => {}
                }
            });
        }
        Err(error) => {
            let _ = started.send(Err(error));
        }
    };
    thread::Builder::new()
        .name(THREAD_NAME.to_owned())
        .spawn(run)?;
    // Without a result the thread has panicked.
    start_result.recv().map_err(io::Error::other)??;
    Ok(tokio::spawn(async move { alive.closed().await }))
}

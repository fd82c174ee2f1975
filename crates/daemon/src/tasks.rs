//! Tasks that outlive the request that started them, such as settling a claim.

use std::future::Future;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::task::JoinSet;

/// Tasks of one daemon; dropping the group aborts them at once.
#[derive(Debug, Default)]
pub struct TaskGroup {
    tasks: Mutex<JoinSet<()>>,
}

impl TaskGroup {
    /// Starts `task` and removes finished tasks from the group.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut tasks = self.lock();
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    /// Aborts all tasks at once.
    pub fn abort(&self) {
        self.lock().abort_all();
    }

    /// Waits until all tasks have finished, including those started meanwhile.
    pub async fn finished(&self) {
        loop {
            let mut tasks = std::mem::take(&mut *self.lock());
            if tasks.is_empty() {
                return;
            }
            while tasks.join_next().await.is_some() {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, JoinSet<()>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

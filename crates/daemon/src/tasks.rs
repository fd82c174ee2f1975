//! Tasks that outlive the request that started them, such as settling a claim.

use std::future::Future;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::task::JoinSet;

/// Tasks of one daemon; dropping the group aborts them at once.
#[derive(Debug)]
pub struct TaskGroup {
    /// `None` after [`TaskGroup::abort`].
    tasks: Mutex<Option<JoinSet<()>>>,
}

impl Default for TaskGroup {
    fn default() -> Self {
        Self {
            tasks: Mutex::new(Some(JoinSet::new())),
        }
    }
}

impl TaskGroup {
    /// Starts `task` and removes finished tasks from the group. Drops `task` after
    /// [`TaskGroup::abort`].
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut group = self.lock();
        let Some(tasks) = group.as_mut() else {
            return;
        };
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    /// Aborts all tasks at once and starts no further ones.
    ///
    /// Connections end a little later than the daemon that owns them. A request that one of them
    /// starts meanwhile would refer to the daemon's parts and keep them, and itself, running.
    pub fn abort(&self) {
        let tasks = self.lock().take();
        drop(tasks);
    }

    /// Waits until all tasks have finished, including those started meanwhile.
    pub async fn finished(&self) {
        loop {
            let mut tasks = self.lock().as_mut().map(std::mem::take).unwrap_or_default();
            if tasks.is_empty() {
                return;
            }
            while tasks.join_next().await.is_some() {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<JoinSet<()>>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    // Guards against a request that starts while its daemon is dropped, and then runs on.
    #[tokio::test]
    async fn a_task_started_after_the_abort_is_dropped() {
        let group = TaskGroup::default();
        group.abort();
        let (sender, receiver) = tokio::sync::oneshot::channel::<()>();
        group.spawn(async move {
            std::future::pending::<()>().await;
            drop(sender);
        });
        let ended = tokio::time::timeout(Duration::from_secs(1), receiver).await;
        assert!(matches!(ended, Ok(Err(_))), "the task still runs");
        group.finished().await;
    }
}

//! The end of a task without which a process can't work.

use std::fmt;

/// How an essential task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// It panicked.
    Panicked,
    /// It returned, or its runtime was shut down.
    Ended,
    /// It still exists, but has done nothing for too long.
    Hung,
}

/// An essential task has ended while its process was meant to go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskFailure {
    /// Name of the task.
    pub task: &'static str,
    /// How it ended.
    pub end: TaskEnd,
}

impl fmt::Display for TaskFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let end = match self.end {
            TaskEnd::Panicked => "panicked",
            TaskEnd::Ended => "ended",
            TaskEnd::Hung => "does nothing",
        };
        write!(f, "the task {:?} {end}", self.task)
    }
}

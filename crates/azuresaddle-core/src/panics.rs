//! Reports panics in the log.

use std::panic::{PanicHookInfo, set_hook, take_hook};
use std::sync::atomic::{AtomicU64, Ordering};

static COUNT: AtomicU64 = AtomicU64::new(0);

/// Logs and counts every panic of the process from now on, besides what the present hook does.
///
/// The runtime catches a panic of a task, so the process goes on. By default only standard error tells of it.
pub fn log_panics() {
    let hook = take_hook();
    set_hook(Box::new(move |info| {
        COUNT.fetch_add(1, Ordering::Relaxed);
        log(info);
        hook(info);
    }));
}

/// Number of panics since [`log_panics`] was called.
pub fn panic_count() -> u64 {
    COUNT.load(Ordering::Relaxed)
}

fn log(info: &PanicHookInfo<'_>) {
    let thread = std::thread::current();
    let location = info.location().map(ToString::to_string);
    tracing::error!(
        part = "node",
        thread = thread.name(),
        location,
        reason = message(info),
        "panicked"
    );
}

fn message<'a>(info: &'a PanicHookInfo<'_>) -> Option<&'a str> {
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str))
}

#[cfg(test)]
mod tests;

use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use super::{log_panics, panic_count};

/// Keeps what is written to it.
#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a task that ends without a trace in the log.
#[test]
fn a_panic_is_logged_and_counted() {
    let log = Buffer::default();
    let writer = log.clone();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_writer(move || writer.clone())
        .finish();
    log_panics();
    let before = panic_count();
    let task = move || tracing::subscriber::with_default(subscriber, || panic!("no {}", "room"));
    let thread = std::thread::Builder::new().name("control".to_owned());
    assert!(thread.spawn(task).unwrap().join().is_err());
    assert!(panic_count() > before);
    let text = String::from_utf8(log.0.lock().unwrap().clone()).unwrap();
    for part in ["panicked", "no room", "control", "panics/tests.rs"] {
        assert!(text.contains(part), "{part}: {text}");
    }
}

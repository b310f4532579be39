//! Output of results to standard output.

use std::io::Write;

/// Prints a line. Errors are ignored, so that a closed pipe does not end the process.
pub(crate) fn print_line(text: impl AsRef<str>) {
    let _ = writeln!(std::io::stdout(), "{}", text.as_ref());
}

/// Prints text without a line break and flushes it.
pub(crate) fn print_text(text: &str) {
    let mut out = std::io::stdout();
    let _ = out.write_all(text.as_bytes());
    let _ = out.flush();
}

/// Prints a value as indented JSON.
pub(crate) fn print_json<T: serde::Serialize>(value: &T) -> anyhow::Result<()> {
    print_line(serde_json::to_string_pretty(value)?);
    Ok(())
}

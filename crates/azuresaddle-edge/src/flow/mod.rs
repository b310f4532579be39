//! Flow of bytes on connections: whether the peer takes what is written, and how much is read at a time.

mod metered_stream;
#[cfg(test)]
mod tests;
mod write_progress;

pub(crate) use metered_stream::MeteredStream;
pub(crate) use write_progress::WriteProgress;

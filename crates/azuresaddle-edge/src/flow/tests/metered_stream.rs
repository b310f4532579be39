//! Tests of the record of writes that a peer does not take.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};
use tokio::time::Instant;

use crate::flow::{MeteredStream, WriteProgress};

const STALL: Duration = Duration::from_secs(1);

/// Guards against a peer that reads slowly but steadily and is taken for one that has stopped.
#[tokio::test(start_paused = true)]
async fn a_peer_that_takes_some_bytes_is_not_stalled() {
    let (near, mut far) = duplex(100);
    let progress = WriteProgress::default();
    let mut stream = MeteredStream::new(near, progress.clone());
    tokio::spawn(async move { stream.write_all(&[0; 1000]).await });
    let began = Instant::now();
    let reader = async {
        for _ in 0..10 {
            tokio::time::sleep(Duration::from_millis(900)).await;
            far.read_exact(&mut [0; 50]).await.unwrap();
        }
    };
    tokio::join!(progress.until_stalled(STALL), reader);
    assert_eq!(began.elapsed(), Duration::from_secs(10));
    assert_eq!(progress.written(), 600);
}

/// Guards against a request that is reported as not run although its head is taken later.
#[tokio::test(start_paused = true)]
async fn nothing_is_written_after_close() {
    let (near, mut far) = duplex(100);
    let progress = WriteProgress::default();
    let mut stream = MeteredStream::new(near, progress.clone());
    let write = tokio::spawn(async move { stream.write_all(&[0; 1000]).await });
    progress.until_stalled(STALL).await;
    assert!(!progress.close_if_written(99));
    assert!(progress.close_if_written(100));
    let mut read = Vec::new();
    far.read_to_end(&mut read).await.unwrap();
    assert_eq!(read.len(), 100);
    assert!(write.await.unwrap().is_err());
}

/// Guards against a read buffer of the HTTP library that grows with the speed of the peer.
#[tokio::test(start_paused = true)]
async fn one_read_returns_less_than_the_first_read_buffer() {
    let (near, mut far) = duplex(100_000);
    far.write_all(&[0; 50_000]).await.unwrap();
    let mut stream = MeteredStream::new(near, WriteProgress::default());
    let mut buf = vec![0; 50_000];
    assert_eq!(stream.read(&mut buf).await.unwrap(), 8191);
}

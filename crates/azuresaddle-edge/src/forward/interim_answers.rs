//! Limits the interim answers (status 1xx) to one request, which the library reads and drops.

use std::sync::atomic::{AtomicUsize, Ordering};

use hyper::Request;
use tokio_util::sync::CancellationToken;

use super::attempt::SendFailure;

/// Most interim answers to one request; several times what targets send.
const MAX_INTERIM_ANSWERS: usize = 16;

/// Counts the interim answers to one request.
pub(super) struct InterimAnswers {
    too_many: CancellationToken,
}

impl InterimAnswers {
    /// Starts to count the interim answers to a request that is about to be sent.
    pub(super) fn count<B>(req: &mut Request<B>) -> Self {
        let too_many = CancellationToken::new();
        let count = AtomicUsize::new(0);
        let limit = too_many.clone();
        hyper::ext::on_informational(req, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_ANSWERS {
                limit.cancel();
            }
        });
        Self { too_many }
    }

    /// Waits until there are too many, and returns the failure.
    pub(super) async fn too_many(&self) -> SendFailure {
        self.too_many.cancelled().await;
        SendFailure::Broken("too many interim answers".to_owned())
    }
}

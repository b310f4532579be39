//! Moving average of the time that a target takes to answer.

use std::time::Duration;

/// Weight of the latest answer in the moving average.
const LATEST_WEIGHT: f64 = 0.2;

/// Multiple of the usual answer time from which an answer is slow.
const SLOW_FACTOR: f64 = 4.0;

/// Number of requests to other targets, divided by the number of targets, after which an average without a new answer has lost
/// half of its weight. The division gives a slow target the same share of the requests among few targets and among many.
const HALF_LIFE_REQUESTS: f64 = 8.0;

/// Moving average of a target's answer time.
///
/// It loses weight while other targets get the requests: the target must get some, since only an answer can show that it is no
/// longer slow.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerTime {
    mean_ms: Option<f64>,
    /// Requests to other targets since the target last answered or failed, each divided by the number of targets.
    passed_over: f64,
}

impl AnswerTime {
    /// Records an answer and the time that it took.
    pub(super) fn on_answer(&mut self, took: Duration) {
        let ms = as_ms(took);
        let earlier_weight = (1.0 - LATEST_WEIGHT) * self.weight();
        let mean_ms = self.mean_ms.unwrap_or(ms);
        self.mean_ms = Some(ms + (mean_ms - ms) * earlier_weight);
        self.passed_over = 0.0;
    }

    /// Records a send without an answer. The target was tried, so the average regains its full weight.
    pub(super) fn on_no_answer(&mut self) {
        self.passed_over = 0.0;
    }

    /// Records a request that went to another one of `targets`.
    pub(super) fn on_passed_over(&mut self, targets: usize) {
        self.passed_over += 1.0 / targets as f64;
    }

    /// Whether an answer took much longer than usual.
    pub(super) fn is_slow(&self, took: Duration) -> bool {
        let usual_ms = self.mean_ms;
        usual_ms.is_some_and(|usual| as_ms(took) > SLOW_FACTOR * usual)
    }

    /// Average in milliseconds; `None` before the first answer.
    pub(super) fn mean_ms(&self) -> Option<f64> {
        self.mean_ms
    }

    /// Weight of the average, from 1 just after an answer down to 0.
    pub(super) fn weight(&self) -> f64 {
        (-self.passed_over / HALF_LIFE_REQUESTS).exp2()
    }
}

fn as_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

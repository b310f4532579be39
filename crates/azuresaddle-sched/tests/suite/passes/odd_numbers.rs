//! Numbers that no engine, target or caller should state.

use azuresaddle_core::bounded_time::MAX_DURATION;
use azuresaddle_core::bounded_tokens::MAX_TOKENS;
use azuresaddle_core::deployment::{EngineSpec, RateLimit};
use proptest::prelude::*;
use proptest::sample::select;

use super::*;

/// The usual number, or any other.
fn number(usual: f64) -> impl Strategy<Value = f64> {
    let odd = [
        0.0,
        -1.0,
        1e-300,
        1e22,
        1e300,
        f64::MAX,
        f64::INFINITY,
        f64::NAN,
    ];
    prop_oneof![4 => Just(usual), 1 => select(odd.to_vec()), 1 => any::<f64>()]
}

fn tokens() -> impl Strategy<Value = u64> {
    prop_oneof![
        4 => select(vec![0, 1, 3000, 60_000, 300_000, 600_000]),
        1 => select(vec![1 << 32, MAX_TOKENS]),
        1 => 0..MAX_TOKENS,
    ]
}

fn time() -> impl Strategy<Value = Duration> {
    let usual = [0, 1, 300, 3000, 12_000].map(Duration::from_millis);
    prop_oneof![
        4 => select(usual.to_vec()),
        1 => Just(MAX_DURATION),
        1 => (0..MAX_DURATION.as_millis() as u64).prop_map(Duration::from_millis),
    ]
}

prop_compose! {
    fn odd_spec()(
        slots in prop_oneof![Just(16), Just(0), Just(u32::MAX)],
        memory_tokens in prop_oneof![Just(450_000), Just(0), Just(MAX_TOKENS)],
        steps_per_pass in prop_oneof![Just(46), Just(0), Just(u32::MAX)],
        step_ms in number(0.925),
        step_ms_per_stream in number(0.00483),
        step_ms_per_1k_context in number(0.00254),
        prefill_tokens_per_ms in number(256.0),
        attention_ms_per_1m_pairs in number(0.0917),
        max_prefill_tokens_per_step in prop_oneof![Just(2048), Just(0), Just(u32::MAX)],
        helper_hop_ms in number(0.1),
    ) -> EngineSpec {
        EngineSpec {
            slots,
            memory_tokens,
            steps_per_pass,
            step_ms,
            step_ms_per_stream,
            step_ms_per_1k_context,
            prefill_tokens_per_ms,
            attention_ms_per_1m_pairs,
            max_prefill_tokens_per_step,
            helper_hop_ms,
            ..spec()
        }
    }
}

#[derive(Clone, Debug)]
enum Input {
    Request {
        prompt_tokens: u64,
        answer_tokens: u64,
        first_event_in: Duration,
        pause: Duration,
        give_up_in: Duration,
        time_left: Duration,
    },
    FirstEvent(u64),
    Ended(u64, StreamOutcome),
    Pace(usize, f64),
    Limit(usize, f64),
    Specification(EngineSpec),
    Pause(Duration),
}

fn request_input() -> impl Strategy<Value = Input> {
    let all = (tokens(), tokens(), time(), time(), time(), time());
    all.prop_map(
        |(prompt_tokens, answer_tokens, first, pause, give_up, left)| Input::Request {
            prompt_tokens,
            answer_tokens,
            first_event_in: first,
            pause,
            give_up_in: give_up,
            time_left: left,
        },
    )
}

fn input() -> impl Strategy<Value = Input> {
    let outcome = prop_oneof![
        Just(StreamOutcome::Done),
        Just(StreamOutcome::TargetFailed(name(0))),
        time().prop_map(|time| StreamOutcome::TargetBacksOff {
            target: name(1),
            time
        }),
    ];
    prop_oneof![
        6 => request_input(),
        2 => (0..20u64).prop_map(Input::FirstEvent),
        2 => (0..20u64, outcome).prop_map(|(n, outcome)| Input::Ended(n, outcome)),
        1 => (0..4usize, number(1.0)).prop_map(|(n, factor)| Input::Pace(n, factor)),
        1 => (0..4usize, number(1.9)).prop_map(|(n, rate)| Input::Limit(n, rate)),
        1 => odd_spec().prop_map(Input::Specification),
        4 => time().prop_map(Input::Pause),
    ]
}

fn apply(pool: &mut PassPool, now: Instant, number: u64, input: Input) {
    match input {
        Input::Request {
            prompt_tokens,
            answer_tokens,
            first_event_in,
            pause,
            give_up_in,
            time_left,
        } => pool.enqueue(
            now,
            PlacementRequest {
                answer_tokens,
                first_event_by: now + first_event_in,
                pause,
                give_up_at: now + give_up_in,
                deadline: now + time_left,
                ..request(now, number, prompt_tokens)
            },
        ),
        Input::FirstEvent(n) => pool.on_first_event(now, id(n)),
        Input::Ended(n, outcome) => pool.end(now, id(n), &outcome),
        Input::Pace(n, factor) => pool.on_pace(now, &name(n), factor),
        Input::Limit(n, rate) => {
            let limit = RateLimit::per_second(rate);
            pool.set_rate_limits(now, |id| limit.as_ref().filter(|_| *id == name(n)));
        }
        Input::Specification(spec) => pool.set_spec(&spec),
        Input::Pause(_) => {}
    }
}

proptest! {
    /// Guards against an owner that ends at a quotient of numbers in a configuration, a request or an answer.
    #[test]
    fn no_number_ends_the_placement(
        spec in odd_spec(),
        engines in 0..4usize,
        (admission, forecast, check_pauses) in any::<(bool, bool, bool)>(),
        inputs in proptest::collection::vec(input(), 1..40),
    ) {
        let mut now = Instant::now();
        let options = PassOptions { admission, forecast, check_pauses, ..PassOptions::default() };
        let mut pool = pool_with(now, engines, options);
        pool.set_spec(&spec);
        for (number, input) in (0..).zip(inputs) {
            if let Input::Pause(time) = &input {
                now += *time;
            }
            apply(&mut pool, now, number, input);
            pool.dispatch(now);
            let _ = (pool.take_decisions(), pool.take_pace_probes(now), pool.load(now));
            if let Some(next) = pool.next_wakeup(now) {
                now = next;
                pool.dispatch(now);
            }
        }
    }
}

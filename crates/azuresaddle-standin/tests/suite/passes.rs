//! Loads replayed in virtual time: what each idea of the pool brings.

use azuresaddle_standin::passes::{EngineModel, PassPolicy, Placers, Sheet, play_day};

/// Mean worth of a few days; of one with so many requests that its figure is steady.
fn worth(sheet: &Sheet, policy: PassPolicy) -> f64 {
    let seeds = if sheet.engines > 100 { 1 } else { 4 };
    let days = (1..=seeds).map(|seed| play_day(sheet, policy, seed).worth);
    days.sum::<f64>() / seeds as f64
}

#[tokio::test(start_paused = true)]
async fn the_pool_beats_baselines_and_itself_without_its_ideas() {
    let sheet = Sheet::sabarmati(0.82);
    let pool = worth(&sheet, PassPolicy::Pool);
    assert!(pool > 0.86, "{pool}");
    for (policy, least_gain) in [
        (PassPolicy::LeastBacklog, 0.2),
        (PassPolicy::Random, 0.3),
        (PassPolicy::NoPacking, 0.03),
        (PassPolicy::NoPauseCheck, 0.1),
        (PassPolicy::NoSplit, 0.1),
    ] {
        let other = worth(&sheet, policy);
        let name = policy.name();
        assert!(pool - other > least_gain, "{name}: {other}, pool: {pool}");
    }
}

#[tokio::test(start_paused = true)]
async fn changes_of_the_owner_cost_little() {
    let mut sheet = Sheet::aguaclara(1.0);
    let calm = worth(&sheet, PassPolicy::Pool);
    sheet.troubles.add("owner-changes");
    let changing = worth(&sheet, PassPolicy::Pool);
    assert!(changing > calm - 0.03, "{changing} against {calm}");
}

#[tokio::test(start_paused = true)]
async fn slow_engines_are_found_by_overdue_events() {
    let mut sheet = Sheet::aguaclara(0.82);
    sheet.troubles.add("slow-engines");
    let pool = worth(&sheet, PassPolicy::Pool);
    let blind = worth(&sheet, PassPolicy::NoPace);
    assert!(pool > blind + 0.1, "{pool} against {blind}");
}

#[tokio::test(start_paused = true)]
async fn an_account_that_floods_leaves_the_others_most_of_their_worth() {
    let mut sheet = Sheet::sabarmati(0.82);
    sheet.troubles.add("flood");
    let pool = worth(&sheet, PassPolicy::Pool);
    let without = worth(&sheet, PassPolicy::NoShares);
    assert!(pool > without + 0.1, "{pool} against {without}");
}

#[tokio::test(start_paused = true)]
async fn under_the_highest_load_early_refusal_serves_more() {
    let sheet = Sheet::aguaclara(1.0);
    let pool = worth(&sheet, PassPolicy::Pool);
    let holding = worth(&sheet, PassPolicy::HoldAll);
    assert!(pool > holding + 0.01, "{pool} against {holding}");
}

/// More quick questions than the engines have slots for, on engines and lengths of each sheet.
#[tokio::test(start_paused = true)]
async fn a_crowd_of_short_prompts_is_refused_at_once_rather_than_held() {
    for name in Sheet::NAMES {
        let mut sheet = Sheet::named(name, 1.0).expect("a sheet of that name");
        sheet.troubles.add("quick-burst");
        sheet.troubles.add("few-engines");
        let pool = worth(&sheet, PassPolicy::Pool);
        let holding = worth(&sheet, PassPolicy::HoldCrowds);
        assert!(pool > holding + 0.04, "{name}: {pool} against {holding}");
    }
}

#[tokio::test(start_paused = true)]
async fn without_a_crowd_nothing_is_refused_for_one() {
    for name in Sheet::NAMES {
        let sheet = Sheet::named(name, 0.8).expect("a sheet of that name");
        let pool = worth(&sheet, PassPolicy::Pool);
        let holding = worth(&sheet, PassPolicy::HoldCrowds);
        assert!((pool - holding).abs() < 0.01, "{name}: {pool}, {holding}");
    }
}

/// Other shapes than any sheet: fewer or more engines, other lengths, other pauses.
#[tokio::test(start_paused = true)]
async fn the_ideas_pay_on_other_shapes_too() {
    for (engines, length, pause) in [(9, 0.6, 2.0), (28, 1.5, 1.0), (40, 0.8, 0.8)] {
        let mut sheet = Sheet::surf(0.8);
        let times = f64::from(engines) / sheet.engines as f64;
        sheet.engines = engines as usize;
        for kind in &mut sheet.kinds {
            kind.prompt_tokens *= length;
            kind.max_prompt_tokens *= length;
            // Long prompts cost by the square of their length.
            kind.per_s *= times / (length * length);
            kind.pause_ms *= pause;
        }
        let pool = worth(&sheet, PassPolicy::Pool);
        for policy in [
            PassPolicy::NoSplit,
            PassPolicy::NoPauseCheck,
            PassPolicy::LeastBacklog,
        ] {
            let other = worth(&sheet, policy);
            let name = policy.name();
            assert!(
                pool > other + 0.02,
                "{engines}: {name} {other}, pool {pool}"
            );
        }
    }
}

/// The large sheet with a trouble, and who places.
fn large(placers: Placers, trouble: Option<&str>) -> Sheet {
    let mut sheet = Sheet::large(0.82);
    sheet.placers = placers;
    if let Some(trouble) = trouble {
        sheet.troubles.add(trouble);
    }
    sheet
}

/// A long prompt wants many engines at once, which a small pool seldom has free.
#[tokio::test(start_paused = true)]
async fn one_owner_brings_more_than_pools_while_owners_answer() {
    let one = worth(&large(Placers::One, None), PassPolicy::Pool);
    for placers in [Placers::Pools(5), Placers::Domains] {
        let pools = worth(&large(placers, None), PassPolicy::Pool);
        assert!(one > pools + 0.01, "{placers:?}: {pools}, one owner: {one}");
    }
}

/// What the choice of one owner rests on: that its silence is short.
#[tokio::test(start_paused = true)]
async fn a_silence_of_an_owner_costs_little_while_it_is_short() {
    let calm = worth(&large(Placers::One, None), PassPolicy::Pool);
    let short = worth(&large(Placers::One, Some("short-stalls")), PassPolicy::Pool);
    assert!(short > calm - 0.03, "{short} against {calm}");
    let long = large(Placers::One, Some("long-stalls"));
    let pools = large(Placers::Pools(3), Some("long-stalls"));
    let (long, pools) = (
        worth(&long, PassPolicy::Pool),
        worth(&pools, PassPolicy::Pool),
    );
    assert!(long < calm - 0.1 && pools > long + 0.05, "{long}, {pools}");
}

#[tokio::test(start_paused = true)]
async fn two_owners_at_a_time_do_bounded_harm() {
    let calm = worth(&large(Placers::One, None), PassPolicy::Pool);
    let split = worth(&large(Placers::One, Some("split-owner")), PassPolicy::Pool);
    assert!(split > calm - 0.08, "{split} against {calm}");
}

#[tokio::test(start_paused = true)]
async fn the_same_seed_gives_the_same_day() {
    let sheet = Sheet::sabarmati(1.0);
    let [one, other] = [0, 1].map(|_| play_day(&sheet, PassPolicy::Pool, 7));
    assert_eq!(one.worth, other.worth);
    assert_eq!(one.kinds[2].on_time, other.kinds[2].on_time);
}

#[test]
fn a_pass_reads_what_waits_and_writes_one_event_a_stream() {
    let spec = Sheet::sabarmati(1.0).spec;
    let mut engine = EngineModel::new(spec.clone(), 1.0);
    engine.add_writer(1, 5000, 92);
    engine.add_read(2, 51_200, 2, true);
    // 46 steps of 0.925 ms, and half of 51,200 tokens: 100 ms and the pairs.
    let pairs_ms = 51.2 * 51.2 / 2.0 * spec.attention_ms_per_1m_pairs / 2.0;
    let expected = 46.0 * (0.925 + 0.00483 + 0.00254 * 5.0) + 100.0 + pairs_ms;
    let took = engine.begin_pass().unwrap();
    assert!((took - expected).abs() < 0.5, "{took} against {expected}");
    let end = engine.end_pass();
    assert_eq!((end.events, end.read), (vec![(1, false)], vec![2]));
    engine.begin_pass().unwrap();
    assert_eq!(engine.end_pass().events, [(1, true)]);
    assert!(engine.begin_pass().is_none());
}

/// A request that ends each engine it runs on comes three times a second for twelve seconds. Sent on and on it takes
/// most of the day along, since the streams of other callers end with each engine.
#[tokio::test(start_paused = true)]
async fn a_request_that_ends_its_engines_costs_the_others_little() {
    let mut sheet = Sheet::sabarmati(0.6);
    let calm = worth(&sheet, PassPolicy::Pool);
    sheet.troubles.add("crashing-request");
    let pool = worth(&sheet, PassPolicy::Pool);
    let without = worth(&sheet, PassPolicy::NoQuarantine);
    assert!(pool > calm - 0.1, "{pool} against {calm}");
    assert!(pool > without + 0.4, "{pool} against {without}");
}

/// The engines on which short streams are packed limit their rate, alone and while the placing node changes or stalls.
#[tokio::test(start_paused = true)]
async fn limits_of_engines_hold_and_cost_little_where_others_have_room() {
    for name in Sheet::NAMES {
        for beside in ["", "owner-changes", "short-stalls", "split-owner"] {
            let mut sheet = Sheet::named(name, 0.6).expect("a sheet of that name");
            sheet.troubles.add(beside);
            let free = play_day(&sheet, PassPolicy::Pool, 1).worth;
            sheet.troubles.add("limited-engines");
            let limited = play_day(&sheet, PassPolicy::Pool, 1);
            let use_ = limited.limit_use;
            assert!(use_ > 0.0 && use_ <= 1.0, "{name}, {beside}: {use_}");
            let worth = limited.worth;
            assert!(
                worth > free - 0.2,
                "{name}, {beside}: {worth} against {free}"
            );
        }
    }
}

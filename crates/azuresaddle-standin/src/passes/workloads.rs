//! Workloads of the users' deployments.

use azuresaddle_core::deployment::EngineSpec;

use super::demand_shape::DemandShape;
use super::faults::Faults;
use super::pool_layout::PoolLayout;
use super::workload::{RequestKind, Workload};

impl Workload {
    /// Quick questions, reviews and digests on 18 engines.
    pub fn sabarmati(load: f64) -> Self {
        Self {
            name: "sabarmati",
            engines: 18,
            spec: default_engine(),
            kinds: default_kinds([39.5, 2.87, 1.19]),
            load,
            shape: DemandShape::Phases,
            length_s: 34.0,
            domains: 3,
            pool_layout: PoolLayout::Single,
            faults: Faults::default(),
        }
    }

    /// Summaries, reviews and dossiers on 14 engines.
    pub fn aguaclara(load: f64) -> Self {
        Self {
            name: "aguaclara",
            engines: 14,
            spec: default_engine(),
            kinds: default_kinds([30.7, 2.23, 0.922]),
            load,
            shape: DemandShape::Phases,
            length_s: 34.0,
            domains: 3,
            pool_layout: PoolLayout::Single,
            faults: Faults::default(),
        }
    }

    /// Briefings, summaries and archives on 14 engines with slower prefill and less memory.
    pub fn surf(load: f64) -> Self {
        Self {
            name: "surf",
            engines: 14,
            spec: surf_engine(),
            kinds: surf_kinds(),
            load,
            shape: DemandShape::Phases,
            length_s: 34.0,
            domains: 3,
            pool_layout: PoolLayout::Single,
            faults: Faults::default(),
        }
    }

    /// Questions, reviews and digests on 150 engines in five failure domains.
    pub fn large(load: f64) -> Self {
        let mut kinds = default_kinds([217.0, 23.2, 5.32]);
        let answers = [(24.3, 250.0), (14.6, 600.0), (12.2, 1000.0)];
        for (kind, (events, pause_ms)) in kinds.iter_mut().zip(answers) {
            kind.events = events;
            kind.max_events = events * 2.5;
            kind.pause_ms = pause_ms;
        }
        kinds[0].worth = 1.4;
        kinds[0].late_worth = 0.34;
        kinds[1].worth = 2.3;
        kinds[1].late_worth = 0.58;
        kinds[2].prompt_tokens = 300_000.0;
        kinds[2].first_event_ms = 4000.0;
        kinds[2].worth = 26.0;
        kinds[2].late_worth = 6.6;
        Self {
            name: "large",
            engines: 150,
            spec: EngineSpec {
                slots: 10,
                steps_per_pass: 73,
                ..default_engine()
            },
            kinds,
            load,
            shape: DemandShape::Phases,
            length_s: 34.0,
            domains: 5,
            pool_layout: PoolLayout::Single,
            faults: Faults::default(),
        }
    }

    /// Questions, reviews and digests on 78 engines, with phases of mostly short and mostly long
    /// prompts directly after one another.
    pub fn contention(load: f64) -> Self {
        let engine = EngineSpec {
            slots: 12,
            memory_tokens: 382_500,
            steps_per_pass: 52,
            mean_answer_tokens: 1638,
            ..default_engine()
        };
        let answers = [
            (33.0, 200.0, 1.4, 0.34),
            (20.0, 500.0, 2.6, 0.66),
            (16.0, 800.0, 30.0, 7.5),
        ];
        let mut kinds = alternating_kinds([117.0, 10.7, 3.2], answers);
        kinds[2].prompt_tokens = 300_000.0;
        kinds[2].first_event_ms = 4000.0;
        Self::alternating("contention", 78, engine, kinds, load)
    }

    /// Questions, reviews and digests on 45 engines with half the memory, with phases as in
    /// [`Self::contention`].
    pub fn uneven(load: f64) -> Self {
        let engine = EngineSpec {
            slots: 12,
            memory_tokens: 197_200,
            steps_per_pass: 48,
            step_ms: 1.02,
            prefill_tokens_per_ms: 206.0,
            mean_answer_tokens: 1638,
            ..default_engine()
        };
        let answers = [
            (31.0, 250.0, 1.8, 0.18),
            (18.0, 600.0, 2.4, 0.61),
            (15.0, 1000.0, 7.3, 2.8),
        ];
        let mut kinds = alternating_kinds([56.0, 6.6, 2.35], answers);
        kinds[0].first_event_ms = 250.0;
        kinds[2].prompt_tokens = 190_000.0;
        kinds[2].first_event_ms = 6000.0;
        Self::alternating("uneven", 45, engine, kinds, load)
    }

    fn alternating(
        name: &'static str,
        engines: usize,
        spec: EngineSpec,
        kinds: Vec<RequestKind>,
        load: f64,
    ) -> Self {
        Self {
            name,
            engines,
            spec,
            kinds,
            load,
            shape: DemandShape::Alternation,
            // Two phases of each kind after two seconds of the mean mix.
            length_s: 41.0,
            domains: 3,
            pool_layout: PoolLayout::Single,
            faults: Faults::default(),
        }
    }

    /// Names of all workloads.
    pub const NAMES: [&'static str; 6] = [
        "sabarmati",
        "aguaclara",
        "surf",
        "large",
        "contention",
        "uneven",
    ];

    /// Returns the workload of a name, or `None` if there is none.
    pub fn named(name: &str, load: f64) -> Option<Self> {
        match name {
            "sabarmati" => Some(Self::sabarmati(load)),
            "aguaclara" => Some(Self::aguaclara(load)),
            "surf" => Some(Self::surf(load)),
            "large" => Some(Self::large(load)),
            "contention" => Some(Self::contention(load)),
            "uneven" => Some(Self::uneven(load)),
            _ => None,
        }
    }
}

fn surf_engine() -> EngineSpec {
    EngineSpec {
        slots: 16,
        memory_tokens: 315_000,
        steps_per_pass: 51,
        step_ms: 0.85,
        step_ms_per_stream: 0.00425,
        step_ms_per_1k_context: 0.00285,
        prefill_tokens_per_ms: 177.0,
        attention_ms_per_1m_pairs: 0.184,
        max_prefill_tokens_per_step: 2048,
        helper_hop_ms: 0.05,
        report_lag: std::time::Duration::from_millis(200),
        mean_answer_tokens: 1622,
    }
}

fn surf_kinds() -> Vec<RequestKind> {
    let mut kinds = default_kinds([28.7, 1.45, 0.88]);
    for (kind, (events, pause_ms)) in
        kinds
            .iter_mut()
            .zip([(32.9, 250.0), (19.7, 600.0), (16.5, 1000.0)])
    {
        kind.events = events;
        kind.max_events = events * 2.5;
        kind.pause_ms = pause_ms;
    }
    kinds[1].worth = 4.2;
    kinds[1].late_worth = 1.0;
    kinds[2].prompt_tokens = 154_000.0;
    kinds[2].max_prompt_tokens = 700_000.0;
    kinds[2].worth = 21.0;
    kinds[2].late_worth = 5.2;
    kinds
}

/// The default kinds with other rates and with events, longest pause in milliseconds, worth and late
/// worth of each kind's answers, for phases of mostly long and of mostly short prompts.
fn alternating_kinds(
    requests_per_s: [f64; 3],
    answers: [(f64, f64, f64, f64); 3],
) -> Vec<RequestKind> {
    let mut kinds = default_kinds(requests_per_s);
    for (kind, (events, pause_ms, worth, late_worth)) in kinds.iter_mut().zip(answers) {
        kind.events = events;
        kind.max_events = events * 2.5;
        kind.pause_ms = pause_ms;
        kind.worth = worth;
        kind.late_worth = late_worth;
    }
    kinds[0].phases = [0.3, 2.5, 0.3];
    kinds[2].phases = [2.9, 0.05, 2.9];
    kinds
}

fn default_engine() -> EngineSpec {
    EngineSpec {
        slots: 16,
        memory_tokens: 450_000,
        steps_per_pass: 46,
        step_ms: 0.925,
        step_ms_per_stream: 0.00483,
        step_ms_per_1k_context: 0.00254,
        prefill_tokens_per_ms: 256.0,
        attention_ms_per_1m_pairs: 0.0917,
        max_prefill_tokens_per_step: 2048,
        helper_hop_ms: 0.1,
        report_lag: std::time::Duration::from_millis(200),
        mean_answer_tokens: 1540,
    }
}

fn default_kinds(requests_per_s: [f64; 3]) -> Vec<RequestKind> {
    vec![
        RequestKind {
            name: "quick",
            requests_per_s: requests_per_s[0],
            prompt_tokens: 4960.0,
            prompt_spread: 0.9,
            max_prompt_tokens: 23_800.0,
            events: 34.9,
            events_spread: 0.7,
            max_events: 87.2,
            first_event_ms: 300.0,
            pause_ms: 200.0,
            deadline_ms: 10_000.0,
            worth: 1.3,
            late_worth: 0.33,
            phases: [0.36, 2.5, 0.37],
        },
        RequestKind {
            name: "review",
            requests_per_s: requests_per_s[1],
            prompt_tokens: 45_000.0,
            prompt_spread: 0.5,
            max_prompt_tokens: 110_000.0,
            events: 20.9,
            events_spread: 0.6,
            max_events: 52.3,
            first_event_ms: 1500.0,
            pause_ms: 500.0,
            deadline_ms: 10_000.0,
            worth: 3.1,
            late_worth: 0.79,
            phases: [1.3, 0.5, 1.3],
        },
        RequestKind {
            name: "digest",
            requests_per_s: requests_per_s[2],
            prompt_tokens: 210_000.0,
            prompt_spread: 0.55,
            max_prompt_tokens: 1_000_000.0,
            events: 17.4,
            events_spread: 0.5,
            max_events: 43.6,
            first_event_ms: 3000.0,
            pause_ms: 800.0,
            deadline_ms: 15_000.0,
            worth: 22.0,
            late_worth: 5.4,
            phases: [2.8, 0.05, 2.9],
        },
    ]
}

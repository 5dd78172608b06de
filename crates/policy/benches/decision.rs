//! Measures the time of one routing decision at the full size of a deployment.

use std::hint::black_box;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{BackendRole, BackendState, Tokens};
use aspenloft_policy::route::{Candidate, Link, Links, RouteOptions, RouteRequest, route};

const REPLICAS: usize = 710;
const CENTRES: usize = 7;
const MODELS: usize = 4;
const ROUNDS: u32 = 20_000;

fn main() {
    let names: Vec<_> = (0..MODELS).map(|i| format!("model-{i}").into()).collect();
    for models in [1, MODELS] {
        let candidates: Vec<Candidate> = (0..REPLICAS)
            .map(|i| Candidate {
                name: format!("replica-{i}").into(),
                serves: std::sync::Arc::clone(&names[i % models]),
                role: if i / models % 3 == 0 { BackendRole::Prefill } else { BackendRole::Decode },
                centre: i % CENTRES,
                leaving: false,
                down: false,
                suspect: false,
                state: BackendState {
                    slots: 20,
                    taken: (i % 20) as u32,
                    free_in: Duration::from_millis((i * 7 % 300) as u64),
                    step: Duration::from_millis(20),
                    ..BackendState::default()
                },
                age: Duration::from_millis((i % 900) as u64),
                cached: Tokens(0),
            })
            .collect();
        let link = Link { delay: Duration::from_millis(4), ..Link::default() };
        let links = Links::new(CENTRES, link);
        let mut req = RouteRequest {
            serves: names[0].clone(),
            centre: 0,
            prompt: Tokens(8_000),
            deadline: Duration::from_millis(1_700),
            tbt: Duration::from_millis(47),
            goodput_weight: 1.0,
            waste_weight: 1.0,
            seed: 0,
        };
        let options = RouteOptions::default();
        let started = Instant::now();
        for seed in 0..ROUNDS {
            req.seed = u64::from(seed);
            black_box(route(black_box(&req), &candidates, &links, &options));
        }
        let each = started.elapsed() / ROUNDS;
        println!("replicas={REPLICAS} models={models} decision_us={:.2}", each.as_secs_f64() * 1e6);
    }
}

//! Tests of the placement of models on engines under steady and changing demand.

use basilfield::catalog::placement;
use placement::Config;
use placement::Demand;
use placement::Engine;
use placement::Input;
use placement::Output;
use placement::Placement;
use std::sync::Arc;
use std::time::Duration;

const MODELS: [&str; 3] = ["dispatch-llm", "needle-llm", "route-llm"];

/// Size of the weights in bytes.
const WEIGHTS_BYTES: u64 = 16 << 30;

/// Number of slots of an engine.
const ENGINE_SLOTS: u32 = 8;

/// Time that the weight store needs to deliver a model at the default rate.
const TRANSFER_TIME: Duration = Duration::from_secs(16);

/// Time at which the demand shifts in `steady_demand_settles`.
const DEMAND_SHIFT: Duration = Duration::from_secs(43_200);

/// Simulated fleet whose loads finish after [`TRANSFER_TIME`].
struct Fleet {
    placement: Placement,
    now: Duration,
    engines: Vec<Engine>,
    /// Start, index of the engine and model of each load.
    loads: Vec<(Duration, usize, Arc<str>)>,
}

impl Fleet {
    fn new(config: Config, models: &[Option<&str>]) -> Fleet {
        let engine = |(at, model): (usize, &Option<&str>)| Engine {
            endpoint: format!("e{at}").into(),
            model: model.map(Arc::from),
            loading: None,
            slots: ENGINE_SLOTS,
            draining: false,
        };
        let engines = models.iter().enumerate().map(engine).collect();
        let placement = Placement::new(config);
        Fleet { placement, now: Duration::ZERO, engines, loads: Vec::new() }
    }

    /// Simulates a number of seconds. `demand` returns the requests for each of [`MODELS`] at a
    /// second.
    fn run(&mut self, seconds: u64, demand: impl Fn(u64) -> [f64; 3]) {
        for _ in 0..seconds {
            self.now += Duration::from_secs(1);
            for (start, at, model) in &self.loads {
                if *start + TRANSFER_TIME == self.now {
                    self.engines[*at].model = Some(model.clone());
                    self.engines[*at].loading = None;
                }
            }
            let requests = demand(self.now.as_secs());
            let each = MODELS.into_iter().zip(requests);
            let demand = each
                .map(|(m, requests)| Demand { model: m.into(), requests, size: WEIGHTS_BYTES })
                .collect();
            self.placement.step(self.now, Input::Demand(demand));
            self.placement.step(self.now, Input::Engines(self.engines.clone()));
            for output in self.placement.step(self.now, Input::Tick) {
                let Output::Load { endpoint, model, transfer } = output;
                assert_eq!(u128::from(transfer), TRANSFER_TIME.as_millis());
                let at = self
                    .engines
                    .iter()
                    .position(|e| e.endpoint == endpoint)
                    .expect("endpoint exists");
                self.engines[at].loading = Some(model.clone());
                self.loads.push((self.now, at, model));
            }
        }
    }

    /// Number of engines that serve each of [`MODELS`].
    fn counts(&self) -> [usize; 3] {
        MODELS.map(|m| self.engines.iter().filter(|e| e.model.as_deref() == Some(m)).count())
    }
}

fn nine_engines() -> Vec<Option<&'static str>> {
    (0..9).map(|at| Some(MODELS[at % 3])).collect()
}

/// Guards against endpoints that keep changing their model under steady demand, and against a
/// lasting shift of the demand to which the placement does not react.
#[test]
fn steady_demand_settles() {
    let mut fleet = Fleet::new(Config::default(), &nine_engines());
    fleet.run(7_200, |_| [40.0, 20.0, 1.0]);
    assert_eq!(fleet.counts(), [5, 3, 1]);
    let settled = fleet.loads.len();
    fleet.run(36_000, |_| [40.0, 20.0, 1.0]);
    assert_eq!((settled, fleet.loads.len()), (2, 2));
    fleet.run(1_800, |_| [1.0, 20.0, 40.0]);
    assert_eq!(fleet.counts(), [1, 3, 5]);
    let (first, last) = (fleet.loads[2].0, fleet.loads.last().expect("the shift causes loads").0);
    println!("loads start {:?} to {:?} after the shift", first - DEMAND_SHIFT, last - DEMAND_SHIFT);
    assert_eq!(fleet.loads.len(), 6, "four endpoints change their model");
}

/// Guards against thrashing when the demand alternates faster than loads pay off. The baseline is
/// the same placement without hysteresis, moving average and residence time.
#[test]
fn alternating_demand_does_not_thrash() {
    let alternating = |second: u64| {
        if (second / 60).is_multiple_of(2) { [45.0, 10.0, 5.0] } else { [10.0, 45.0, 5.0] }
    };
    let mut fleet = Fleet::new(Config::default(), &nine_engines());
    fleet.run(7_200, alternating);
    let zero = Duration::ZERO;
    let without_hysteresis = Config {
        min_residence: zero,
        smoothing: zero,
        hysteresis_factor: 1.0,
        ..Config::default()
    };
    let mut baseline = Fleet::new(without_hysteresis, &nine_engines());
    baseline.run(7_200, alternating);
    let loads = (fleet.loads.len(), baseline.loads.len());
    println!("loads in two hours with and without hysteresis: {loads:?}");
    assert!(loads.0 * 10 <= loads.1, "{loads:?}");
    let residence = Config::default().min_residence;
    for (at, (start, engine, _)) in fleet.loads.iter().enumerate() {
        let earlier = fleet.loads[..at].iter().rev().find(|(_, e, _)| e == engine);
        assert!(earlier.is_none_or(|(before, _, _)| *start - *before >= residence));
    }
}

/// Guards against loads that together exceed the rate of the weight store, including loads that an
/// operator ordered, and against models without an endpoint.
#[test]
fn loads_share_the_rate_of_the_weight_store() {
    let mut fleet = Fleet::new(Config::default(), &[None; 9]);
    fleet.engines[8].loading = Some(MODELS[0].into());
    fleet.loads.push((Duration::from_secs(1), 8, MODELS[0].into()));
    fleet.run(600, |_| [0.0, 30.0, 0.0]);
    assert!(fleet.loads.windows(2).all(|w| w[1].0 - w[0].0 >= TRANSFER_TIME), "{:?}", fleet.loads);
    assert_eq!(fleet.counts(), [1, 5, 1], "every model has an endpoint, idle ones serve demand");
}

/// Guards against moving the last endpoint of a model, an endpoint that an operator has drained, or
/// any endpoint within one residence time after a change of leader.
#[test]
fn some_endpoints_are_left_alone() {
    let mut fleet = Fleet::new(Config::default(), &[Some(MODELS[0]), Some(MODELS[1]), None]);
    fleet.engines[2].draining = true;
    fleet.run(3_600, |_| [100.0, 0.0, 0.0]);
    assert_eq!(fleet.loads.len(), 0);
    let mut fleet = Fleet::new(Config::default(), &nine_engines());
    let last = Config::default().min_residence.as_secs() - 1;
    fleet.run(last, |_| [100.0, 1.0, 1.0]);
    assert_eq!(fleet.loads.len(), 0, "a new leader moves nothing for one residence time");
    fleet.run(2, |_| [100.0, 1.0, 1.0]);
    assert_eq!(fleet.loads.len(), 1);
}

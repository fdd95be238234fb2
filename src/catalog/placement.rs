//! Decides which model each endpoint loads, so that capacity follows demand without thrashing.
//!
//! The pressure of a model is its demand divided by the slots of its endpoints. The model with the
//! highest pressure takes an endpoint from another model if its own pressure exceeds the pressure
//! that the other model would then have by the factor `hysteresis_factor`. The reverse move would
//! need the opposite inequality, so under steady demand a move is never undone. The residence time
//! limits moves under changing demand, and all loads share the rate of the weight store.

use crate::sorted::SortedMap;
use std::sync::Arc;
use std::time::Duration;

/// Settings of the placement.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Shortest time for which an endpoint keeps a model, counted from the start of its load.
    pub min_residence: Duration,
    /// Time constant of the moving average of the demand. With a hold time of 30 s instead of an
    /// average, demand that alternated every minute moved nearly every endpoint once per residence
    /// time.
    pub smoothing: Duration,
    /// Pressure above which a model needs more slots.
    pub pressure_threshold: f64,
    /// Factor by which the pressure of the model that receives an endpoint must exceed the pressure
    /// of the model that loses it, as it is after the move.
    pub hysteresis_factor: f64,
    /// Number of endpoints that every model keeps.
    pub min_endpoints: u32,
    /// Transfer rate of the weight store, in bytes per second.
    pub store_rate: u64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            min_residence: Duration::from_secs(600),
            smoothing: Duration::from_secs(120),
            pressure_threshold: 0.8,
            hysteresis_factor: 1.5,
            min_endpoints: 1,
            store_rate: 1 << 30,
        }
    }
}

/// Demand of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Name of the model.
    pub model: Arc<str>,
    /// Number of running and waiting requests.
    pub requests: f64,
    /// Size of the weights in bytes.
    pub size: u64,
}

/// Engine as it is recorded in the catalog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Model that it serves, if one is loaded.
    pub model: Option<Arc<str>>,
    /// Model that an unfinished order loads. The order may be committed or only proposed.
    pub loading: Option<Arc<str>>,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether an operator has drained it. A draining engine is never moved.
    pub draining: bool,
}

/// Event that the caller reports to the placement.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Current demand of every model. Models that are not listed get no endpoint.
    Demand(Vec<Demand>),
    /// Current state of all engines.
    Engines(Vec<Engine>),
    /// Time has advanced.
    Tick,
}

/// Action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Order an endpoint to load a model.
    Load {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Model to load.
        model: Arc<str>,
        /// Time in milliseconds that the weight store needs to deliver the weights.
        transfer: u64,
    },
}

/// Placement of models on the engines of the fleet.
#[derive(Clone, Debug)]
pub struct Placement {
    config: Config,
    /// Moving average of the demand of each model.
    demand: SortedMap<Arc<str>, Demand>,
    /// Time of the last report of demand.
    reported_at: Duration,
    engines: SortedMap<Arc<str>, EngineState>,
    /// Time until which the weight store is busy with earlier loads.
    busy_until: Duration,
}

/// Engine with the time since which it has its model.
#[derive(Clone, Debug)]
struct EngineState {
    engine: Engine,
    /// Time at which the engine was first reported with its model, or began to load it.
    since: Duration,
}

impl EngineState {
    /// Model that the engine is loading, otherwise the one that it serves.
    fn model(&self) -> Option<&Arc<str>> {
        self.engine.loading.as_ref().or(self.engine.model.as_ref())
    }
}

impl Placement {
    /// Returns a placement without engines or demand. After a change of leader every engine counts
    /// as newly placed, so nothing moves for one residence time.
    pub fn new(config: Config) -> Placement {
        Placement {
            config,
            demand: SortedMap::new(),
            reported_at: Duration::ZERO,
            engines: SortedMap::new(),
            busy_until: Duration::ZERO,
        }
    }

    /// Handles one event. Only a tick returns an action, at most one.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        match input {
            Input::Demand(demand) => {
                self.update_demand(now, demand);
                Vec::new()
            }
            Input::Engines(engines) => {
                self.update_engines(now, engines);
                Vec::new()
            }
            Input::Tick => self.next_load(now).into_iter().collect(),
        }
    }

    /// Updates the exponential moving average of the demand. A newly listed model starts with its
    /// current demand.
    fn update_demand(&mut self, now: Duration, demand: Vec<Demand>) {
        let elapsed = now.saturating_sub(self.reported_at).as_secs_f64();
        let time_constant = self.config.smoothing.as_secs_f64().max(f64::MIN_POSITIVE);
        let decay = (-elapsed / time_constant).exp();
        let before = std::mem::take(&mut self.demand);
        for mut current in demand {
            if let Some(average) = before.get(&current.model) {
                current.requests += decay * (average.requests - current.requests);
            }
            self.demand.insert(current.model.clone(), current);
        }
        self.reported_at = now;
    }

    /// Replaces the engines. Reserves the weight store for loads that are reported for the first
    /// time, for example orders of operators.
    fn update_engines(&mut self, now: Duration, engines: Vec<Engine>) {
        let mut known = std::mem::take(&mut self.engines);
        for engine in engines {
            let before = known.remove(&engine.endpoint);
            let state = EngineState { engine, since: now };
            let same = before.as_ref().filter(|b| b.model() == state.model());
            let since = same.map_or(now, |b| b.since);
            if let Some(model) = &state.engine.loading
                && before.is_none_or(|b| b.engine.loading.as_ref() != Some(model))
            {
                self.reserve_store(now, &model.clone());
            }
            self.engines.insert(state.engine.endpoint.clone(), EngineState { since, ..state });
        }
    }

    /// Time that the weight store needs to deliver the weights of a model.
    fn transfer_time(&self, model: &str) -> Duration {
        let size = self.demand.get(model).map_or(0, |d| d.size);
        Duration::from_secs_f64(size as f64 / self.config.store_rate.max(1) as f64)
    }

    /// Reserves the weight store for the load of a model, after the loads already reserved.
    fn reserve_store(&mut self, now: Duration, model: &str) {
        self.busy_until = self.busy_until.max(now) + self.transfer_time(model);
    }

    /// Starts at most one load, if the weight store is idle and a model needs an endpoint.
    fn next_load(&mut self, now: Duration) -> Option<Output> {
        if now < self.busy_until {
            return None;
        }
        let model = self.overloaded_model()?;
        let endpoint = self.select_engine(now, &model)?;
        let transfer = self.transfer_time(&model).as_millis() as u64;
        self.reserve_store(now, &model);
        if let Some(state) = self.engines.get_mut(&endpoint) {
            state.engine.loading = Some(model.clone());
            state.since = now;
        }
        Some(Output::Load { endpoint, model, transfer })
    }

    /// Model with the highest pressure, if that exceeds the threshold.
    fn overloaded_model(&self) -> Option<Arc<str>> {
        let pressures = self.demand.values().map(|d| (self.pressure(d, 0), &d.model));
        let (pressure, model) = pressures.max_by(|a, b| a.0.total_cmp(&b.0))?;
        (pressure > self.config.pressure_threshold).then(|| model.clone())
    }

    /// Demand per slot if the model had `removed_slots` fewer slots. Infinite below the minimum
    /// number of endpoints, because requests for a model without endpoints are refused and cause no
    /// demand.
    fn pressure(&self, demand: &Demand, removed_slots: u32) -> f64 {
        if (self.serving(&demand.model).count() as u64) < u64::from(self.config.min_endpoints) {
            return f64::INFINITY;
        }
        let slots = self.model_slots(&demand.model).saturating_sub(u64::from(removed_slots));
        if demand.requests <= 0.0 {
            return 0.0;
        }
        if slots == 0 { f64::INFINITY } else { demand.requests / slots as f64 }
    }

    /// Engines that serve or load the model and are not draining.
    fn serving<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a EngineState> {
        let serves = move |e: &&EngineState| e.model().is_some_and(|m| **m == *model);
        self.engines.values().filter(serves).filter(|e| !e.engine.draining)
    }

    /// Number of slots of the engines from [`Placement::serving`].
    fn model_slots(&self, model: &str) -> u64 {
        self.serving(model).map(|e| u64::from(e.engine.slots)).sum()
    }

    /// Endpoint of the engine that should load the model: one without a model, otherwise the one
    /// whose current model would have the lowest pressure without it. `None` if no move
    /// is permitted or worth it.
    fn select_engine(&self, now: Duration, model: &Arc<str>) -> Option<Arc<str>> {
        let wanted = self.demand.get(model)?;
        let pressure = self.pressure(wanted, 0);
        self.engines
            .values()
            .filter(|e| !e.engine.draining && e.engine.loading.is_none())
            .filter(|e| e.engine.model.as_ref() != Some(model))
            .filter_map(|e| Some((self.pressure_without(now, e)?, e)))
            .filter(|(remaining, _)| remaining * self.config.hysteresis_factor < pressure)
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, e)| e.engine.endpoint.clone())
    }

    /// Pressure that the engine's model would have without the engine. `None` if the engine must
    /// keep its model: within its residence time, or at the minimum number of endpoints.
    fn pressure_without(&self, now: Duration, state: &EngineState) -> Option<f64> {
        let Some(model) = &state.engine.model else { return Some(0.0) };
        if now.saturating_sub(state.since) < self.config.min_residence {
            return None;
        }
        // A model that is not listed is no longer in use.
        let Some(demand) = self.demand.get(model) else { return Some(0.0) };
        if self.serving(model).count() as u64 <= u64::from(self.config.min_endpoints) {
            return None;
        }
        Some(self.pressure(demand, state.engine.slots))
    }
}

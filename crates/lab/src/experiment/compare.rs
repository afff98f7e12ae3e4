//! Compares policies on the same traces, with confidence intervals.

use std::{thread, time::Duration};

use eyre::{Result, bail};
use serde::Serialize;
use trayswitch_core::{
    mechanism::Disabled,
    placement::{FirstFit, ForecastPolicy, LeastOutstanding, Policy, RoundRobin},
};

use super::{
    ExperimentOptions, Trouble,
    measure::Figures,
    plot,
    sim::{self, RunOptions},
    trace::arrivals,
};
use crate::engine::EngineSpec;

/// 97.5% quantile of the normal distribution; seeds are many enough for it.
const Z: f64 = 1.96;
const WARM_UP: Duration = Duration::from_secs(60);
const CALIBRATION_SEED: u64 = 999_999;

/// A mean with the half width of its 95% confidence interval.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Mean {
    pub(crate) mean: f64,
    pub(crate) half_width: f64,
}

/// One policy at one load.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Row {
    pub(crate) load: u64,
    pub(crate) policy: String,
    /// Seconds of stall for each 1,000 requests.
    pub(crate) stall: Mean,
    /// Preemptions for each 1,000 requests.
    pub(crate) preemptions: Mean,
    pub(crate) gap_p50_ms: Mean,
    pub(crate) gap_p99_ms: Mean,
    pub(crate) gap_max_ms: Mean,
    /// The same at p99 for the first kind.
    pub(crate) top_gap_p99_ms: Mean,
    /// 95% quantile of the time to the first token of the first kind.
    pub(crate) first_p95_ms: Mean,
    /// Part of the weight answered whole and in time.
    pub(crate) service: Mean,
    /// The same for the first kind, that of the top tier.
    pub(crate) top_service: Mean,
    pub(crate) given_up: Mean,
    pub(crate) cut_off: Mean,
}

/// All rows of an experiment.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    /// Requests a second that are 100% load.
    pub(crate) capacity: f64,
    pub(crate) rows: Vec<Row>,
}

/// The policy of a name.
pub(crate) fn policy(name: &str) -> Result<Box<dyn Policy>> {
    if let Some(numbers) = name.strip_prefix("forecast:") {
        let numbers: Vec<f64> = numbers.split(':').filter_map(|n| n.parse().ok()).collect();
        let [margin, prefix_value, load_value] = numbers[..] else {
            bail!("{name}: expected forecast:MARGIN:PREFIX_VALUE:LOAD_VALUE");
        };
        let policy =
            ForecastPolicy { margin, prefix_value, load_value, ..ForecastPolicy::default() };
        return Ok(Box::new(policy));
    }
    if let Some(names) = name.strip_prefix("forecast-without:") {
        let disabled: Disabled = names.replace('+', ",").parse()?;
        return Ok(Box::new(ForecastPolicy::without(disabled)));
    }
    Ok(match name {
        "forecast" => Box::new(ForecastPolicy::default()),
        "round-robin" => Box::new(RoundRobin::default()),
        "least-outstanding" => Box::new(LeastOutstanding),
        "first-fit" => Box::new(FirstFit),
        other => bail!(
            "there is no policy {other}; expected forecast, forecast-without:NAME+NAME, \
             round-robin, least-outstanding or first-fit"
        ),
    })
}

/// Runs the whole experiment.
pub(crate) fn run(options: &ExperimentOptions) -> Result<Report> {
    for name in &options.policies {
        policy(name)?;
    }
    let capacity = calibrate(options);
    let mut rows = Vec::new();
    for load in options.loads.iter().copied() {
        let rate = capacity * load as f64 / 100.0;
        for name in &options.policies {
            rows.push(row(options, load, rate, name));
        }
    }
    let report = Report { capacity, rows };
    if let Some(path) = &options.plot {
        plot::draw(path, &report)?;
    }
    Ok(report)
}

/// The highest rate, in requests a second, at which the plainest baseline that knows load
/// (least outstanding) still answers nearly all of the weight in time. Found by bisection on
/// a seed of its own.
fn calibrate(options: &ExperimentOptions) -> f64 {
    const LENGTH: Duration = Duration::from_secs(240);
    const ENOUGH: f64 = 0.95;
    const STEPS: usize = 7;
    let mut low = 0.0;
    let mut high = options.engines as f64 * 8.0;
    for _ in 0..STEPS {
        let rate = (low + high) / 2.0;
        let arrivals = arrivals(options.mix, rate, LENGTH, CALIBRATION_SEED);
        let run = RunOptions {
            mix: options.mix,
            engines: options.engines,
            spec: spec(),
            arrivals: &arrivals,
            length: LENGTH,
            warm_up: WARM_UP,
            trouble: Trouble::None,
        };
        let figures = sim::run(&run, Box::new(LeastOutstanding));
        if ENOUGH <= figures.weighted_service(options.mix.kinds()) {
            low = rate;
        } else {
            high = rate;
        }
    }
    low
}

fn spec() -> EngineSpec {
    EngineSpec::default()
}

fn row(options: &ExperimentOptions, load: u64, rate: f64, name: &str) -> Row {
    let seeds: Vec<u64> = (0..options.seeds).map(|i| options.first_seed + i).collect();
    let threads = thread::available_parallelism().map_or(1, usize::from).min(seeds.len()).max(1);
    let figures: Vec<Figures> = thread::scope(|scope| {
        let run = |seeds: Vec<u64>| {
            scope.spawn(move || {
                let one = |seed| one(options, rate, seed, name);
                seeds.into_iter().map(one).collect::<Vec<Figures>>()
            })
        };
        let parts: Vec<_> =
            seeds.chunks(seeds.len().div_ceil(threads)).map(|c| run(c.to_vec())).collect();
        parts.into_iter().flat_map(|part| part.join().expect("a run does not panic")).collect()
    });
    summary(options, load, name, &figures)
}

fn one(options: &ExperimentOptions, rate: f64, seed: u64, name: &str) -> Figures {
    let arrivals = arrivals(options.mix, rate, options.length, seed);
    let run = RunOptions {
        mix: options.mix,
        engines: options.engines,
        spec: spec(),
        arrivals: &arrivals,
        length: options.length,
        warm_up: WARM_UP.min(options.length / 3),
        trouble: options.trouble,
    };
    sim::run(&run, policy(name).expect("checked before"))
}

fn summary(options: &ExperimentOptions, load: u64, name: &str, figures: &[Figures]) -> Row {
    let kinds = options.mix.kinds();
    let arrived = |f: &Figures| f.kinds.iter().map(|k| k.arrived).sum::<u64>().max(1) as f64;
    let mean_of = |value: &dyn Fn(&Figures) -> f64| mean(figures.iter().map(value).collect());
    Row {
        load,
        policy: name.to_owned(),
        stall: mean_of(&|f| f.stall_seconds * 1e3 / arrived(f)),
        preemptions: mean_of(&|f| f.preemptions as f64 * 1e3 / arrived(f)),
        gap_p50_ms: mean_of(&|f| f.gap_ms(0.5)),
        gap_p99_ms: mean_of(&|f| f.gap_ms(0.99)),
        gap_max_ms: mean_of(&|f| f.gap_ms(1.0)),
        top_gap_p99_ms: mean_of(&|f| f.kinds[0].gaps.value_at_quantile(0.99) as f64 / 1e3),
        first_p95_ms: mean_of(&|f| f.kinds[0].first.value_at_quantile(0.95) as f64 / 1e3),
        service: mean_of(&|f| f.weighted_service(kinds)),
        top_service: mean_of(&|f| f.service(0)),
        given_up: mean_of(&|f| f.given_up as f64 * 1e3 / arrived(f)),
        cut_off: mean_of(&|f| f.cut_off as f64 * 1e3 / arrived(f)),
    }
}

fn mean(values: Vec<f64>) -> Mean {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n;
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    Mean { mean, half_width: Z * (variance / n).sqrt() }
}

impl Report {
    /// The rows as a table for people.
    pub(crate) fn table(&self) -> String {
        let cell = |m: &Mean| format!("{:.3}±{:.3}", m.mean, m.half_width);
        let mut text = format!("capacity {:.1} requests/s\n", self.capacity);
        text += "load policy             stall s/1k        preempt/1k        gap p50 ms      gap p99 ms       gap max ms   top gap p99 ms     first p95 ms         service        top service    given up/1k     cut off/1k\n";
        for row in &self.rows {
            let cells = [
                &row.stall,
                &row.preemptions,
                &row.gap_p50_ms,
                &row.gap_p99_ms,
                &row.gap_max_ms,
                &row.top_gap_p99_ms,
                &row.first_p95_ms,
                &row.service,
                &row.top_service,
                &row.given_up,
                &row.cut_off,
            ];
            let cells: Vec<String> = cells.iter().map(|m| format!("{:>16}", cell(m))).collect();
            text += &format!("{:>4} {:<18}{}\n", row.load, row.policy, cells.join(" "));
        }
        text
    }
}

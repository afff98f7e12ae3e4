//! The processor time of taking a configuration in, by number of routes.

use std::time::Instant;

use serde::Serialize;
use trayswitch_core::{
    config::{Config, Document, Section},
    state::ConfigChange,
};

/// Routes that the larger change adds.
const ADDED: usize = 1_400;
/// Stands for what an adapter keeps of the operator's own text of a route.
const SOURCE_BYTES: usize = 250;
/// Each step is timed so often; the fastest counts.
const TIMES: usize = 7;

/// Milliseconds that each step takes at one size.
#[derive(Debug, Serialize)]
pub(crate) struct ConfigCost {
    /// Routes before the change.
    routes: usize,
    /// Checking the whole configuration.
    check_ms: f64,
    /// The change of many routes: comparing and encoding, then taking it in on a daemon.
    encode_many_ms: f64,
    take_many_ms: f64,
    /// Bytes of that change.
    many_bytes: usize,
    /// Taking a change of one route in on a daemon.
    take_one_ms: f64,
}

/// Times the steps at several sizes.
pub(crate) fn costs(sizes: &[usize]) -> Vec<ConfigCost> {
    sizes.iter().map(|routes| cost(*routes)).collect()
}

fn cost(routes: usize) -> ConfigCost {
    let before = document(1, routes);
    let (one, many) = (document(2, routes + 1), document(2, routes + ADDED));
    let config = Config::check("f", &before).expect("the file is valid");
    ConfigCost {
        routes,
        check_ms: fastest(|| Config::check("f", &before).is_ok()),
        encode_many_ms: fastest(|| !ConfigChange::new(2, 1, &before, &many).delta.is_empty()),
        take_many_ms: fastest(|| take(&config, &before, &many)),
        many_bytes: ConfigChange::new(2, 1, &before, &many).delta.len(),
        take_one_ms: fastest(|| take(&config, &before, &one)),
    }
}

/// What a daemon does once it has a change.
fn take(config: &Config, before: &Document, after: &Document) -> bool {
    let delta = before.delta_to(after);
    let mut document = before.clone();
    document.apply(&delta);
    let hash = document.content_hash();
    hash == after.content_hash() && config.updated("f", &document, &delta).is_ok()
}

fn fastest(step: impl Fn() -> bool) -> f64 {
    let once = |_| {
        let began = Instant::now();
        assert!(step(), "every step succeeds");
        began.elapsed().as_secs_f64() * 1e3
    };
    (0..TIMES).map(once).fold(f64::INFINITY, f64::min)
}

fn document(version: u64, routes: usize) -> Document {
    let mut document = Document::default();
    document.insert("deployment", section(&[("name", "d"), ("version", &version.to_string())]));
    document.insert("tier t", section(&[("rank", "1")]));
    document.insert("service s", section(&[("max_connections", "10")]));
    for n in 0..routes {
        let prefix = format!("/{n:08x}/");
        let source = format!("{n:0SOURCE_BYTES$}");
        let keys = section(&[
            ("host", "shop.example"),
            ("path_prefix", &prefix),
            ("services", "s:1"),
            ("kind", "single"),
            ("timeout", "600ms"),
            ("tier", "t"),
            ("source", &source),
        ]);
        document.insert(&format!("route r-{n:08x}"), keys);
    }
    document
}

fn section(keys: &[(&str, &str)]) -> Section {
    keys.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect()
}

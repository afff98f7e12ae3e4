//! The daemons that want news of endpoints from this control VM.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{ByVm, Outbox, VmName};
use crate::{
    registry::{EndpointSample, Registry, hash_of_id},
    units::Instant,
    wire::{
        Body, EndpointDigest, EndpointInterest, EndpointNews, EndpointRecord, EndpointsUsed,
        EndpointsWanted,
    },
};

/// How long a daemon gets news of an endpoint that it has said to use.
pub(super) const USE_TTL: Duration = Duration::from_secs(60);

/// What one daemon wants to know.
#[derive(Debug)]
struct Subscriber {
    sample: EndpointSample,
    /// Endpoints that it uses beside its sample, and until when.
    used: HashMap<Arc<str>, Instant>,
}

impl Subscriber {
    fn wants(&self, record: &EndpointRecord, id_hash: u64) -> bool {
        self.sample.contains(&record.service, id_hash) || self.used.contains_key(record.id.as_str())
    }
}

/// All of them.
#[derive(Debug, Default)]
pub(super) struct EndpointSubscribers {
    subscribers: ByVm<Subscriber>,
}

impl EndpointSubscribers {
    /// Applies what a daemon wants to know, and sends it a digest of that.
    pub(super) fn on_interest(
        &mut self,
        from: &VmName,
        interest: &EndpointInterest,
        registry: &Registry,
        out: &mut Outbox,
    ) {
        if !interest.wanted {
            self.subscribers.remove(from);
            return;
        }
        let sample = EndpointSample::decode(from, interest);
        let (digest, endpoints) = registry.sample_digest(&sample);
        let (sums, endpoints) = (digest.sums().to_vec(), endpoints as u64);
        out.send(from, Body::EndpointDigest(EndpointDigest { sums, endpoints }));
        match self.subscribers.get_mut(from) {
            Some(subscriber) => subscriber.sample = sample,
            None => {
                let subscriber = Subscriber { sample, used: HashMap::new() };
                self.subscribers.insert(from.clone(), subscriber);
            }
        }
    }

    /// Adds endpoints that a daemon uses, and sends it what it does not know of them.
    pub(super) fn on_used(
        &mut self,
        from: &VmName,
        used: EndpointsUsed,
        registry: &Registry,
        now: Instant,
        out: &mut Outbox,
    ) {
        let endpoints = used.endpoints.iter();
        let news = endpoints.filter_map(|used| registry.news_for(&used.id, used.started_at));
        let news: Vec<EndpointRecord> = news.collect();
        if !news.is_empty() {
            out.send(from, Body::EndpointNews(EndpointNews::new(news)));
        }
        if let Some(subscriber) = self.subscribers.get_mut(from) {
            subscriber.used.retain(|_, until| now < *until);
            let until = now.after(USE_TTL);
            let used = used.endpoints.into_iter().map(|used| (used.id.into(), until));
            subscriber.used.extend(used);
        }
    }

    /// Sends the requested parts of what a daemon wants to know.
    pub(super) fn send_parts(
        &self,
        to: &VmName,
        wanted: EndpointsWanted,
        registry: &Registry,
        now: Instant,
        out: &mut Outbox,
    ) {
        let Some(subscriber) = self.subscribers.get(to) else { return };
        let parts: Vec<usize> = wanted.parts.iter().map(|part| *part as usize).collect();
        let age_ms = |received: Instant| now.since(received).as_millis() as u64;
        let records = registry.buckets(&parts, &subscriber.sample).into_iter();
        let (records, ages_ms) =
            records.map(|(record, received)| (record, age_ms(received))).unzip();
        let news = EndpointNews { records, ages_ms, parts: wanted.parts };
        out.send(to, Body::EndpointNews(news));
    }

    /// Sends each daemon other than `excluded` the records that it wants to know. Returns the number
    /// of messages.
    pub(super) fn send_news(
        &self,
        records: &[EndpointRecord],
        is_excluded: impl Fn(&VmName) -> bool,
        out: &mut Outbox,
    ) -> usize {
        let hashes: Vec<u64> = records.iter().map(|record| hash_of_id(&record.id)).collect();
        let mut messages = 0;
        for (vm, subscriber) in self.subscribers.iter().filter(|(vm, _)| !is_excluded(vm)) {
            let wanted = records.iter().zip(&hashes);
            let wanted = wanted.filter(|(record, hash)| subscriber.wants(record, **hash));
            let wanted: Vec<EndpointRecord> = wanted.map(|(record, _)| record.clone()).collect();
            if !wanted.is_empty() {
                messages += 1;
                out.send(vm, Body::EndpointNews(EndpointNews::new(wanted)));
            }
        }
        messages
    }

    /// Removes a daemon whose link is down.
    pub(super) fn remove(&mut self, vm: &VmName) {
        self.subscribers.remove(vm);
    }
}

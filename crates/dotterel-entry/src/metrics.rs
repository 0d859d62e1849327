//! Counters and gauges for operators, in the text format of Prometheus.

use dotterel_kernel::{Fate, Millis, Service};
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

use crate::app::App;

const SECONDS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.4, 2.5, 10.0, 60.0,
];

/// The counters and gauges of one node.
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    forwarded: IntCounterVec,
    wait: HistogramVec,
    total: HistogramVec,
    queued: IntGauge,
    used: IntGauge,
    slots: IntGauge,
    vms: IntGauge,
    in_flight: IntGauge,
    refused: IntGauge,
    lost: IntGauge,
    unshipped: IntGauge,
    pending: IntGauge,
    platform: IntGauge,
    traffic: IntGaugeVec,
    calls: IntGaugeVec,
}

impl Metrics {
    /// Returns metrics that count from zero.
    ///
    /// # Panics
    ///
    /// Panics when two metrics have the same name.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let labels = ["service", "class"];
        Self {
            requests: counter(
                &registry,
                "dotterel_requests_total",
                "Requests settled, by fate and reason.",
                &["service", "class", "fate", "reason"],
            ),
            forwarded: counter(
                &registry,
                "dotterel_forwards_total",
                "Attempts sent to other nodes.",
                &labels,
            ),
            wait: histogram(
                &registry,
                "dotterel_wait_seconds",
                "Time from a request's arrival to its start.",
                &labels,
            ),
            total: histogram(
                &registry,
                "dotterel_answer_seconds",
                "Time from a request's arrival to its settled fate.",
                &labels,
            ),
            queued: gauge(&registry, "dotterel_queued_tasks", "Tasks that wait."),
            used: gauge(
                &registry,
                "dotterel_used_slots",
                "Slots in use on owned VMs.",
            ),
            slots: gauge(&registry, "dotterel_owned_slots", "Slots on owned VMs."),
            vms: gauge(&registry, "dotterel_owned_vms", "VMs whose lease is held."),
            in_flight: gauge(
                &registry,
                "dotterel_requests_in_flight",
                "Requests that are not answered yet.",
            ),
            refused: gauge(
                &registry,
                "dotterel_mesh_refused_peers_total",
                "Connections refused for want of a known certificate.",
            ),
            lost: gauge(
                &registry,
                "dotterel_mesh_lost_links_total",
                "Connections to other nodes that were lost.",
            ),
            unshipped: gauge(
                &registry,
                "dotterel_journal_unshipped_records",
                "Records that are not in the object store yet.",
            ),
            pending: gauge(
                &registry,
                "dotterel_claims_pending_changes",
                "Changes of claims that are not durable yet.",
            ),
            platform: gauge(
                &registry,
                "dotterel_platform_reachable",
                "1 while the platform answers.",
            ),
            traffic: gauges(
                &registry,
                "dotterel_traffic_bytes_total",
                "Bytes to and from other nodes, workers and the platform, by purpose.",
                &["purpose", "direction"],
            ),
            calls: gauges(
                &registry,
                "dotterel_traffic_calls_total",
                "Calls to workers and to the platform, by purpose.",
                &["purpose"],
            ),
            registry,
        }
    }

    pub(crate) fn settled(&self, service: &Service, class: &str, fate: &Fate, total: Millis) {
        let reason = match fate {
            Fate::NotRun(reason) => reason.as_str(),
            Fate::Ran | Fate::Unknown => "",
        };
        let labels = [service.as_str(), class, fate.as_str(), reason];
        self.requests.with_label_values(&labels).inc();
        let total_seconds = seconds(total);
        self.total
            .with_label_values(&[service.as_str(), class])
            .observe(total_seconds);
    }

    pub(crate) fn started(&self, service: &Service, class: &str, waited: Millis) {
        self.wait
            .with_label_values(&[service.as_str(), class])
            .observe(seconds(waited));
    }

    pub(crate) fn forwarded(&self, service: &Service, class: &str) {
        self.forwarded
            .with_label_values(&[service.as_str(), class])
            .inc();
    }

    /// Returns the text for a scrape.
    #[must_use]
    pub fn text(&self, app: &App) -> String {
        self.sample(app);
        let mut text = Vec::new();
        if let Err(fault) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(fault:% = fault; "metrics not encoded");
        }
        String::from_utf8(text).unwrap_or_default()
    }

    /// Reads the gauges from the parts of the node.
    fn sample(&self, app: &App) {
        let vms = app.workers.status();
        let used: u32 = vms.iter().map(|vm| vm.used.slots).sum();
        let slots: u32 = vms.iter().map(|vm| vm.capacity.slots).sum();
        let counters = app.mesh.counters();
        self.queued.set(app.workers.load().queued.into());
        self.used.set(used.into());
        self.slots.set(slots.into());
        self.vms.set(whole(vms.len()));
        self.in_flight.set(whole(app.gate.taken()));
        self.refused.set(signed(counters.refused_peers));
        self.lost.set(signed(counters.lost_links));
        self.unshipped.set(whole(app.journal.unshipped()));
        self.pending.set(whole(app.claims.pending()));
        self.platform.set(app.platform.get().into());
        self.carried("mesh", counters.bytes_sent, counters.bytes_received);
        for (purpose, counts) in app.traffic.all() {
            self.carried(purpose, counts.bytes_sent(), counts.bytes_received());
            let calls = self.calls.with_label_values(&[purpose]);
            calls.set(signed(counts.calls()));
        }
    }

    fn carried(&self, purpose: &str, sent: u64, received: u64) {
        for (direction, bytes) in [("sent", sent), ("received", received)] {
            let gauge = self.traffic.with_label_values(&[purpose, direction]);
            gauge.set(signed(bytes));
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn seconds(span: Millis) -> f64 {
    span.duration().as_secs_f64()
}

fn whole(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn signed(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn counter(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), labels);
    let metric = metric.expect("the name and labels are well formed");
    registry
        .register(Box::new(metric.clone()))
        .expect("each name is used once");
    metric
}

fn histogram(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(SECONDS.to_vec());
    let metric = HistogramVec::new(options, labels).expect("the name and labels are well formed");
    registry
        .register(Box::new(metric.clone()))
        .expect("each name is used once");
    metric
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::new(name, help).expect("the name is well formed");
    registry
        .register(Box::new(metric.clone()))
        .expect("each name is used once");
    metric
}

fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let metric = IntGaugeVec::new(Opts::new(name, help), labels);
    let metric = metric.expect("the name and labels are well formed");
    registry
        .register(Box::new(metric.clone()))
        .expect("each name is used once");
    metric
}

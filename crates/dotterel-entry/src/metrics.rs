//! Metrics for operators, in the text format of Prometheus.

use dotterel_kernel::{Fate, Millis, Service};
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

use crate::app::App;

/// Histogram buckets, in seconds.
const BUCKETS_S: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.4, 2.5, 10.0, 60.0,
];

/// The metrics of one node.
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    forwards: IntCounterVec,
    wait_time: HistogramVec,
    answer_time: HistogramVec,
    queued_tasks: IntGauge,
    used_slots: IntGauge,
    owned_slots: IntGauge,
    owned_vms: IntGauge,
    in_flight: IntGauge,
    refused_peers: IntGauge,
    lost_links: IntGauge,
    unshipped_records: IntGauge,
    pending_claims: IntGauge,
    platform_reachable: IntGauge,
    traffic_bytes: IntGaugeVec,
    traffic_calls: IntGaugeVec,
}

impl Metrics {
    /// Registers all metrics, with counts of zero.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let labels = ["service", "class"];
        Self {
            requests: counter(
                &registry,
                "dotterel_requests_total",
                "Settled requests, by fate and reason.",
                &["service", "class", "fate", "reason"],
            ),
            forwards: counter(
                &registry,
                "dotterel_forwards_total",
                "Attempts forwarded to other nodes.",
                &labels,
            ),
            wait_time: histogram(
                &registry,
                "dotterel_wait_seconds",
                "Time from a request's arrival to its start.",
                &labels,
            ),
            answer_time: histogram(
                &registry,
                "dotterel_answer_seconds",
                "Time from a request's arrival to its settled fate.",
                &labels,
            ),
            queued_tasks: gauge(
                &registry,
                "dotterel_queued_tasks",
                "Tasks waiting in the queue.",
            ),
            used_slots: gauge(
                &registry,
                "dotterel_used_slots",
                "Slots in use on owned VMs.",
            ),
            owned_slots: gauge(&registry, "dotterel_owned_slots", "Slots on owned VMs."),
            owned_vms: gauge(
                &registry,
                "dotterel_owned_vms",
                "VMs whose lease this node holds.",
            ),
            in_flight: gauge(
                &registry,
                "dotterel_requests_in_flight",
                "Requests without a response so far.",
            ),
            refused_peers: gauge(
                &registry,
                "dotterel_mesh_refused_peers_total",
                "Incoming connections refused for an untrusted certificate or a wrong name.",
            ),
            lost_links: gauge(
                &registry,
                "dotterel_mesh_lost_links_total",
                "Lost connections to other nodes.",
            ),
            unshipped_records: gauge(
                &registry,
                "dotterel_journal_unshipped_records",
                "Journal records that are not in the object store yet.",
            ),
            pending_claims: gauge(
                &registry,
                "dotterel_claims_pending_changes",
                "Changes of claims that are not durable yet.",
            ),
            platform_reachable: gauge(
                &registry,
                "dotterel_platform_reachable",
                "1 while the platform answers.",
            ),
            traffic_bytes: gauges(
                &registry,
                "dotterel_traffic_bytes_total",
                "Bytes to and from other nodes, workers and the platform, by purpose.",
                &["purpose", "direction"],
            ),
            traffic_calls: gauges(
                &registry,
                "dotterel_traffic_calls_total",
                "Calls to workers and to the platform, by purpose.",
                &["purpose"],
            ),
            registry,
        }
    }

    pub(crate) fn record_settled(
        &self,
        service: &Service,
        class: &str,
        fate: &Fate,
        answer_time: Millis,
    ) {
        let reason = match fate {
            Fate::NotRun(reason) => reason.as_str(),
            Fate::Ran | Fate::Unknown => "",
        };
        let labels = [service.as_str(), class, fate.as_str(), reason];
        self.requests.with_label_values(&labels).inc();
        let answer_seconds = seconds(answer_time);
        self.answer_time
            .with_label_values(&[service.as_str(), class])
            .observe(answer_seconds);
    }

    pub(crate) fn record_started(&self, service: &Service, class: &str, waited: Millis) {
        self.wait_time
            .with_label_values(&[service.as_str(), class])
            .observe(seconds(waited));
    }

    pub(crate) fn record_forwarded(&self, service: &Service, class: &str) {
        self.forwards
            .with_label_values(&[service.as_str(), class])
            .inc();
    }

    /// Returns the metrics as text for a scrape.
    #[must_use]
    pub fn render(&self, app: &App) -> String {
        self.update_gauges(app);
        let mut text = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(fault:% = err; "failed to encode metrics");
        }
        String::from_utf8(text).unwrap_or_default()
    }

    /// Sets the gauges to the present state of the node.
    fn update_gauges(&self, app: &App) {
        let vms = app.workers.status();
        let used: u32 = vms.iter().map(|vm| vm.used.slots).sum();
        let slots: u32 = vms.iter().map(|vm| vm.capacity.slots).sum();
        let counters = app.mesh.counters();
        self.queued_tasks.set(app.workers.load().queued.into());
        self.used_slots.set(used.into());
        self.owned_slots.set(slots.into());
        self.owned_vms.set(usize_to_gauge(vms.len()));
        self.in_flight.set(usize_to_gauge(app.limiter.acquired()));
        self.refused_peers.set(u64_to_gauge(counters.refused_peers));
        self.lost_links.set(u64_to_gauge(counters.lost_links));
        self.unshipped_records
            .set(usize_to_gauge(app.journal.unshipped()));
        self.pending_claims
            .set(usize_to_gauge(app.claims.pending()));
        self.platform_reachable
            .set(app.platform_reachable.get().into());
        self.set_traffic("mesh", counters.bytes_sent, counters.bytes_received);
        for (purpose, counts) in app.traffic.all() {
            self.set_traffic(purpose, counts.bytes_sent(), counts.bytes_received());
            let calls = self.traffic_calls.with_label_values(&[purpose]);
            calls.set(u64_to_gauge(counts.calls()));
        }
    }

    fn set_traffic(&self, purpose: &str, sent: u64, received: u64) {
        for (direction, bytes) in [("sent", sent), ("received", received)] {
            let gauge = self.traffic_bytes.with_label_values(&[purpose, direction]);
            gauge.set(u64_to_gauge(bytes));
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

fn usize_to_gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn u64_to_gauge(count: u64) -> i64 {
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
    let options = HistogramOpts::new(name, help).buckets(BUCKETS_S.to_vec());
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

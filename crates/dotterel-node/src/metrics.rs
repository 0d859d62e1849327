//! Counters and latency histograms, in the text format of Prometheus.

use std::time::Duration;

use dotterel_kernel::Millis;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

const SECONDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Plans take microseconds on a calm day and milliseconds with a backlog.
const PLAN_SECONDS: [f64; 9] = [
    0.000_05, 0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.05,
];

/// What one process counts.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    latency: HistogramVec,
    orders: IntCounterVec,
    calls: HistogramVec,
    plans: Histogram,
    gauges: IntGaugeVec,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Returns metrics that count from zero.
    ///
    /// # Panics
    ///
    /// Panics when two metrics have the same name, which the fixed names below rule out.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)
                .expect("the names and labels are well formed");
            registry
                .register(Box::new(counter.clone()))
                .expect("the names differ");
            counter
        };
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let opts = HistogramOpts::new(name, help).buckets(SECONDS.to_vec());
            let histogram =
                HistogramVec::new(opts, labels).expect("the names and labels are well formed");
            registry
                .register(Box::new(histogram.clone()))
                .expect("the names differ");
            histogram
        };
        let gauges = IntGaugeVec::new(
            Opts::new("dotterel_node_gauge", "Sizes of the node's state, by name."),
            &["name"],
        )
        .expect("the names and labels are well formed");
        registry
            .register(Box::new(gauges.clone()))
            .expect("the names differ");
        let opts = HistogramOpts::new("dotterel_plan_seconds", "Time to decide what runs next.");
        let plans = Histogram::with_opts(opts.buckets(PLAN_SECONDS.to_vec()))
            .expect("the name is well formed");
        registry
            .register(Box::new(plans.clone()))
            .expect("the names differ");
        Self {
            plans,
            requests: counter(
                "dotterel_job_requests_total",
                "Callers' requests, by action and status.",
                &["action", "status"],
            ),
            latency: histogram(
                "dotterel_job_request_seconds",
                "Time to answer callers, by action.",
                &["action"],
            ),
            orders: counter(
                "dotterel_orders_total",
                "Orders to VMs, by kind and outcome.",
                &["kind", "outcome"],
            ),
            calls: histogram(
                "dotterel_platform_call_seconds",
                "Time of calls to the platform, by kind.",
                &["kind"],
            ),
            gauges,
            registry,
        }
    }

    /// Counts a caller's request.
    pub fn request(&self, action: &str, status: u16, took: Millis) {
        let status = status.to_string();
        self.requests.with_label_values(&[action, &status]).inc();
        self.latency
            .with_label_values(&[action])
            .observe(took.duration().as_secs_f64());
    }

    /// Counts an order to a VM.
    pub fn order(&self, kind: &str, outcome: &str) {
        self.orders.with_label_values(&[kind, outcome]).inc();
    }

    /// Counts a call to the platform.
    pub fn call(&self, kind: &str, took: Millis) {
        self.calls
            .with_label_values(&[kind])
            .observe(took.duration().as_secs_f64());
    }

    /// Counts a plan of the scheduler.
    pub fn planned(&self, took: Duration) {
        self.plans.observe(took.as_secs_f64());
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: usize) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.gauges.with_label_values(&[name]).set(value);
    }

    /// Returns everything as text.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(fault) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(fault:% = fault; "metrics not encoded");
        }
        text
    }
}

//! Counters and latency histograms, in the text format of Prometheus.

use std::time::Duration;

use dotterel_cell::cell::{RefusalKind, TenantFigures, TenantReport};
use dotterel_kernel::Millis;
use prometheus::core::Collector;
use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Plans take microseconds under light load and milliseconds with a backlog.
const PLAN_BUCKETS: [f64; 9] = [
    0.000_05, 0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.05,
];

/// The metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    latency: HistogramVec,
    orders: IntCounterVec,
    call_time: HistogramVec,
    plan_time: Histogram,
    pass_time: HistogramVec,
    lost_runs: IntCounterVec,
    release_wait: Histogram,
    crashing_tasks: IntCounter,
    refused_clients: IntCounterVec,
    gauges: IntGaugeVec,
    tenants: TenantMetrics,
}

/// Metrics of the tenants, while this node leads a cell with tenants.
#[derive(Debug)]
struct TenantMetrics {
    cpu: IntGaugeVec,
    memory: IntGaugeVec,
    share: GaugeVec,
    waiting: IntGaugeVec,
    jobs: IntCounterVec,
    refused: IntCounterVec,
    worst_tenth: GaugeVec,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Returns metrics with all values at zero.
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
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
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
        let opts = HistogramOpts::new("dotterel_plan_seconds", "Duration of a scheduling plan.");
        let plan_time = Histogram::with_opts(opts.buckets(PLAN_BUCKETS.to_vec()))
            .expect("the name is well formed");
        registry
            .register(Box::new(plan_time.clone()))
            .expect("the names differ");
        let opts = HistogramOpts::new(
            "dotterel_release_wait_seconds",
            "Time from the expiry of a lost VM's lease until a renewal of the leadership has confirmed it.",
        );
        let release_wait = Histogram::with_opts(opts.buckets(LATENCY_BUCKETS.to_vec()))
            .expect("the name is well formed");
        registry
            .register(Box::new(release_wait.clone()))
            .expect("the names differ");
        let crashing_tasks = IntCounter::new(
            "dotterel_crashing_tasks_total",
            "Tasks that made their jobs fail by crashing VMs.",
        )
        .expect("the name is well formed");
        registry
            .register(Box::new(crashing_tasks.clone()))
            .expect("the names differ");
        Self {
            plan_time,
            release_wait,
            requests: counter(
                "dotterel_job_requests_total",
                "Callers' requests, by action and status.",
                &["action", "status"],
            ),
            latency: histogram(
                "dotterel_job_request_seconds",
                "Time to respond to callers, by action.",
                &["action"],
            ),
            orders: counter(
                "dotterel_orders_total",
                "Orders to VMs, by kind and outcome.",
                &["kind", "outcome"],
            ),
            lost_runs: counter(
                "dotterel_lost_runs_total",
                "Runs lost with their VM, by reason.",
                &["reason"],
            ),
            crashing_tasks,
            refused_clients: counter(
                "dotterel_refused_clients_total",
                "Connections and requests that were refused or closed by a limit, by port and kind.",
                &["port", "kind"],
            ),
            call_time: histogram(
                "dotterel_platform_call_seconds",
                "Duration of calls to the platform, by kind.",
                &["kind"],
            ),
            pass_time: histogram(
                "dotterel_pass_seconds",
                "Time for which a pass through the state of a cell occupies the node, by kind.",
                &["pass"],
            ),
            gauges,
            tenants: TenantMetrics::new(&registry),
            registry,
        }
    }

    /// Records a caller's request and the time to respond.
    pub fn record_request(&self, action: &str, status: u16, duration: Millis) {
        let status = status.to_string();
        self.requests.with_label_values(&[action, &status]).inc();
        self.latency
            .with_label_values(&[action])
            .observe(duration.duration().as_secs_f64());
    }

    /// Counts an order to a VM.
    pub fn record_order(&self, kind: &str, outcome: &str) {
        self.orders.with_label_values(&[kind, outcome]).inc();
    }

    /// Records the duration of a call to the platform.
    pub fn record_call(&self, kind: &str, duration: Millis) {
        self.call_time
            .with_label_values(&[kind])
            .observe(duration.duration().as_secs_f64());
    }

    /// Counts runs that were lost with their VM.
    pub fn record_lost_runs(&self, reason: &str, runs: usize) {
        let runs = u64::try_from(runs).unwrap_or(u64::MAX);
        self.lost_runs.with_label_values(&[reason]).inc_by(runs);
    }

    /// Records how long the release of a lost VM's runs has waited for a renewal of the leadership.
    pub fn record_release_wait(&self, wait: Millis) {
        self.release_wait.observe(wait.duration().as_secs_f64());
    }

    /// Counts a task that made its job fail by crashing VMs.
    pub fn record_crashing_task(&self) {
        self.crashing_tasks.inc();
    }

    /// Counts a connection or request that was refused or closed by a limit.
    pub fn record_refused_client(&self, port: &str, kind: &str) {
        self.refused_clients.with_label_values(&[port, kind]).inc();
    }

    /// Records the duration of a pass through the state of a cell.
    pub fn record_pass(&self, pass: &str, duration: Duration) {
        self.pass_time
            .with_label_values(&[pass])
            .observe(duration.as_secs_f64());
    }

    /// Records the duration of a plan.
    pub fn record_plan(&self, duration: Duration) {
        self.plan_time.observe(duration.as_secs_f64());
    }

    /// Sets a gauge.
    pub fn set_gauge(&self, name: &str, value: usize) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.gauges.with_label_values(&[name]).set(value);
    }

    /// Sets the metrics of tenants, and removes them for `None`.
    pub fn set_tenants(&self, report: Option<&TenantReport>) {
        match report {
            Some(report) => self.tenants.set(report),
            None => self.tenants.reset(),
        }
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(fault:% = err; "failed to encode metrics");
        }
        text
    }
}

impl TenantMetrics {
    fn new(registry: &Registry) -> Self {
        fn registered<C: Collector + Clone + 'static>(
            registry: &Registry,
            collector: prometheus::Result<C>,
        ) -> C {
            let collector = collector.expect("the names and labels are well formed");
            let registered = registry.register(Box::new(collector.clone()));
            registered.expect("the names differ");
            collector
        }
        Self {
            cpu: registered(
                registry,
                IntGaugeVec::new(
                    Opts::new(
                        "dotterel_tenant_cpu_millicores",
                        "Thousandths of a core that a tenant's runs occupy.",
                    ),
                    &["tenant"],
                ),
            ),
            memory: registered(
                registry,
                IntGaugeVec::new(
                    Opts::new(
                        "dotterel_tenant_memory_mb",
                        "Memory that a tenant's runs occupy.",
                    ),
                    &["tenant"],
                ),
            ),
            share: registered(
                registry,
                GaugeVec::new(
                    Opts::new(
                        "dotterel_tenant_weighted_share",
                        "Largest fraction of the cell's cores or memory that a tenant's runs occupy, divided by its weight.",
                    ),
                    &["tenant"],
                ),
            ),
            waiting: registered(
                registry,
                IntGaugeVec::new(
                    Opts::new(
                        "dotterel_tenant_waiting_tasks",
                        "Tasks of a tenant that wait for a place.",
                    ),
                    &["tenant"],
                ),
            ),
            jobs: registered(
                registry,
                IntCounterVec::new(
                    Opts::new(
                        "dotterel_tenant_jobs_total",
                        "Jobs of a tenant that were accepted, and that were completed on time, late or too late.",
                    ),
                    &["tenant", "outcome"],
                ),
            ),
            refused: registered(
                registry,
                IntCounterVec::new(
                    Opts::new(
                        "dotterel_tenant_refusals_total",
                        "Jobs of a tenant that the scheduler refused, by reason.",
                    ),
                    &["tenant", "reason"],
                ),
            ),
            // A vector without labels can be removed, unlike a single gauge.
            worst_tenth: registered(
                registry,
                GaugeVec::new(
                    Opts::new(
                        "dotterel_worst_tenth_on_time",
                        "Share of jobs that met their objectives in the last minute, averaged over the worst-served tenth of the tenants.",
                    ),
                    &[],
                ),
            ),
        }
    }

    fn set(&self, report: &TenantReport) {
        for figures in &report.tenants {
            self.set_tenant(figures);
        }
        match report.worst_tenth {
            Some(share) => self.worst_tenth.with_label_values::<&str>(&[]).set(share),
            None => self.worst_tenth.reset(),
        }
    }

    fn set_tenant(&self, figures: &TenantFigures) {
        let tenant = figures.name.as_str();
        let used = &figures.used;
        let waiting = i64::try_from(figures.waiting).unwrap_or(i64::MAX);
        self.cpu
            .with_label_values(&[tenant])
            .set(used.milli_cores.into());
        self.memory
            .with_label_values(&[tenant])
            .set(used.memory_mb.into());
        self.share
            .with_label_values(&[tenant])
            .set(figures.weighted_share);
        self.waiting.with_label_values(&[tenant]).set(waiting);
        let jobs = &figures.jobs;
        let outcomes = [
            ("accepted", jobs.accepted),
            ("on_time", jobs.on_time),
            ("late", jobs.late),
            ("too_late", jobs.too_late),
        ];
        for (outcome, total) in outcomes {
            raise_to(&self.jobs, &[tenant, outcome], total);
        }
        for (kind, total) in RefusalKind::ALL.into_iter().zip(jobs.refused) {
            raise_to(&self.refused, &[tenant, kind.name()], total);
        }
    }

    fn reset(&self) {
        self.cpu.reset();
        self.memory.reset();
        self.share.reset();
        self.waiting.reset();
        self.jobs.reset();
        self.refused.reset();
        self.worst_tenth.reset();
    }
}

/// Raises a counter to a total that the cell has counted.
fn raise_to(counters: &IntCounterVec, labels: &[&str], total: u64) {
    let counter = counters.with_label_values(labels);
    counter.inc_by(total.saturating_sub(counter.get()));
}

//! Runs all parts of a node in one process.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use dotterel_kernel::{Clock, Millis};
use http::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::advice::AdviceCalls;
use crate::config::{ActiveConfig, ConfigReader};
use crate::election::Election;
use crate::front::{Front, Relay};
use crate::http::limits::{LimitSizes, Limits};
use crate::http::{Body, InFlight, RequestBody, Service, json_response, serve_limited, server};
use crate::link::CellNo;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::scheduler::SchedulerHost;
use crate::settings::Settings;

/// Number of cells; one cell holds all VMs.
const CELL_COUNT: u16 = 1;
/// A node reports that it isn't ready after this long without a link to the scheduler.
const LINK_GRACE: Millis = Millis(2500);
/// How long a stopping node still accepts requests: the load balancer stops sending requests to
/// it after two failed checks, a second apart.
const DRAIN_TIME: Millis = Millis(2600);
/// Time before the end of the grace period at which the process exits, so that it isn't killed.
const SHUTDOWN_MARGIN: Millis = Millis(700);
/// Time without requests after which a node that stops ends.
const QUIET_TIME: Millis = Millis(200);
/// Time for the log's writer to write what is left.
const LOG_FLUSH_TIME: Millis = Millis(120);
/// The leadership is released at least this long before the grace period ends: the release itself
/// and the requests in flight take that long.
const RELEASE_MARGIN: Millis = Millis(2500);

struct ReadyService {
    config: Rc<ActiveConfig>,
    relays: Rc<[Rc<Relay>]>,
    stopping: Rc<Cell<bool>>,
}

impl Service for ReadyService {
    async fn handle(&self, _: Request<RequestBody>) -> Response<Body> {
        let is_linked = self.relays.iter().all(|relay| relay.is_linked(LINK_GRACE));
        let is_ready = is_linked && self.config.current().is_some() && !self.stopping.get();
        let status = if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        json_response(status, bytes::Bytes::new())
    }
}

struct MetricsService(Rc<Metrics>);

impl Service for MetricsService {
    async fn handle(&self, _: Request<RequestBody>) -> Response<Body> {
        json_response(StatusCode::OK, self.0.encode().into())
    }
}

/// Runs a node until SIGTERM or SIGINT.
///
/// `reload` is called on SIGHUP.
///
/// # Errors
///
/// Returns an error when an address can't be bound or a signal handler can't be installed.
pub async fn run<P: Platform>(
    settings: Settings,
    platform: P,
    reload: impl Fn(&P) + 'static,
) -> anyhow::Result<()> {
    let clock = Clock::system();
    let incarnation = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let incarnation = u64::try_from(incarnation.as_micros()).unwrap_or_default();
    let settings = Rc::new(settings);
    let platform = Rc::new(platform);
    let metrics = Rc::new(Metrics::new());
    let config = Rc::new(ActiveConfig::default());
    let stopping = Rc::new(Cell::new(false));
    let relays: Rc<[Rc<Relay>]> = (0..CELL_COUNT)
        .map(|_| Rc::new(Relay::new(clock)))
        .collect();
    let sizes = LimitSizes::of(settings.memory_mb, settings.max_fds);
    let limits = Limits::new(sizes, Rc::clone(&metrics), clock);
    let mut host = SchedulerHost::new(
        Rc::clone(&platform),
        Rc::clone(&settings),
        Rc::clone(&metrics),
        clock,
    );
    host.set_limits(&limits);
    let host = Rc::new(host.with_config(Rc::clone(&config)));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (stop_front, front_stop) = watch::channel(false);
    let (stop_admin, admin_stop) = watch::channel(false);

    tokio::task::spawn_local(Rc::clone(&limits).run());
    let listener = bind(settings.peer, sizes.backlog, sizes.link_socket_buffer)?;
    tokio::task::spawn_local(Rc::clone(&host).listen(listener));
    tokio::task::spawn_local(Rc::clone(&host).measure_lag());
    let ready = ReadyService {
        config: Rc::clone(&config),
        relays: Rc::clone(&relays),
        stopping: Rc::clone(&stopping),
    };
    let listener = bind(settings.ready, sizes.admin_backlog, sizes.socket_buffer)?;
    let ready = serve_limited(
        listener,
        Rc::new(ready),
        admin_stop.clone(),
        Rc::clone(&limits.ready),
    );
    tokio::task::spawn_local(ready);
    if let Some(address) = settings.metrics {
        let service = Rc::new(MetricsService(Rc::clone(&metrics)));
        let listener = bind(address, sizes.admin_backlog, sizes.socket_buffer)?;
        let metrics_limits = Rc::clone(&limits.metrics);
        tokio::task::spawn_local(serve_limited(listener, service, admin_stop, metrics_limits));
    }
    let reader = ConfigReader::new(
        Rc::clone(&platform),
        Rc::clone(&config),
        Rc::clone(&relays),
        clock,
    );
    tokio::task::spawn_local(reader.run());
    let advice_calls = Rc::new(AdviceCalls::default());
    for (number, relay) in (0..CELL_COUNT).zip(relays.iter()) {
        let election = Election {
            platform: Rc::clone(&platform),
            settings: Rc::clone(&settings),
            incarnation,
            cell: CellNo(number),
            relay: Rc::clone(relay),
            host: Rc::clone(&host),
            metrics: Rc::clone(&metrics),
            clock,
            stopping: Rc::clone(&stopping),
            advice_calls: Rc::clone(&advice_calls),
        };
        tokio::task::spawn_local(election.run());
    }
    let in_flight = Rc::new(InFlight::default());
    let front = Rc::new(CountingFront {
        front: Front {
            platform: Rc::clone(&platform),
            config: config.subscribe(),
            relays,
            metrics,
            clock,
            budget: Rc::clone(&limits.callers),
        },
        in_flight: Rc::clone(&in_flight),
    });
    let listener = bind(settings.front, sizes.backlog, sizes.socket_buffer)?;
    let front = serve_limited(listener, front, front_stop, Rc::clone(&limits.front));
    tokio::task::spawn_local(front);
    log::info!(
        node = settings.node.as_str(), life = incarnation, front:% = settings.front; "started");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&platform),
        }
    }
    let stopping_since = clock.now();
    log::info!(node = settings.node.as_str(), in_flight = in_flight.count(); "stopping");
    stopping.set(true);
    host.release_all(settings.grace - RELEASE_MARGIN).await;
    clock.sleep_until(stopping_since + DRAIN_TIME).await;
    stop_front.send_replace(true);
    let deadline = stopping_since + (settings.grace - SHUTDOWN_MARGIN);
    in_flight
        .wait_until_quiet(clock, QUIET_TIME, deadline)
        .await;
    log::info!(node = settings.node.as_str(), in_flight = in_flight.count(); "stopped");
    // The log's writer thread batches lines, so give it time to flush.
    tokio::time::sleep(LOG_FLUSH_TIME.duration()).await;
    stop_admin.send_replace(true);
    Ok(())
}

/// A front that counts its requests.
struct CountingFront<P> {
    front: Front<P>,
    in_flight: Rc<InFlight>,
}

impl<P: Platform> Service for CountingFront<P> {
    async fn handle(&self, request: Request<RequestBody>) -> Response<Body> {
        let _counted = self.in_flight.begin();
        self.front.handle(request).await
    }

    fn header_timeout(&self) -> Millis {
        self.front.header_timeout()
    }

    fn idle_timeout(&self) -> Millis {
        self.front.idle_timeout()
    }

    fn max_head_bytes(&self) -> usize {
        self.front.max_head_bytes()
    }
}

fn bind(
    address: std::net::SocketAddr,
    backlog: u32,
    buffer: Option<u32>,
) -> anyhow::Result<TcpListener> {
    server::listen(address, backlog, buffer)
        .with_context(|| format!("failed to listen on {address}"))
}

//! All of a node in one process.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use dotterel_kernel::{Clock, Millis};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::election::{Seeker, advice_calls};
use crate::front::{Front, Relay};
use crate::http::{Body, Service, json_response, serve};
use crate::link::CellNo;
use crate::metrics::Metrics;
use crate::platform::{Platform, StoreError};
use crate::routes::Configuration;
use crate::scheduler::Host;
use crate::settings::Settings;

/// Cells; all VMs are in one.
const CELLS: u16 = 1;
/// A node without a link to the scheduler for longer than this isn't ready.
const LINK_GRACE: Millis = Millis(2500);
/// The balancer takes a node out after two misses, a second apart; until then callers come in.
const DRAIN: Millis = Millis(2600);
/// Left of the grace period when the process ends by itself.
const GRACE_MARGIN: Millis = Millis(700);
/// Pause after a configuration that could not be read.
const CONFIG_PAUSE: Millis = Millis(150);

type Shared = Rc<RefCell<Option<Rc<Configuration>>>>;

struct Ready {
    config: Shared,
    cells: Rc<[Rc<Relay>]>,
    stopping: Rc<Cell<bool>>,
}

impl Service for Ready {
    async fn handle(&self, _: Request<Incoming>) -> Response<Body> {
        let linked = self.cells.iter().all(|relay| relay.is_linked(LINK_GRACE));
        let ready = linked && self.config.borrow().is_some() && !self.stopping.get();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        json_response(status, bytes::Bytes::new())
    }
}

struct Numbers(Rc<Metrics>);

impl Service for Numbers {
    async fn handle(&self, _: Request<Incoming>) -> Response<Body> {
        json_response(StatusCode::OK, self.0.text().into())
    }
}

/// Runs a node until it is told to stop.
///
/// `reload` is called on SIGHUP.
///
/// # Errors
///
/// Returns an error when an address can't be listened on or a signal can't be awaited.
pub async fn run<P: Platform>(
    settings: Settings,
    platform: P,
    reload: impl Fn(&P) + 'static,
) -> anyhow::Result<()> {
    let clock = Clock::system();
    let life = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let life = u64::try_from(life.as_micros()).unwrap_or_default();
    let settings = Rc::new(settings);
    let platform = Rc::new(platform);
    let metrics = Rc::new(Metrics::new());
    let config: Shared = Rc::default();
    let stopping = Rc::new(Cell::new(false));
    let cells: Rc<[Rc<Relay>]> = (0..CELLS).map(|_| Rc::new(Relay::new(clock))).collect();
    let host = Rc::new(Host::new(
        Rc::clone(&platform),
        Rc::clone(&settings),
        Rc::clone(&metrics),
        clock,
    ));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (stop, stopped) = watch::channel(false);
    let (close, closed) = watch::channel(false);

    let listener = bind(settings.peer).await?;
    tokio::task::spawn_local(Rc::clone(&host).listen(listener));
    let ready = Ready {
        config: Rc::clone(&config),
        cells: Rc::clone(&cells),
        stopping: Rc::clone(&stopping),
    };
    let listener = bind(settings.ready).await?;
    tokio::task::spawn_local(serve(listener, Rc::new(ready), closed.clone()));
    if let Some(address) = settings.metrics {
        let numbers = Rc::new(Numbers(Rc::clone(&metrics)));
        tokio::task::spawn_local(serve(bind(address).await?, numbers, closed));
    }
    tokio::task::spawn_local(follow_config(Rc::clone(&platform), Rc::clone(&config)));
    let advice = advice_calls();
    for (number, relay) in (0..CELLS).zip(cells.iter()) {
        let seeker = Seeker {
            platform: Rc::clone(&platform),
            settings: Rc::clone(&settings),
            life,
            cell: CellNo(number),
            relay: Rc::clone(relay),
            host: Rc::clone(&host),
            metrics: Rc::clone(&metrics),
            clock,
            stopping: Rc::clone(&stopping),
            advice: Rc::clone(&advice),
        };
        tokio::task::spawn_local(seeker.run());
    }
    let busy = Rc::new(Cell::new(0));
    let front = Rc::new(Counted {
        front: Front {
            platform: Rc::clone(&platform),
            config,
            cells,
            metrics,
            clock,
        },
        busy: Rc::clone(&busy),
    });
    tokio::task::spawn_local(serve(bind(settings.front).await?, front, stopped));
    log::info!(node = settings.node.as_str(), life, front:% = settings.front; "started");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&platform),
        }
    }
    let began = clock.now();
    log::info!(node = settings.node.as_str(), in_flight = busy.get(); "stopping");
    stopping.set(true);
    host.release().await;
    clock.sleep_until(began + DRAIN).await;
    stop.send_replace(true);
    let last = began + (settings.grace - GRACE_MARGIN);
    while busy.get() > 0 && clock.now() < last {
        tokio::time::sleep(Millis(20).duration()).await;
    }
    log::info!(node = settings.node.as_str(), in_flight = busy.get(); "stopped");
    // The log's writer gathers lines for a moment.
    tokio::time::sleep(Millis(120).duration()).await;
    close.send_replace(true);
    Ok(())
}

/// Counts the requests under way, which a planned stop waits for.
struct Counted<P> {
    front: Front<P>,
    busy: Rc<Cell<usize>>,
}

impl<P: Platform> Service for Counted<P> {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        self.busy.set(self.busy.get() + 1);
        let response = self.front.handle(request).await;
        self.busy.set(self.busy.get() - 1);
        response
    }

    fn header_timeout(&self) -> Millis {
        self.front.header_timeout()
    }
}

async fn bind(address: std::net::SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("can't listen on {address}"))
}

/// Keeps the configuration in force; never an older one than before.
async fn follow_config<P: Platform>(platform: Rc<P>, config: Shared) {
    let mut after = None;
    let mut away = false;
    loop {
        match platform.config_changes(after).await {
            Ok(change) => {
                if away {
                    log::info!(version = change.version; "configuration read again");
                }
                away = false;
                after = Some(change.version);
                let Some(latest) = change.latest else {
                    continue;
                };
                let known = config.borrow().as_ref().map_or(0, |config| config.version);
                if latest.version > known {
                    log::info!(
                        version = latest.version, before = known, queues = latest.routes.len();
                        "configuration in force");
                    *config.borrow_mut() = Some(Rc::new(latest));
                }
            }
            Err(StoreError::HistoryLost) => after = None,
            Err(fault) => {
                if !away {
                    log::warn!(fault:? = fault; "configuration not read");
                }
                away = true;
                tokio::time::sleep(CONFIG_PAUSE.duration()).await;
            }
        }
    }
}

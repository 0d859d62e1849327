//! Tenants of jobs, from the caller's key to the row of the job.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use dotterel_cell::record::{self, JobRow};
use dotterel_cell::{JobId, JobRecord, JobState};
use dotterel_kernel::Clock;
use dotterel_node::config::ActiveConfig;
use dotterel_node::election::{LEADER_KEY, RENEWAL_KEY, RenewalRow};
use dotterel_node::front::{Front, Relay};
use dotterel_node::http::limits::{ByteBudget, LimitSizes, Limits};
use dotterel_node::http::serve;
use dotterel_node::link::{self, CellNo, FrontMessage, Reply, Request, SchedulerMessage};
use dotterel_node::metrics::Metrics;
use dotterel_node::platform::Table;
use dotterel_node::routes::SecretBytes;
use dotterel_node::scheduler::SchedulerHost;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::log_lines;
use crate::support::{
    Node, OneVm, config, connect, leader_row, next_message, request, run, run_paused, start_node,
    start_scheduler_with,
};
use crate::two_leaders::{TASK, lead_configured, stored_record};
use crate::world::{View, World};

const JOB: &str = "000000000000000a";
const OTHER_JOB: &str = "000000000000000b";

fn apply(active: &ActiveConfig, row: &str) -> bool {
    active.apply(config(row).expect("the row is well-formed"), "test")
}

/// A node that answers callers at `address`, linked to a scheduler.
struct Cell {
    address: CompactString,
    config: Rc<ActiveConfig>,
    platform: Rc<OneVm>,
    _node: Node,
}

async fn listen() -> (TcpListener, CompactString) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    (listener, format_compact!("{address}"))
}

async fn start_cell(row: &str) -> Cell {
    let config = Rc::new(ActiveConfig::default());
    assert!(row.is_empty() || apply(&config, row));
    let platform = OneVm::new();
    platform.runs_last.set(true);
    let scheduler = start_scheduler_with(&platform, &config).await;
    let leader = record::encode(&leader_row(1, &scheduler.address));
    platform.put_role(LEADER_KEY, &leader);
    platform.put_role(RENEWAL_KEY, &record::encode(&RenewalRow::default()));
    start_front(platform, config).await
}

/// Returns the budget of a node whose settings name no limits.
fn default_budget() -> Rc<ByteBudget> {
    let sizes = LimitSizes::of(None, None);
    let limits = Limits::new(sizes, Rc::new(Metrics::new()), Clock::system());
    Rc::clone(&limits.callers)
}

/// Starts a node that answers callers, and waits until it is linked to the leader in the store.
async fn start_front(platform: Rc<OneVm>, config: Rc<ActiveConfig>) -> Cell {
    let node = start_node(&platform, &[]);
    let (listener, address) = listen().await;
    let front = Front {
        platform: Rc::clone(&platform),
        config: config.subscribe(),
        relays: [Rc::clone(&node.relay)].into(),
        metrics: Rc::new(Metrics::new()),
        clock: Clock::system(),
        budget: default_budget(),
    };
    // The sender ends with the test.
    let (stop, stopped) = watch::channel(false);
    tokio::task::spawn_local(async move {
        serve(listener, Rc::new(front), stopped).await;
        drop(stop);
    });
    sleep(Duration::from_millis(200)).await;
    Cell {
        address,
        config,
        platform,
        _node: node,
    }
}

impl Cell {
    async fn send(&self, head: &str, body: &str) -> String {
        exchange(&self.address, head, body).await
    }

    async fn status(&self, method: &str, path: &str, key: &str) -> u16 {
        status(&self.address, method, path, key).await
    }
}

/// Sends the head of a request, and `body`, and returns the response.
async fn exchange(address: &str, head: &str, body: &str) -> String {
    let stream = TcpStream::connect(address).await;
    let mut stream = stream.expect("the front listens");
    let text = format!("{head}\r\nhost: h.example\r\nconnection: close\r\n\r\n{body}");
    let written = stream.write_all(text.as_bytes()).await;
    written.expect("the front reads");
    let mut response = Vec::new();
    let read = timeout(Duration::from_secs(5), stream.read_to_end(&mut response)).await;
    // The connection may be reset, as the body of the request wasn't read.
    let _ = read.expect("the front answers");
    String::from_utf8_lossy(&response).into_owned()
}

/// Sends a request with a key, unless it is empty, and returns the status.
async fn status(address: &str, method: &str, path: &str, key: &str) -> u16 {
    let body = if method == "POST" { "{}" } else { "" };
    let length = body.len();
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {length}");
    if !key.is_empty() {
        head += &format!("\r\nauthorization: Bearer {key}");
    }
    status_of(&exchange(address, &head, body).await)
}

fn status_of(response: &str) -> u16 {
    let status = response
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok());
    status.unwrap_or_else(|| panic!("it has a status: {response}"))
}

/// Guards against bodies that are read for callers without a valid key, and against routes that reveal
/// whether they exist only with a key.
#[test]
fn a_missing_or_unknown_key_is_refused_before_the_body_arrives() {
    run(async {
        let cell = start_cell("4 red:k-1").await;
        for credentials in [
            "",
            "authorization: Bearer k-2\r\n",
            "authorization: Bearer \r\n",
            "authorization: Bearer\r\n",
            "authorization: Basic k-1\r\n",
            "authorization: k-1\r\n",
        ] {
            // The body never arrives.
            let head =
                format!("POST /orders/{JOB} HTTP/1.1\r\n{credentials}content-length: 200000");

            let response = cell.send(&head, "").await;

            assert_eq!(status_of(&response), 401, "{credentials}");
            let names_scheme = response.to_lowercase().contains("www-authenticate: bearer");
            assert!(names_scheme, "{response}");
        }
        assert_eq!(cell.status("POST", &format!("/none/{JOB}"), "").await, 404);
        assert_eq!(cell.status("GET", "/orders/", "").await, 401);
        assert_eq!(cell.status("GET", &format!("/orders/{JOB}"), "").await, 401);
        assert_eq!(cell.status("DELETE", "/orders/odd", "k-2").await, 401);
        assert_eq!(cell.platform.starts.get(), 0);
    });
}

#[test]
fn a_known_key_is_accepted_in_any_case_of_the_scheme() {
    run(async {
        let cell = start_cell("4 red:k-1").await;

        assert_eq!(
            cell.status("POST", &format!("/orders/{JOB}"), "k-1").await,
            200
        );
        assert_eq!(cell.status("GET", "/orders/", "k-1").await, 200);
        let head = format!("GET /orders/{JOB} HTTP/1.1\r\nAuthorization: bEARER  k-1");
        assert_eq!(status_of(&cell.send(&head, "").await), 200);
    });
}

#[test]
fn without_tenants_no_key_is_checked() {
    run(async {
        let cell = start_cell("4").await;

        assert_eq!(
            cell.status("POST", &format!("/orders/{JOB}"), "").await,
            200
        );
        assert_eq!(
            cell.status("GET", &format!("/orders/{JOB}"), "k-9").await,
            200
        );
        assert_eq!(cell.status("GET", "/orders/", "").await, 200);
    });
}

/// Guards against a node that accepts requests before it knows which keys are valid.
#[test]
fn a_node_without_a_configuration_serves_nothing() {
    run(async {
        let cell = start_cell("").await;

        assert_eq!(
            cell.status("POST", &format!("/orders/{JOB}"), "k-1").await,
            503
        );
        assert_eq!(cell.status("GET", "/orders/", "").await, 503);
    });
}

/// Guards against a job whose tenant is lost on a public route, and against jobs of nobody that only their
/// sender can reach.
#[test]
fn a_public_route_needs_no_key_and_still_identifies_a_known_one() {
    run(async {
        let cell = start_cell("4 red:k-1 blue:k-2").await;
        let (job, other) = (format!("/open/{JOB}"), format!("/open/{OTHER_JOB}"));

        assert_eq!(cell.status("POST", &job, "").await, 200);
        assert_eq!(cell.status("POST", &other, "k-1").await, 200);

        assert_eq!(cell.status("GET", "/open/", "").await, 200);
        for key in ["", "k-1", "k-2", "k-9"] {
            assert_eq!(cell.status("GET", &job, key).await, 200, "{key}");
        }
        assert_eq!(cell.status("GET", &other, "k-1").await, 200);
        for key in ["", "k-2", "k-9"] {
            assert_eq!(cell.status("GET", &other, key).await, 403, "{key}");
        }
    });
}

/// Guards against a tenant that reads, cancels or takes over the job of another.
#[test]
fn a_job_of_another_tenant_is_out_of_reach() {
    run(async {
        let cell = start_cell("4 red:k-1 blue:k-2").await;
        let path = format!("/orders/{JOB}");
        assert_eq!(cell.status("POST", &path, "k-1").await, 200);

        for method in ["GET", "DELETE", "POST"] {
            assert_eq!(cell.status(method, &path, "k-2").await, 403, "{method}");
        }
        assert_eq!(cell.status("GET", &path, "k-1").await, 200);
        assert_eq!(cell.status("DELETE", &path, "k-1").await, 200);
        assert_eq!(cell.status("GET", &path, "k-2").await, 403, "it has ended");
        // An unknown job has no tenant.
        let unknown = format!("/orders/{OTHER_JOB}");
        assert_eq!(cell.status("GET", &unknown, "k-2").await, 410);
    });
}

/// Guards against a state that the store reveals to another tenant while no scheduler replies.
#[test]
fn the_tenant_of_a_stored_job_is_compared_as_well() {
    run(async {
        let world = World::new();
        store_job_of(&world, "red");
        let config = ActiveConfig::default();
        assert!(apply(&config, "4 red:k-1 blue:k-2"));
        let (listener, address) = listen().await;
        let front = Front {
            platform: world.view(),
            config: config.subscribe(),
            relays: [Rc::new(Relay::new(world.clock))].into(),
            metrics: Rc::new(Metrics::new()),
            clock: world.clock,
            budget: default_budget(),
        };
        let (_stop, stopped) = watch::channel(false);
        tokio::task::spawn_local(serve(listener, Rc::new(front), stopped));
        let path = format!("/orders/{}", TASK.job);

        let (own, other) = tokio::join!(
            status(&address, "GET", &path, "k-1"),
            status(&address, "GET", &path, "k-2"),
        );

        assert_eq!((own, other), (200, 403));
    });
}

/// Guards against a revoked key that is valid again: a node that applies an older version, from a store or a
/// leader that lags behind.
#[test]
fn a_key_comes_and_goes_and_does_not_come_back() {
    run(async {
        let cell = start_cell("4 red:k-1").await;
        let path = format!("/orders/{JOB}");
        assert_eq!(cell.status("POST", &path, "k-1").await, 200);
        assert_eq!(cell.status("GET", &path, "k-2").await, 401);

        assert!(apply(&cell.config, "5 red:k-2"));
        assert_eq!(cell.status("GET", &path, "k-1").await, 401);
        assert_eq!(cell.status("GET", &path, "k-2").await, 200);

        assert!(!apply(&cell.config, "4 red:k-1"));
        assert!(!apply(&cell.config, "5 red:k-1"));
        assert_eq!(cell.status("GET", &path, "k-1").await, 401);
        assert_eq!(cell.status("GET", &path, "k-2").await, 200);
    });
}

/// Sends a request without a body on an open connection, and returns the status.
async fn status_on(stream: &mut TcpStream, method: &str, path: &str, key: &str) -> u16 {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer {key}\r\ncontent-length: 0\r\n\r\n"
    );
    let written = stream.write_all(head.as_bytes()).await;
    written.expect("the front reads");
    let mut response = vec![0; 4096];
    let read = timeout(Duration::from_secs(5), stream.read(&mut response)).await;
    let length = read.expect("the front answers").expect("it is connected");
    status_of(&String::from_utf8_lossy(&response[..length]))
}

/// Guards against a revoked key that is valid on connections which were open before, and against jobs of a tenant
/// that anyone reaches once the last tenant has left.
#[test]
fn a_revoked_key_is_refused_on_open_connections() {
    run(async {
        let cell = start_cell("4 red:k-1").await;
        let path = format!("/orders/{JOB}");
        assert_eq!(cell.status("POST", &path, "k-1").await, 200);
        let mut caller = TcpStream::connect(&*cell.address)
            .await
            .expect("it listens");
        let mut stranger = TcpStream::connect(&*cell.address)
            .await
            .expect("it listens");
        assert_eq!(status_on(&mut caller, "GET", &path, "k-1").await, 200);
        assert_eq!(status_on(&mut stranger, "GET", &path, "k-9").await, 401);

        assert!(apply(&cell.config, "5"), "a version without tenants");

        for method in ["GET", "DELETE"] {
            let found = status_on(&mut caller, method, &path, "k-1").await;
            assert_eq!(found, 401, "{method}");
            let found = status_on(&mut stranger, method, &path, "k-9").await;
            assert_eq!(found, 401, "{method}");
        }
        assert_eq!(cell.status("POST", &path, "k-1").await, 401);
        assert_eq!(cell.status("GET", &path, "").await, 401);
    });
}

/// Guards against keys in the log lines about requests.
#[test]
fn no_log_line_about_a_request_shows_a_key() {
    run(async {
        log_lines::capture();
        let cell = start_cell("4 red:sesame-1").await;
        for key in ["sesame-1", "sesame-9"] {
            cell.status("POST", &format!("/orders/{JOB}"), key).await;
            cell.status("DELETE", "/orders/odd", key).await;
        }

        let answered = log_lines::lines_of("request answered");

        assert_eq!(answered.len(), 4);
        let shown = format!("{:?}", log_lines::lines(|_| true));
        assert!(!shown.contains("sesame"), "{shown}");
    });
}

/// Replies to each request with `reply`.
async fn start_replying_leader(reply: Reply) -> CompactString {
    let (listener, address) = listen().await;
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (sender, mut queue) = mpsc::channel(1);
            let welcome = SchedulerMessage::Welcome { fence: 1 };
            assert!(sender.try_send(welcome).is_ok());
            let (mut reader, mut writer) = stream.split();
            let replies = async {
                while let Ok(message) = link::read::<FrontMessage, _>(&mut reader).await {
                    let message = match message {
                        FrontMessage::Request(id, _) => SchedulerMessage::Reply(id, reply.clone()),
                        _ => SchedulerMessage::Pong {
                            store_available: true,
                        },
                    };
                    let _ = sender.send(message).await;
                }
            };
            tokio::join!(replies, async {
                let _ = link::write_queue(&mut writer, &mut queue).await;
            });
        }
    });
    address
}

/// Guards against callers that send a job again and again that can never run.
#[test]
fn a_job_that_can_never_run_is_refused_with_the_limit_and_without_retry_after() {
    run(async {
        let reply = Reply::Never("cap of 8000 thousandths of a core".into());
        let leader = start_replying_leader(reply).await;
        let platform = OneVm::new();
        platform.put_role(LEADER_KEY, &record::encode(&leader_row(1, &leader)));
        let config = Rc::new(ActiveConfig::default());
        assert!(apply(&config, "4 red:k-1"));
        let cell = start_front(platform, config).await;
        let head = format!(
            "POST /orders/{JOB} HTTP/1.1\r\nauthorization: Bearer k-1\r\ncontent-length: 2"
        );

        let response = cell.send(&head, "{}").await;

        assert_eq!(status_of(&response), 429, "{response}");
        assert!(
            !response.to_lowercase().contains("retry-after"),
            "{response}"
        );
        assert!(response.contains("cap of 8000"), "{response}");
    });
}

/// Stores a running job of a tenant.
fn store_job_of(world: &World, tenant: &str) {
    let part = CellNo(0).part(0);
    let row = JobRow::open(JobRecord {
        tenant: tenant.into(),
        ..stored_record(1)
    });
    let key = format!("{}", TASK.job);
    world.put(&part, Table::Jobs, &key, record::encode(&row));
}

async fn connect_to(host: &Rc<SchedulerHost<View>>) -> TcpStream {
    let (listener, address) = listen().await;
    tokio::task::spawn_local(Rc::clone(host).listen(listener));
    connect(&address).await
}

async fn reply_to(front: &mut TcpStream, asked: Request) -> Reply {
    request(front, 7, asked).await;
    loop {
        if let SchedulerMessage::Reply(7, reply) = next_message(front).await {
            return reply;
        }
    }
}

/// Guards against a job that everybody can reach after a takeover.
#[test]
fn the_tenant_of_a_job_survives_a_takeover() {
    run(async {
        let world = World::new();
        world.add_vm("vm-1");
        let config = Rc::new(ActiveConfig::default());
        assert!(apply(&config, "4 red:k-1"));
        let metrics = || Rc::new(Metrics::new());
        let first = world.view();
        let host = lead_configured(&first, "entry-1", 1, metrics(), Rc::clone(&config)).await;
        let mut front = connect_to(&host).await;
        let submit = Request::SubmitFor(JobId(1), Box::new(stored_record(1)), "red".into());
        assert_eq!(reply_to(&mut front, submit.clone()).await, Reply::Accepted);
        drop(front);

        let second = world.view();
        let host = lead_configured(&second, "entry-2", 2, metrics(), Rc::clone(&config)).await;
        let mut front = connect_to(&host).await;

        let state = |tenant: &str| Request::StateFor(JobId(1), tenant.into());
        let cancel = |tenant: &str| Request::CancelFor(JobId(1), tenant.into());
        assert_eq!(
            reply_to(&mut front, state("blue")).await,
            Reply::OtherTenant
        );
        assert_eq!(reply_to(&mut front, state("")).await, Reply::OtherTenant);
        assert_eq!(
            reply_to(&mut front, cancel("blue")).await,
            Reply::OtherTenant
        );
        assert!(matches!(
            reply_to(&mut front, state("red")).await,
            Reply::State(Some(JobState::Queued | JobState::Running))
        ));
        assert_eq!(reply_to(&mut front, submit).await, Reply::Accepted);
        assert_eq!(
            reply_to(&mut front, cancel("red")).await,
            Reply::Cancelled(true)
        );

        // The tenant is part of the row of the ended job as well.
        let third = world.view();
        let host = lead_configured(&third, "entry-3", 3, metrics(), config).await;
        let mut front = connect_to(&host).await;
        assert_eq!(
            reply_to(&mut front, state("blue")).await,
            Reply::OtherTenant
        );
        let ended = reply_to(&mut front, state("red")).await;
        assert_eq!(ended, Reply::State(Some(JobState::Cancelled)));
    });
}

/// Guards against starts beyond the cap of a tenant by a leader that has no configuration yet.
#[test]
fn restored_jobs_of_tenants_wait_for_a_configuration() {
    run_paused(async {
        let world = World::new();
        store_job_of(&world, "red");
        world.add_vm("vm-1");
        let view = world.view();
        let config = Rc::new(ActiveConfig::default());
        let metrics = Rc::new(Metrics::new());
        let _host = lead_configured(&view, "entry-1", 1, metrics, Rc::clone(&config)).await;

        sleep(Duration::from_secs(10)).await;
        let before = world.vms_running(TASK);
        assert!(apply(&config, "4 red:k-1"));
        sleep(Duration::from_secs(1)).await;

        assert_eq!(before, Vec::<CompactString>::new());
        assert_eq!(world.vms_running(TASK), ["vm-1"]);
    });
}

/// Guards against jobs of tenants that wait after a takeover until the operator changes something.
#[test]
fn restored_jobs_of_tenants_start_with_the_configuration_of_the_leaders_node() {
    run_paused(async {
        let world = World::new();
        store_job_of(&world, "red");
        world.add_vm("vm-1");
        let view = world.view();
        let config = Rc::new(ActiveConfig::default());
        assert!(apply(&config, "4 red:k-1"));
        let metrics = Rc::new(Metrics::new());
        let _host = lead_configured(&view, "entry-1", 1, metrics, config).await;

        sleep(Duration::from_secs(10)).await;

        assert_eq!(world.vms_running(TASK), ["vm-1"]);
    });
}

/// Guards against operators who can't tell why a job was refused or why a tenant waits, and against metrics of
/// a leader that has ended.
#[test]
fn refusals_and_waits_at_the_cap_are_logged_and_counted() {
    run(async {
        log_lines::capture();
        let world = World::new();
        world.add_vm("vm-1");
        let active = Rc::new(ActiveConfig::default());
        let mut config = config("4 red:k-1").expect("the row is well-formed");
        config.tenants[0].cap.milli_cores = 2000;
        assert!(active.apply(config, "test"));
        let metrics = Rc::new(Metrics::new());
        let view = world.view();
        let host = lead_configured(&view, "entry-1", 1, Rc::clone(&metrics), active).await;
        let mut front = connect_to(&host).await;

        let mut large = stored_record(1);
        large.spec.steps[0].size.milli_cores = 3000;
        let submit = |id, record| Request::SubmitFor(JobId(id), Box::new(record), "red".into());
        let reply = reply_to(&mut front, submit(1, large)).await;
        assert!(matches!(reply, Reply::Never(_)), "{reply:?}");
        let reply = reply_to(&mut front, submit(2, stored_record(3))).await;
        assert_eq!(reply, Reply::Accepted);
        sleep(Duration::from_millis(3500)).await;

        let refused = log_lines::lines_of("job refused");
        let [refused] = refused.as_slice() else {
            panic!("one refusal expected: {refused:?}");
        };
        assert_eq!(
            (refused.text("tenant"), refused.text("reason")),
            ("red", "cap")
        );
        assert!(refused.text("over").contains("cap is 2000"), "{refused:?}");
        let waits = log_lines::lines_of("tenant waits");
        let [wait] = waits.as_slice() else {
            panic!("one wait expected: {waits:?}");
        };
        assert_eq!((wait.text("tenant"), wait.text("reason")), ("red", "Cap"));
        let inputs = ["waiting", "used_millicores", "cap_millicores"];
        assert_eq!(inputs.map(|key| wait.number(key)), [1, 2000, 2000]);
        let encoded = || String::from_utf8(metrics.encode()).expect("the metrics are text");
        let text = encoded();
        for series in [
            r#"dotterel_tenant_refusals_total{reason="cap",tenant="red"} 1"#,
            r#"dotterel_tenant_jobs_total{outcome="accepted",tenant="red"} 1"#,
            r#"dotterel_tenant_cpu_millicores{tenant="red"} 2000"#,
        ] {
            assert!(text.contains(series), "{series} is missing from {text}");
        }

        // Its successor takes over; the first leader ends when the VM tells it.
        let second = world.view();
        let _host = lead_configured(
            &second,
            "entry-2",
            2,
            Rc::new(Metrics::new()),
            Rc::default(),
        );
        let _host = _host.await;
        for _ in 0..50 {
            sleep(Duration::from_millis(100)).await;
            if !host.leads_any() {
                break;
            }
        }
        assert!(!host.leads_any());
        assert!(!encoded().contains("dotterel_tenant"), "{}", encoded());
    });
}

/// Nodes of two versions run side by side during an update.
#[test]
fn messages_about_tenants_have_a_fixed_encoding() {
    let encode = |request: Request| record::encode(&request);
    assert_eq!(
        encode(Request::CancelFor(JobId(1), "ab".into())),
        [5, 1, 2, b'a', b'b']
    );
    assert_eq!(encode(Request::StateFor(JobId(1), "".into())), [6, 1, 0]);
    assert_eq!(record::encode(&Reply::OtherTenant), [5]);
    assert_eq!(record::encode(&Reply::Never("x".into())), [6, 1, b'x']);
    assert_eq!(record::encode(&FrontMessage::GetConfig(3)), [5, 3]);
    let row = SecretBytes(Bytes::from_static(b"{}"));
    let config = record::encode(&SchedulerMessage::Config(3, row));
    assert_eq!(config, record::encode(&(6u8, 3u64, b"{}".to_vec())));
    // The former requests keep theirs.
    assert_eq!(encode(Request::Cancel(JobId(1))), [1, 1]);
    assert_eq!(encode(Request::State(JobId(1))), [2, 1]);
    let submit = encode(Request::Submit(JobId(1), Box::default()));
    let record = Box::new(JobRecord {
        tenant: "red".into(),
        ..JobRecord::default()
    });
    assert_eq!(encode(Request::Submit(JobId(1), record)), submit);
}

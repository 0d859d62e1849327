//! A request whose task started and was cut is never reported as not run, even if no other VM can
//! retry it.

use std::sync::Arc;
use std::time::Duration;

use dotterel_entry::{Dependencies, Node, Settings, Traffic};
use dotterel_kernel::{Clock, Fate, Record, Size, VmId};
use dotterel_mesh::keys::Authority;
use dotterel_platform::{ListedVm, Role, VmState};
use dotterel_standin::{FakeStore, FakeTable, FakeVmList, FakeWorker, checker};
use dotterelctl::Client;
use http::{Method, StatusCode};

const CALL_TIMEOUT_MS: u64 = 30_000;
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const DOCUMENT: &str = r#"
service = "quotes"
team = "consorcio"
[[class]]
name = "quote"
kind = "interactive"
start_ms = 3000
timeout_ms = 20000
typical_ms = 1000
size = { cores = 1.0, memory_mb = 256 }
"#;

/// A running node and its only worker.
struct Cell {
    node: Node,
    worker: FakeWorker,
}

/// Starts a node and one worker.
async fn start_cell() -> Cell {
    let clock = Clock::system();
    let capacity = Size {
        milli_cores: 4_000,
        memory_mb: 4_096,
        accelerators: 0,
        slots: 8,
        connections: 64,
    };
    let worker = FakeWorker::new(VmId::from("w1"), capacity, clock);
    let list = FakeVmList::new(clock);
    list.put(ListedVm {
        id: "w1".into(),
        role: Role::Worker,
        state: VmState::Live,
        data_centre: "dc-1".into(),
        region: "region-1".into(),
        addr: "127.0.0.1:1".into(),
    });
    let upstream = worker.clone();
    let deps = Dependencies {
        table: Arc::new(FakeTable::new(clock)),
        store: Arc::new(FakeStore::new(clock)),
        list: Arc::new(list),
        connect: Arc::new(move |_| Arc::new(upstream.clone())),
        traffic: Traffic::default(),
    };
    let node = Node::start(settings(), deps)
        .await
        .expect("loopback has free ports");
    Cell { node, worker }
}

fn settings() -> Settings {
    let authority = Authority::generate().expect("an authority can be generated");
    let keys = authority.issue(&"a".into()).expect("keys can be issued");
    let text = format!(
        "node = \"a\"\ndata_centre = \"dc-1\"\nregion = \"region-1\"\nplatform = \"127.0.0.1:1\"\n\
         [http]\nlisten = \"127.0.0.1:0\"\n\
         [mesh]\nlisten = \"127.0.0.1:0\"\ncertificate = '''{}'''\nkey = '''{}'''\n\
         authorities = '''{}'''\n",
        keys.certificate,
        keys.key,
        authority.pem()
    );
    Settings::parse(&text).expect("the settings are valid")
}

/// Waits until the check returns true.
///
/// # Panics
///
/// Panics after [`WAIT_TIMEOUT`].
async fn wait_until(mut check: impl FnMut() -> bool) {
    let waiting = async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting)
        .await
        .expect("the condition is met within the timeout");
}

#[tokio::test]
async fn a_cut_request_is_unknown_if_no_other_vm_is_available() {
    let cell = start_cell().await;
    let client = Client::new(&cell.node.http_addr().to_string(), CALL_TIMEOUT_MS);
    let first = [("if-none-match", "*".to_owned())];
    let path = "/v1/documents/quotes";
    let applied = client
        .call(Method::PUT, path, &first, DOCUMENT.into())
        .await;
    assert_eq!(applied.expect("the node responds").status, StatusCode::OK);
    wait_until(|| cell.node.app().workers.owns_vms()).await;

    let caller = client.clone();
    let call = tokio::spawn(async move {
        let path = "/v1/services/quotes/requests/quote";
        caller
            .call(Method::POST, path, &[], "{\"run_ms\": 15000}".into())
            .await
    });
    wait_until(|| cell.worker.used() != Size::ZERO).await;
    cell.worker.restart();
    cell.worker.set_leaving(true);
    let response = call
        .await
        .expect("the call does not panic")
        .expect("the node responds");

    assert_eq!(checker::runs(std::slice::from_ref(&cell.worker)).len(), 1);
    let header = |name: &str| {
        response
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    assert_eq!(header("dotterelrelay-fate"), Some("unknown"));
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    let request = header("dotterelrelay-request").expect("the response names the request");
    let record: Record = client
        .get_json(&format!("/v1/requests/{request}"))
        .await
        .expect("the record exists");
    assert!(!matches!(record.fate, Some(Fate::NotRun(_))), "{record:?}");
    cell.node.stop().await;
}

//! A VM that restarts under its id between two polls.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use dotterel_cell::{
    JobId, JobRecord, JobSpec, JobState, Policy, RawJob, Report, ReportedEnd, RunOutcome,
    StartAnswer, Step, TaskName, VmInfo,
};
use dotterel_kernel::{Clock, Millis, Size};
use dotterel_node::election::LeaderRow;
use dotterel_node::link::{self, CellNo, FrontMessage, Reply, Request, SchedulerMessage};
use dotterel_node::metrics::Metrics;
use dotterel_node::platform::{
    AdviceError, AdvisedVm, Commit, ConfigChange, Page, StartOrder, StoreError, Table, Tx,
    VmChanges, VmError, VmTarget,
};
use dotterel_node::scheduler::{SchedulerHost, Takeover};
use dotterel_node::{Platform, Settings};
use http::HeaderMap;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const SETTINGS: &str = r#"
    node = "entry-1"
    ip = "127.0.0.1"
    peer_port = 7720
    front = "127.0.0.1:8161"
    ready = "127.0.0.1:8167"
    [platform]
    store = "127.0.0.1:8169"
"#;

/// A platform with a store that accepts everything, and one VM on which tasks are done at once.
#[derive(Default)]
struct OneVm {
    version: Cell<u64>,
    incarnation: Cell<u64>,
    /// The next start order reaches the VM just after it has restarted.
    restarts: Cell<bool>,
    ends: RefCell<Vec<ReportedEnd>>,
    last_end: Cell<u64>,
    /// Number of completed runs, by task.
    done: RefCell<BTreeMap<TaskName, u32>>,
}

impl OneVm {
    fn restart(&self) {
        self.incarnation.set(self.incarnation.get() + 1);
        self.ends.borrow_mut().clear();
        self.last_end.set(0);
    }

    fn report(&self) -> Report {
        Report {
            incarnation: self.incarnation.get(),
            clock: Millis(1000),
            running: Vec::new(),
            ended: self.ends.borrow().clone(),
        }
    }
}

impl Platform for OneVm {
    /// The incarnation that accepted the connection.
    type VmConnection = u64;

    async fn commit(&self, _: &Tx, _: Millis) -> Commit {
        self.version.set(self.version.get() + 1);
        Commit::Done(self.version.get())
    }

    async fn scan(&self, _: Table, _: &str, _: &str, _: u32) -> Result<Page, StoreError> {
        Ok(Page::default())
    }

    async fn config_changes(&self, _: Option<u64>) -> Result<ConfigChange, StoreError> {
        Ok(ConfigChange::default())
    }

    async fn vm_changes(&self, after: Option<u64>) -> Result<VmChanges, StoreError> {
        let info = VmInfo {
            id: "vm-1".into(),
            incarnation: self.incarnation.get(),
            service: "quotes".into(),
            capacity: size(16_000),
            ..VmInfo::default()
        };
        // The registry lags behind the restart.
        let listed = if after.is_none() {
            vec![info]
        } else {
            Vec::new()
        };
        Ok(VmChanges {
            listed,
            is_full: after.is_none(),
            version: 1,
            ..VmChanges::default()
        })
    }

    async fn connect_vm(&self, _: &VmTarget) -> Result<u64, VmError> {
        Ok(self.incarnation.get())
    }

    async fn hold(
        &self,
        _: &VmTarget,
        connection: &mut u64,
        _: Option<Millis>,
        acked: u64,
        wait: Millis,
    ) -> Result<Report, VmError> {
        if *connection == self.incarnation.get() {
            self.ends.borrow_mut().retain(|end| end.number > acked);
            if self.ends.borrow().is_empty() {
                sleep(wait.duration().min(Duration::from_millis(30))).await;
            }
        }
        // The connection broke if the VM has restarted.
        if *connection == self.incarnation.get() {
            Ok(self.report())
        } else {
            Err(VmError::Away)
        }
    }

    async fn start(&self, _: &VmTarget, order: &StartOrder) -> StartAnswer {
        if self.restarts.take() {
            self.restart();
        }
        self.last_end.set(self.last_end.get() + 1);
        self.ends.borrow_mut().push(ReportedEnd {
            number: self.last_end.get(),
            task: order.task,
            run: order.run,
            outcome: RunOutcome::Done,
            saved: CompactString::default(),
        });
        *self.done.borrow_mut().entry(order.task).or_default() += 1;
        StartAnswer::Started
    }

    async fn stop(&self, _: &VmTarget, _: TaskName, _: u32) -> Result<(), VmError> {
        Ok(())
    }

    async fn advise(
        &self,
        _: (JobId, u32, u16),
        _: &[CompactString],
        _: Millis,
    ) -> Result<Vec<AdvisedVm>, AdviceError> {
        Err(AdviceError::Away)
    }

    fn decode_job(&self, _: &[u8]) -> Result<RawJob, CompactString> {
        Err("not used".into())
    }

    fn encode_state(&self, _: JobState) -> Bytes {
        Bytes::new()
    }

    fn encode_pending(&self, _: u32) -> Bytes {
        Bytes::new()
    }

    fn caller_timeout(&self, _: &HeaderMap) -> Option<Millis> {
        None
    }
}

fn size(milli_cores: u32) -> Size {
    Size {
        milli_cores,
        ..Size::ZERO
    }
}

fn record() -> JobRecord {
    let step = Step {
        count: 1,
        size: size(100),
        estimate: Millis(100),
        ..Step::default()
    };
    JobRecord {
        spec: JobSpec {
            steps: vec![step],
            ..JobSpec::default()
        },
        policy: Policy {
            service: "quotes".into(),
            max_attempts: 3,
            ..Policy::default()
        },
        ..JobRecord::default()
    }
}

/// Starts a scheduler for the first term and returns the address for fronts.
async fn start_scheduler(platform: &Rc<OneVm>) -> CompactString {
    let settings = Settings::parse(SETTINGS).expect("the settings are valid");
    let host = Rc::new(SchedulerHost::new(
        Rc::clone(platform),
        Rc::new(settings),
        Rc::new(Metrics::new()),
        Clock::system(),
    ));
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::task::spawn_local(Rc::clone(&host).listen(listener));
    host.start_term(Takeover {
        cell: CellNo(0),
        leader: LeaderRow {
            node: "entry-1".into(),
            incarnation: 1,
            address: CompactString::default(),
            term: 1,
            released: false,
            largest_node: 1000,
        },
        fence: 1,
    });
    compact_str::format_compact!("{address}")
}

/// Submits a job and waits until it is accepted.
async fn submit(stream: &mut TcpStream, id: u64) {
    let (sender, mut queue) = tokio::sync::mpsc::channel(4);
    let request = Request::Submit(JobId(id), Box::new(record()));
    sender
        .try_send(FrontMessage::Request(id, request))
        .expect("the queue has room");
    drop(sender);
    link::write_queue(stream, &mut queue)
        .await
        .expect("the link is open");
    loop {
        let message = link::read::<SchedulerMessage, _>(stream).await;
        if let SchedulerMessage::Reply(_, reply) = message.expect("the link is open") {
            assert_eq!(reply, Reply::Accepted);
            return;
        }
    }
}

async fn connect(address: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the scheduler listens");
    let (sender, mut queue) = tokio::sync::mpsc::channel(4);
    let hello = FrontMessage::Hello {
        node: "entry-2".into(),
        cell: CellNo(0),
        milli_cores: 1000,
    };
    sender.try_send(hello).expect("the queue has room");
    drop(sender);
    link::write_queue(&mut stream, &mut queue)
        .await
        .expect("the link is open");
    stream
}

#[test]
fn ends_of_a_restarted_vm_are_not_acknowledged_before_they_are_read() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    let platform = Rc::new(OneVm::default());
    platform.incarnation.set(7);
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let address = start_scheduler(&platform).await;
        let mut front = connect(&address).await;
        for id in 1..=3 {
            submit(&mut front, id).await;
            sleep(Duration::from_millis(150)).await;
        }

        // The scheduler has acknowledged three ends; the restarted VM numbers its ends from 1.
        platform.restarts.set(true);
        submit(&mut front, 4).await;
        sleep(Duration::from_millis(1500)).await;
    });

    assert_eq!(platform.incarnation.get(), 8, "the VM has restarted");
    let done = platform.done.borrow();
    assert_eq!(done.len(), 4);
    assert!(
        done.values().all(|runs| *runs == 1),
        "a task ran again: {done:?}"
    );
}

//! The cases.

use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::Cluster;
use crate::record::Record;

fn wait_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Returns the worker that started the given start of a job's tasks, counting from 0, once there is one.
fn starter(cluster: &Cluster, id: &str, count: usize, limit_s: u64) -> Option<usize> {
    let until = Instant::now() + Duration::from_secs(limit_s);
    while Instant::now() < until {
        let seen = cluster.seen.lock().unwrap();
        let starts = seen.iter().filter(|seen| seen.what == "start" && seen.task.starts_with(id));
        if let Some(start) = starts.skip(count).next() {
            return Some(start.worker);
        }
        drop(seen);
        wait_ms(5);
    }
    None
}

/// Workers lose power one after the other, each time the one on which a service is at work.
pub fn crashes(trouble: bool, record: &Record) -> Option<bool> {
    const SERVICE: &str = "5c0e7a21d94b36f8";
    const CRASHES: usize = 5;
    let cluster = Cluster::start(3, 8, (32_000, 64_000), record)?;
    let body = r#"{"spec":"work=600000","steps":[{"count":1,"cpu":2000,"mem_mb":1024,"est_ms":60000,"long_running":true}]}"#;
    if !cluster.submit(SERVICE, body, record) {
        return None;
    }
    if trouble {
        for crash in 0..CRASHES {
            let Some(index) = starter(&cluster, SERVICE, crash, 30) else { break };
            wait_ms(2000);
            cluster.workers[index].go_dark();
            wait_ms(4500);
            cluster.workers[index].restart();
        }
    } else {
        starter(&cluster, SERVICE, 0, 30)?;
        wait_ms(20_000);
    }
    let until = Instant::now() + Duration::from_secs(25);
    while Instant::now() < until {
        let state = cluster.state(1, SERVICE, record);
        if state == "failed" {
            record.say("the service is shown as failed, though no run of it has ended failed");
            return Some(true);
        }
        wait_ms(500);
    }
    Some(false)
}

/// Three workers lose power one after the other, each time the one on which a service is at work. The third
/// doesn't come back.
pub fn verdict(trouble: bool, record: &Record) -> Option<bool> {
    const SERVICE: &str = "5c0e7a21d94b36f8";
    /// A task that lasts is owed from 6 s after its last run, and the rule allows it 3 s more.
    const ALLOWED_MS: u64 = 9000;
    let cluster = Cluster::start(3, 8, (32_000, 64_000), record)?;
    let body = r#"{"spec":"work=600000","steps":[{"count":1,"cpu":2000,"mem_mb":1024,"est_ms":60000,"long_running":true}]}"#;
    if !cluster.submit(SERVICE, body, record) {
        return None;
    }
    for crash in 0..3 {
        let index = starter(&cluster, SERVICE, crash, 30)?;
        wait_ms(2000);
        let is_last = crash == 2;
        if is_last && !trouble {
            wait_ms(ALLOWED_MS);
            return Some(cluster.workers[index].counts().0 == 0);
        }
        cluster.workers[index].go_dark();
        if is_last {
            let lost_at = record.now();
            let started = starter(&cluster, SERVICE, 3, 40);
            let gap = record.now() - lost_at;
            record.say(&match started {
                Some(_) => format!("the service stood still for {gap} ms with 7 idle workers"),
                None => format!("the service was not started again within {gap} ms, with 7 idle workers"),
            });
            return Some(gap > ALLOWED_MS);
        }
        wait_ms(4500);
        cluster.workers[index].restart();
    }
    None
}

/// A client hands in a schedule that began three days ago, one occurrence each 10 s, so that 25,920 of them are
/// due; without trouble, one that begins now. Other clients hand in small jobs before and after.
pub fn schedule(trouble: bool, record: &Record) -> Option<bool> {
    const PERIOD_MS: u64 = 10_000;
    let dues = std::env::var("DUES").map_or(3 * 24 * 360, |dues| dues.parse().unwrap_or(0));
    /// `finish_s`.
    const FINISH_MS: u64 = 14_000;
    let cluster = Cluster::start(3, 8, (32_000, 64_000), record)?;
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).ok()?;
    let now = u64::try_from(now.as_millis()).ok()?;
    let first = if trouble { now - PERIOD_MS * dues } else { now };
    let body = format!(
        "{{\"spec\":\"work=200\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem_mb\":500,\"est_ms\":200}}],\"repeats\":100000,\"first_ms\":{first},\"period_ms\":{PERIOD_MS}}}"
    );
    let mut accepted = Vec::new();
    let two_steps = r#"{"spec":"work=4000","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_ms":4000},{"count":1,"cpu":500,"mem_mb":256,"est_ms":4000,"after":[0]}]}"#;
    for number in 0..10 {
        let id = format!("00000000000a{number:04x}");
        if !cluster.submit(&id, two_steps, record) {
            return None;
        }
        accepted.push(id);
    }
    let small = r#"{"spec":"work=300","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_ms":300}]}"#;
    let until = record.now() + 45_000;
    let mut number = 0;
    let mut answers = std::collections::BTreeMap::new();
    while record.now() < until {
        if number == 10 {
            let is_accepted = cluster.submit("5c0e7a21d94b36f8", &body, record);
            record.say(&format!("the schedule is accepted: {is_accepted}"));
        }
        let id = format!("00000000000{number:05x}");
        let (status, _) = cluster.call(number, "POST", &id, small);
        record.line("client", &format!("POST {id}: {status}"));
        *answers.entry(status).or_insert(0) += 1;
        if status == 200 {
            accepted.push(id);
        }
        number += 1;
        wait_ms(250);
    }
    record.say(&format!("small jobs by the status of their answer: {answers:?}"));
    wait_ms(FINISH_MS);
    let mut lost = 0;
    for (at, id) in accepted.iter().enumerate() {
        // The script has to end in time.
        let is_late = record.now() > 100_000;
        if is_late || cluster.state(at, id, record) != "completed" {
            lost += 1;
        }
    }
    let busy = cluster.workers.iter().map(|worker| worker.counts().0).sum::<usize>();
    record.say(&format!("{lost} of {} accepted small jobs aren't done; {busy} runs on all workers", accepted.len()));
    Some(lost > 0)
}

/// A job of 4,000 tasks that save their progress is handed in; without trouble, two of 2,000 tasks.
pub fn large(trouble: bool, record: &Record) -> Option<bool> {
    let cluster = Cluster::start(3, 32, (32_000, 64_000), record)?;
    let (jobs, count) = if trouble { (1, 4000) } else { (2, 2000) };
    for number in 0..jobs {
        let body = format!(
            "{{\"spec\":\"work=200000 uneven=40 save quiet\",\"steps\":[{{\"count\":{count},\"cpu\":240,\"mem_mb\":100,\"est_ms\":100000,\"checkpoint\":true}}]}}"
        );
        if !cluster.submit(&format!("5c0e7a21d94b36f{number}"), &body, record) {
            return None;
        }
    }
    let mut listed = 0;
    let mut noted = 0;
    for _ in 0..15 {
        wait_ms(2000);
        let counts = cluster.workers.iter().map(|worker| worker.counts());
        let sums = counts.fold((0, 0, 0), |sums, one| (sums.0 + one.0, sums.1 + one.1, sums.2 + one.2));
        record.line("workers", &format!("{} runs, {} ends not taken note of, {} taken note of", sums.0, sums.1, sums.2));
        (listed, noted) = (sums.1 as u64 + sums.2, sums.2);
    }
    record.say(&format!(
        "{noted} of {listed} ends were taken note of, all of them listed for over 20 s; {} transactions had a row over the limit",
        cluster.store.oversized()
    ));
    Some(noted * 5 < listed * 4)
}

/// Two clients choose ids of 16 hexadecimal digits that differ only in the case of a letter; without
/// trouble, in a digit.
pub fn letters(trouble: bool, record: &Record) -> Option<bool> {
    let ids = if trouble {
        ["5C0E7A21D94B36F8", "5c0e7a21d94b36f8"]
    } else {
        ["5c0e7a21d94b36f9", "5c0e7a21d94b36f8"]
    };
    let cluster = Cluster::start(3, 6, (32_000, 64_000), record)?;
    for (number, id) in ids.iter().enumerate() {
        let body = format!(
            "{{\"spec\":\"work=500 layout of client {number}\",\"steps\":[{{\"count\":1,\"cpu\":2000,\"mem_mb\":1024,\"est_ms\":500}}]}}"
        );
        if !cluster.submit(id, &body, record) {
            return None;
        }
        wait_ms(2000);
    }
    wait_ms(8000);
    let mut broken = false;
    for (number, id) in ids.iter().enumerate() {
        let state = cluster.state(1, id, record);
        let seen = cluster.seen.lock().unwrap();
        let spec = format!("client {number}");
        let starts: Vec<_> = seen.iter().filter(|seen| seen.what == "start" && seen.spec.ends_with(&spec)).collect();
        for start in starts.iter().filter(|start| !start.task.starts_with(id)) {
            record.say(&format!("job {id} was handed in, and a worker was told to start {}", start.task));
            broken = true;
        }
        if starts.is_empty() {
            record.say(&format!("job {id} was accepted and is shown as {state}, and none of its tasks was started"));
            broken = true;
        }
    }
    Some(broken)
}

/// Waits until a job is shown as completed, for as long as the rule allows: `finish_s`.
fn completes(cluster: &Cluster, id: &str, record: &Record) -> bool {
    let until = record.now() + 20_000;
    while record.now() < until {
        if cluster.state(1, id, record) == "completed" {
            return true;
        }
        wait_ms(500);
    }
    false
}

/// Workers of two kinds. The only one of the large kind fails what it starts, for 5 s. After that a job whose
/// task fits on no other worker is owed.
pub fn kinds(trouble: bool, record: &Record) -> Option<bool> {
    const JOB: &str = "5c0e7a21d94b36f8";
    let mut capacities = vec![(16_000, 32_000); 12];
    capacities[0] = (64_000, 128_000);
    let cluster = Cluster::start_mixed(3, &capacities, record)?;
    if trouble {
        cluster.workers[0].set_failing(true);
    }
    let body = r#"{"spec":"work=2000","steps":[{"count":1,"cpu":20000,"mem_mb":40000,"est_ms":2000}]}"#;
    if !cluster.submit(JOB, body, record) {
        return None;
    }
    wait_ms(5000);
    if trouble {
        cluster.workers[0].set_failing(false);
    }
    // Calm, by `contact_ms`.
    wait_ms(4000);
    let broken = !completes(&cluster, JOB, record);
    if broken {
        let seen = cluster.seen.lock().unwrap();
        let starts = seen.iter().filter(|seen| seen.what == "start").count();
        record.say(&format!("the job has had {starts} of its 4 attempts, and isn't started any more on an idle worker that fits it three times"));
    }
    Some(broken)
}

/// A gang that is faster in one rack, where each rack has lost a worker for good.
pub fn racks(trouble: bool, record: &Record) -> Option<bool> {
    const JOB: &str = "5c0e7a21d94b36f8";
    let cluster = Cluster::start(3, 24, (32_000, 64_000), record)?;
    if trouble {
        for rack in 0..3 {
            cluster.workers[rack * 8].go_dark();
        }
        wait_ms(12_000);
    }
    let body = r#"{"spec":"work=2000 gang=16","steps":[{"count":16,"cpu":15000,"mem_mb":16000,"est_ms":2000,"gang":true,"same_rack":true}]}"#;
    if !cluster.submit(JOB, body, record) {
        return None;
    }
    let broken = !completes(&cluster, JOB, record);
    if broken {
        let runs = cluster.workers.iter().map(|worker| worker.counts().0).sum::<usize>();
        record.say(&format!("a gang of 16 isn't started, with room for 42 of its tasks; {runs} runs on all workers"));
    }
    Some(broken)
}

/// Eight services run on one worker of eight, which loses power three times. Other clients then hand in small
/// jobs.
pub fn alone(trouble: bool, record: &Record) -> Option<bool> {
    const SERVICES: usize = 8;
    const SMALL: u64 = 10;
    let cluster = Cluster::start(3, 8, (32_000, 64_000), record)?;
    let service = |number: usize| format!("5c0e7a21d94b36f{number}");
    let body = r#"{"spec":"work=600000","steps":[{"count":1,"cpu":2000,"mem_mb":1024,"est_ms":60000,"long_running":true}]}"#;
    for number in 0..SERVICES {
        if !cluster.submit(&service(number), body, record) {
            return None;
        }
    }
    for crash in 0..3 {
        let index = starter(&cluster, &service(0), crash, 40)?;
        wait_ms(2500);
        if !trouble {
            break;
        }
        cluster.workers[index].go_dark();
        wait_ms(4500);
        cluster.workers[index].restart();
    }
    // The services are back; then a calm while, by `contact_ms` and the lease.
    wait_ms(12_000);
    let small = |number: u64| format!("00000000000000{number:02x}");
    let body = r#"{"spec":"work=300","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_ms":300}]}"#;
    let mut accepted = Vec::new();
    for number in 0..SMALL {
        if cluster.submit(&small(number), body, record) {
            accepted.push(small(number));
        }
    }
    // `finish_s`
    wait_ms(14_000);
    let mut lost = 0;
    for id in &accepted {
        lost += usize::from(cluster.state(1, id, record) != "completed");
    }
    let runs: Vec<usize> = cluster.workers.iter().map(|worker| worker.counts().0).collect();
    record.say(&format!("{lost} of {} small jobs aren't done; runs on the workers: {runs:?}", accepted.len()));
    Some(lost > 0)
}

/// The only worker that six jobs fit on is lost for good before their starts arrive, and then the leader is
/// killed.
pub fn pending(trouble: bool, record: &Record) -> Option<bool> {
    const JOBS: u64 = 6;
    let mut capacities = vec![(16_000, 32_000); 8];
    capacities[0] = (128_000, 256_000);
    let mut cluster = Cluster::start_mixed(3, &capacities, record)?;
    cluster.workers[0].go_dark();
    let body = r#"{"spec":"work=2000","steps":[{"count":1,"cpu":17000,"mem_mb":20000,"est_ms":2000}]}"#;
    for number in 0..JOBS {
        if !cluster.submit(&format!("00000000000{number:05x}"), body, record) {
            return None;
        }
    }
    wait_ms(3000);
    if trouble {
        record.line("script", "kills the leader");
        cluster.kill_leader();
    }
    // `visible_ms` and 2 s, and `contact_ms`.
    wait_ms(8000);
    let mut least = None;
    for attempt in 0..9 {
        let (status, body) = cluster.call(attempt, "GET", "", "");
        record.line("client", &format!("GET the queue: {status} {body}"));
        let count = crate::json::parse(body.as_bytes()).map(|body| body.number("pending"));
        least = count.filter(|_| status == 200).into_iter().chain(least).min();
        wait_ms(300);
    }
    let started = cluster.seen.lock().unwrap().len();
    record.say(&format!("{JOBS} accepted jobs wait, {started} starts were seen, and {least:?} are said to wait"));
    Some(least? * 2 < JOBS)
}

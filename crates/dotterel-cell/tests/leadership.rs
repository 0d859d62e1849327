//! No lease that a leader has requested outlasts the wait of its successor.

use dotterel_cell::{Cell, Leadership, Limits, Report, VmInfo, recovery_wait};
use dotterel_kernel::Millis;
use quickcheck::{TestResult, quickcheck};

/// When the predecessor acts, relative to its takeover. Times are in ms.
#[derive(Clone, Debug)]
struct History {
    /// Renewals that succeeded: when each was sent, and how much later its reply arrived.
    renewals: Vec<(u16, u16)>,
    /// Replies of the VM: when each arrived, and how much earlier it was sent.
    replies: Vec<(u16, u16)>,
    /// Calls that request a lease.
    requests: Vec<u16>,
    /// When the machine is suspended, and for how long.
    suspended_at: u16,
    suspended_for: u16,
}

const START: Millis = Millis(1_000_000);

impl History {
    /// Converts a time to what the leader's steady clock shows, which stands still in a suspension.
    fn steady(&self, time: Millis) -> Millis {
        let from = START + Millis(self.suspended_at.into());
        time - time.since(from).min(Millis(self.suspended_for.into()))
    }

    /// Returns true if the machine runs at that time.
    fn is_awake(&self, time: Millis) -> bool {
        let from = START + Millis(self.suspended_at.into());
        time <= from || time > from + Millis(self.suspended_for.into())
    }

    /// Returns the time at which the last lease expires on the VM.
    fn last_lease_end(&self) -> Option<Millis> {
        let limits = Limits::default();
        let mut cell = Cell::new(limits, 1, self.steady(START), START);
        let key = cell.vm_listed(vm_info(), START);
        let mut leadership = Leadership::acquired(START);
        let mut events: Vec<(Millis, Event)> = Vec::new();
        for (sent, delay) in &self.renewals {
            let sent = START + Millis((*sent).into());
            let arrival = sent + Millis((*delay).into());
            events.push((arrival, Event::Renewed(sent)));
        }
        for (arrival, age) in &self.replies {
            let arrival = START + Millis((*arrival).into());
            let sent = arrival - Millis(u64::from(*age) % 900);
            events.push((arrival, Event::Replied(vm_clock(sent))));
        }
        for at in &self.requests {
            events.push((START + Millis((*at).into()), Event::Requested));
        }
        events.retain(|(at, _)| self.is_awake(*at));
        events.sort_by_key(|(at, _)| *at);
        let mut last = None;
        for (at, event) in events {
            let now = self.steady(at);
            match event {
                Event::Renewed(sent) => leadership.renew(sent),
                Event::Replied(clock) => {
                    let report = Report {
                        incarnation: 7,
                        clock,
                        ..Report::default()
                    };
                    cell.apply_report(key, &report, now, now);
                }
                Event::Requested => {
                    let remaining = leadership.remaining(&limits, at);
                    last = last.max(cell.extend_lease(key, remaining, now));
                }
            }
        }
        last.map(time_on_vm)
    }
}

enum Event {
    Renewed(Millis),
    Replied(Millis),
    Requested,
}

fn vm_info() -> VmInfo {
    VmInfo {
        id: "vm-1".into(),
        incarnation: 7,
        ..VmInfo::default()
    }
}

/// The VM's clock runs slow, by as much as the platform allows.
fn vm_clock(time: Millis) -> Millis {
    Millis(time.since(START).0 * 98 / 100 + 5000)
}

/// Returns the time at which the VM's clock shows `clock`.
fn time_on_vm(clock: Millis) -> Millis {
    START + Millis((clock.0 - 5000) * 100 / 98)
}

quickcheck! {
    fn no_lease_outlasts_the_wait_of_a_successor(
        renewals: Vec<(u16, u16)>,
        replies: Vec<(u16, u16)>,
        requests: Vec<u16>,
        suspension: (u16, u16)
    ) -> TestResult {
        // The leader renews for some seconds, then it can't, and everything else goes on.
        let renewals = renewals.into_iter().map(|(sent, delay)| (sent % 4000, delay % 2000));
        let replies = replies.into_iter().map(|(arrival, age)| (arrival % 15_000, age));
        let history = History {
            renewals: renewals.collect(),
            replies: replies.collect(),
            requests: requests.into_iter().map(|at| at % 15_000).collect(),
            suspended_at: suspension.0 % 8000,
            suspended_for: suspension.1 % 9000,
        };
        let Some(lease_end) = history.last_lease_end() else {
            return TestResult::discard();
        };
        // The earliest takeover that makes no renewal fail that has succeeded.
        let sent = history.renewals.iter().map(|(sent, _)| Millis((*sent).into()));
        let takeover = START + sent.max().unwrap_or_default();
        TestResult::from_bool(lease_end <= takeover + recovery_wait(&Limits::default()))
    }
}

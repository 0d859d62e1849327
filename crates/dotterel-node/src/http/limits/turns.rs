//! Turns in which callers' connections are read.
//!
//! All callers share one thread with the scheduler and the links between nodes. A connection whose socket is
//! never empty is ready again as soon as it has been read, so hundreds of them would leave the other tasks
//! waiting for as long as it takes to read and parse from each of them. After [`TURN_BYTES`], the next reads
//! wait until all other tasks that are ready have run.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::task::Context;

use tokio::sync::Notify;
use tokio::task::yield_now;

use super::connections::Connection;

/// Bytes that callers' connections read in one turn: parsing them takes a few milliseconds at most.
const TURN_BYTES: usize = 64 * 1024;
/// Counted for each read, however small it is.
const MIN_READ_BYTES: usize = 1024;
/// Connections that are woken for a turn: those that can read their whole buffers in it, and more, as most
/// reads are smaller.
const WOKEN_PER_TURN: usize = 16;

/// What is left of the turn, and the connections that wait for the next one.
#[derive(Debug)]
pub struct ReadTurns {
    left: Cell<usize>,
    waiting: RefCell<VecDeque<(std::task::Waker, Rc<Connection>)>>,
    exhausted: Notify,
}

impl ReadTurns {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Self {
            left: Cell::new(TURN_BYTES),
            waiting: RefCell::default(),
            exhausted: Notify::new(),
        })
    }

    /// Returns true if a connection may read now; its task is woken in a later turn otherwise.
    pub(in crate::http) fn may_read(&self, connection: &Rc<Connection>, cx: &Context<'_>) -> bool {
        if self.left.get() > 0 {
            return true;
        }
        if !connection.awaits_turn.replace(true) {
            let waker = cx.waker().clone();
            let mut waiting = self.waiting.borrow_mut();
            waiting.push_back((waker, Rc::clone(connection)));
            self.exhausted.notify_one();
        }
        false
    }

    /// Notes that a connection has read bytes.
    pub(in crate::http) fn count(&self, bytes: usize) {
        let bytes = bytes.max(MIN_READ_BYTES);
        self.left.set(self.left.get().saturating_sub(bytes));
    }

    /// Begins turns until the process ends.
    pub(super) async fn run(&self) {
        loop {
            self.exhausted.notified().await;
            while !self.waiting.borrow().is_empty() {
                yield_now().await;
                self.left.set(TURN_BYTES);
                let mut waiting = self.waiting.borrow_mut();
                let woken = waiting.len().min(WOKEN_PER_TURN);
                for (waker, connection) in waiting.drain(..woken) {
                    connection.awaits_turn.set(false);
                    waker.wake();
                }
            }
        }
    }
}

//! State shared by the control endpoint and the broker's event loop.

use std::sync::atomic::{AtomicBool, Ordering};

use crate::statistics::Statistics;

/// State shared by the endpoint's thread and the broker's event loop.
#[derive(Debug)]
pub struct Operations {
    ready: AtomicBool,
    stopping: AtomicBool,
    drain_requested: AtomicBool,
    statistics: Statistics,
}

impl Operations {
    /// The state of a broker that is not ready yet and has no drain requested.
    pub fn new(statistics: Statistics) -> Self {
        Operations {
            ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            drain_requested: AtomicBool::new(false),
            statistics,
        }
    }

    /// The broker's counters and gauges.
    pub fn statistics(&self) -> &Statistics {
        &self.statistics
    }

    /// Whether the process is ready for clients. False as soon as a drain is requested, even before the event
    /// loop has seen the request.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst) && !self.drain_requested()
    }

    /// Sets whether the process is ready for clients.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::SeqCst);
    }

    /// Whether the process is shutting down; drain requests are refused from then on.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Marks the process as shutting down, and as not ready.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.set_ready(false);
    }

    /// Whether the last accepted request of an operator was to drain the broker.
    pub fn drain_requested(&self) -> bool {
        self.drain_requested.load(Ordering::SeqCst)
    }

    /// Requests that draining starts (`true`) or stops (`false`). Returns whether the request is accepted; a
    /// process that is shutting down refuses it.
    pub fn request_drain(&self, drain: bool) -> bool {
        if self.is_stopping() {
            return false;
        }
        self.drain_requested.store(drain, Ordering::SeqCst);
        true
    }
}

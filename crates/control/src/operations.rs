//! What the control endpoint and the broker's loop share.

use std::sync::atomic::{AtomicBool, Ordering};

use crate::statistics::Statistics;

/// State shared between the endpoint's thread and the broker's loop.
#[derive(Debug)]
pub struct Operations {
    ready: AtomicBool,
    stopping: AtomicBool,
    drain_requested: AtomicBool,
    statistics: Statistics,
}

impl Operations {
    /// A broker that is not ready yet and was not asked to drain.
    pub fn new(statistics: Statistics) -> Self {
        Operations {
            ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            drain_requested: AtomicBool::new(false),
            statistics,
        }
    }

    /// What the broker counts.
    pub fn statistics(&self) -> &Statistics {
        &self.statistics
    }

    /// Whether the process takes clients. A drain counts from the moment of its call, before the loop has seen it.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst) && !self.drain_requested()
    }

    /// Says whether the process takes clients.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::SeqCst);
    }

    /// Whether the process ends for good; drains are refused from then on.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Says that the process ends for good.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.set_ready(false);
    }

    /// Whether operators want the broker drained: their last call counts.
    pub fn drain_requested(&self) -> bool {
        self.drain_requested.load(Ordering::SeqCst)
    }

    /// Asks for a drain, or for its end. Gives whether the request is accepted: a process that ends refuses it.
    pub fn request_drain(&self, drain: bool) -> bool {
        if self.is_stopping() {
            return false;
        }
        self.drain_requested.store(drain, Ordering::SeqCst);
        true
    }
}

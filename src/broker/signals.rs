//! What signals ask for: SIGHUP reads the configuration again, SIGTERM ends the process.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGTERM};

use super::{Broker, SIGNAL};
use crate::config::Config;
use crate::interface::Time;
use crate::net::TimerEvent;

/// Marks that signals leave for the loop.
#[derive(Default)]
pub(super) struct SignalFlags {
    pub(super) stop: Arc<AtomicBool>,
    pub(super) reload: Arc<AtomicBool>,
}

impl SignalFlags {
    /// Takes the signals over: each leaves its mark, then a byte on `wake`.
    pub(super) fn listen(wake: &UnixStream) -> io::Result<Self> {
        let flags = SignalFlags::default();
        for (signal, mark) in [(SIGTERM, &flags.stop), (SIGHUP, &flags.reload)] {
            signal_hook::flag::register(signal, mark.clone())?;
            signal_hook::low_level::pipe::register(signal, wake.try_clone()?)?;
        }
        Ok(flags)
    }
}

impl Broker {
    pub(super) fn signalled(&mut self, now: Time) {
        // Marks are looked at after the bytes are gone: one that comes in between wakes the loop again.
        let _ = self.signal.read(&mut [0; 16]);
        let _ = self.net.poll.rearm(&self.signal, SIGNAL, true, false);
        if self.signal_flags.reload.swap(false, Ordering::SeqCst) {
            self.reload(now);
        }
        if self.signal_flags.stop.load(Ordering::SeqCst) {
            self.stop(now);
        }
    }

    /// Reads the configuration again, whole or not at all, and moves the watch to where it says.
    pub(super) fn reload(&mut self, now: Time) {
        let config = match Config::reread() {
            Ok(config) => config,
            Err(error) => {
                tracing::warn!("not reloaded: {error}");
                return;
            }
        };
        let mut kept = config.kept_until_restart(&self.config);
        match &mut self.trace {
            Some(trace) => kept.extend(trace.reload(config.service.trace.as_ref())),
            None if config.service.trace.is_some() => kept.push("trace"),
            None => {}
        }
        if !kept.is_empty() {
            tracing::info!("reload: {} will change at the next start", kept.join(", "));
        }
        let (Some(watch), Some(address)) = (&mut self.watch, config.discovery) else { return };
        self.config.discovery = config.discovery;
        if address == watch.address() {
            return;
        }
        tracing::info!("reload: discovery is now at {address}, {} open", self.core.open_queries());
        if let Some(store) = &mut self.store {
            store.moved(address);
        }
        if let Some(stream) = watch.set_address(address) {
            self.net.poll.remove(&stream);
        }
        self.tend_watch(now);
    }

    pub(super) fn stop(&mut self, now: Time) {
        if !self.lifecycle.stop(now, &self.settings.router.classes) {
            return;
        }
        self.operations.set_stopping();
        tracing::info!("stopping, {} open", self.core.open_queries());
        self.core.add_note("stopping");
        let (listens, serves) = (self.lifecycle.listens_until, self.lifecycle.serves_until);
        self.net.timers.arm(listens, TimerEvent::StopListening);
        self.net.timers.arm(serves.max(listens), TimerEvent::StopServing);
        self.net.timers.arm(self.lifecycle.ends_by, TimerEvent::ShutdownDeadline);
    }

    /// The broker has no more time: what is open gets its answer now.
    pub(super) fn fail_open(&mut self, now: Time) {
        for command in self.core.fail_open_queries() {
            self.carry_out(now, command);
        }
    }
}

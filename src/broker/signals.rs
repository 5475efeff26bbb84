//! Signals: SIGHUP reloads the configuration, SIGTERM stops the process.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGTERM};

use super::{Broker, SIGNAL_KEY};
use crate::config::Config;
use crate::interface::Time;
use crate::net::TimerEvent;

/// Flags that the signal handlers set for the loop.
#[derive(Default)]
pub(super) struct SignalFlags {
    pub(super) stop: Arc<AtomicBool>,
    pub(super) reload: Arc<AtomicBool>,
}

impl SignalFlags {
    /// Installs the signal handlers: each sets its flag, then writes a byte to `wake`.
    pub(super) fn install(wake: &UnixStream) -> io::Result<Self> {
        let flags = SignalFlags::default();
        for (signal, flag) in [(SIGTERM, &flags.stop), (SIGHUP, &flags.reload)] {
            signal_hook::flag::register(signal, flag.clone())?;
            signal_hook::low_level::pipe::register(signal, wake.try_clone()?)?;
        }
        Ok(flags)
    }
}

impl Broker {
    pub(super) fn handle_signals(&mut self, now: Time) {
        // The flags are read after the bytes: a signal that arrives in between wakes the loop again.
        let _ = self.signal.read(&mut [0; 16]);
        let _ = self.net.poll.rearm(&self.signal, SIGNAL_KEY, true, false);
        if self.signal_flags.reload.swap(false, Ordering::SeqCst) {
            self.reload(now);
        }
        if self.signal_flags.stop.load(Ordering::SeqCst) {
            self.stop(now);
        }
    }

    /// Reloads the configuration, entirely or not at all, and moves the watch to the configured discovery
    /// address.
    pub(super) fn reload(&mut self, now: Time) {
        let config = match Config::reload() {
            Ok(config) => config,
            Err(error) => {
                tracing::warn!("reload: the configuration stays unchanged: {error}");
                return;
            }
        };
        let mut kept = config.changes_needing_restart(&self.config);
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
        tracing::info!("reload: discovery is now at {address}, {} open queries", self.core.open_queries());
        if let Some(store) = &mut self.store {
            store.set_discovery(address);
        }
        watch.set_address(address);
        self.update_watch(now);
    }

    pub(super) fn stop(&mut self, now: Time) {
        if !self.lifecycle.stop(now, &self.settings.router.classes) {
            return;
        }
        self.operations.set_stopping();
        tracing::info!("stopping, {} open queries", self.core.open_queries());
        self.core.add_note("stopping");
        let (listen_until, keep_idle_until) = (self.lifecycle.listen_until, self.lifecycle.keep_idle_until);
        self.net.timers.arm(listen_until, TimerEvent::StopListening);
        self.net.timers.arm(keep_idle_until.max(listen_until), TimerEvent::StopServing);
        self.net.timers.arm(self.lifecycle.shutdown_deadline, TimerEvent::ShutdownDeadline);
    }

    /// Fails the open queries because the shutdown deadline has passed.
    pub(super) fn fail_open_queries(&mut self, now: Time) {
        for command in self.core.fail_open_queries() {
            self.execute(now, command);
        }
    }
}

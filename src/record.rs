//! Trace recording: a record of each step is passed to the trace thread, or dropped if its queue is full.

use std::io;

use badgergauge_trace::record::from_step_record;
use badgergauge_trace::recorder::{Directory, Recorder, RecorderOptions};
use badgergauge_trace::rotation::Limits;
use badgergauge_trace::{Record, Source};

use crate::config::Config;
use crate::config::service::TraceConfig;
use crate::core::Core;
use crate::interface::Time;
use crate::net::clock::Clock;

/// The trace recorder of a broker.
pub struct TraceRecorder {
    recorder: Recorder,
    settings: TraceConfig,
    /// The sequence number of the last step.
    last_sequence: u64,
}

fn limits(trace: &TraceConfig) -> Limits {
    Limits { file_bytes: trace.file_bytes, file_age: trace.file_age, total_bytes: trace.total_bytes }
}

impl TraceRecorder {
    /// Starts recording if the service file configures a trace.
    ///
    /// # Errors
    ///
    /// Returns an error if the trace directory can't be used.
    pub fn start(config: &Config, clock: &Clock, core: &mut Core) -> io::Result<Option<Self>> {
        let Some(trace) = config.service.trace.clone() else { return Ok(None) };
        let trace_dir_error = |error: io::Error| {
            io::Error::new(error.kind(), format!("trace.dir: {}: {error}", trace.dir.display()))
        };
        let directory = Directory::open(&trace.dir, &config.name).map_err(trace_dir_error)?;
        let sampled = trace.sample.iter().any(|share| *share < 1.0);
        let source = Source {
            broker: config.name.clone(),
            run: clock.run_id(),
            unix_at_zero: clock.unix_at_zero(),
            settings_digest: Source::digest(&config.settings_json),
            classes: config.settings.classes.clone(),
            zones: config.settings.zones.clone(),
            settings: config.settings_json.clone(),
            seed: config.seed,
            sample: if sampled { trace.sample.clone() } else { Vec::new() },
            moved: 0,
        };
        let options = RecorderOptions { source, limits: limits(&trace), queue: trace.queue };
        let recorder = Recorder::start(options, Box::new(directory)).map_err(trace_dir_error)?;
        core.enable_recording();
        core.add_note("started");
        tracing::info!("trace: recording to {}", trace.dir.display());
        Ok(Some(TraceRecorder { recorder, settings: trace, last_sequence: 0 }))
    }

    /// Queues the record of the core's last step.
    pub fn record_step(&mut self, core: &mut Core) {
        let Some(step) = core.take_step_record() else { return };
        let (record, names) = from_step_record(step);
        self.last_sequence = record.sequence;
        self.recorder.offer(record, names);
    }

    /// Starts a new file and applies changed limits. Returns the name of the section if other settings
    /// differ: those take effect at the next start.
    pub fn reload(&mut self, trace: Option<&TraceConfig>) -> Option<&'static str> {
        let (changed, limits) = match trace {
            None => (true, None),
            Some(trace) => {
                let running = &self.settings;
                let differs = trace.dir != running.dir
                    || trace.queue != running.queue
                    || trace.sample != running.sample;
                (differs, Some(limits(trace)))
            }
        };
        if self.recorder.rotate(limits) {
            tracing::info!("trace: a new file begins with the next step");
        } else {
            tracing::warn!("trace: the queue is full, no new file was started");
        }
        changed.then_some("trace")
    }

    /// Writes the queued records and a final note that the broker has ended.
    pub fn close(mut self, now: Time) {
        let record = Record {
            sequence: self.last_sequence + 1,
            time: now,
            note: "ended".to_owned(),
            ..Record::default()
        };
        self.recorder.offer(record, Vec::new());
        if !self.recorder.close() {
            tracing::warn!("trace: the last steps were not written to disk in time");
        }
    }
}

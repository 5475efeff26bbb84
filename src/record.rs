//! The recorder beside the loop: what each step was about goes to the trace's thread, or is dropped.

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

/// The recorder of a broker.
pub struct TraceRecorder {
    recorder: Recorder,
    settings: TraceConfig,
    last: u64,
}

fn limits(trace: &TraceConfig) -> Limits {
    Limits { file_bytes: trace.file_bytes, file_age: trace.file_age, total_bytes: trace.total_bytes }
}

impl TraceRecorder {
    /// Starts to record where the operator's file says so.
    ///
    /// # Errors
    ///
    /// When the folder can't be used.
    pub fn start(config: &Config, clock: &Clock, core: &mut Core) -> io::Result<Option<Self>> {
        let Some(trace) = config.service.trace.clone() else { return Ok(None) };
        let named = |error: io::Error| {
            io::Error::new(error.kind(), format!("trace.dir: {}: {error}", trace.dir.display()))
        };
        let directory = Directory::open(&trace.dir, &config.name).map_err(named)?;
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
        let recorder = Recorder::start(options, Box::new(directory)).map_err(named)?;
        core.enable_recording();
        core.add_note("started");
        tracing::info!("trace: recording to {}", trace.dir.display());
        Ok(Some(TraceRecorder { recorder, settings: trace, last: 0 }))
    }

    /// Hands over what the core's last step was about.
    pub fn take(&mut self, core: &mut Core) {
        let Some(observed) = core.take_step_record() else { return };
        let (record, names) = from_step_record(observed);
        self.last = record.sequence;
        self.recorder.offer(record, names);
    }

    /// Goes on with a new file, and with other bounds where they differ. What else differs waits for the next
    /// start, and is named.
    pub fn reload(&mut self, trace: Option<&TraceConfig>) -> Option<&'static str> {
        let (changed, limits) = match trace {
            None => (true, None),
            Some(trace) => {
                let now = &self.settings;
                let other = trace.dir != now.dir || trace.queue != now.queue || trace.sample != now.sample;
                (other, Some(limits(trace)))
            }
        };
        if self.recorder.rotate(limits) {
            tracing::info!("trace: a new file begins with the next step");
        } else {
            tracing::warn!("trace: the queue is full, no new file is begun");
        }
        changed.then_some("trace")
    }

    /// Writes what was handed over, and that the broker ends.
    pub fn close(mut self, now: Time) {
        let record =
            Record { sequence: self.last + 1, time: now, note: "ended".to_owned(), ..Record::default() };
        self.recorder.offer(record, Vec::new());
        if !self.recorder.close() {
            tracing::warn!("trace: the disk did not take the last steps in time");
        }
    }
}

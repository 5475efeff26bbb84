//! The log on standard error: lines of text as they always were, or JSON objects.
//!
//! A thread of its own writes it. The loop never waits for whoever reads: when the reader is so far behind
//! that the lines held reach their bound, further ones are dropped, and how many is said once it reads again.

use std::fmt::{self, Write};
use std::io;

use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::{FmtContext, MakeWriter};
use tracing_subscriber::registry::LookupSpan;

use crate::config::service::LogConfig;

/// Lines that may wait for the reader.
const LINES: usize = 1024;

/// Keeps the log going; what waits is written when it is dropped, as far as the reader takes it.
pub struct Guard {
    _worker: WorkerGuard,
    lost: ErrorCounter,
}

impl Guard {
    /// Lines that were dropped so far.
    pub fn lost(&self) -> usize {
        self.lost.dropped_lines()
    }
}

/// Sends the log of this process to standard error from now on.
///
/// # Errors
///
/// When it goes somewhere already.
pub fn start(log: LogConfig) -> Result<Guard, String> {
    let (writer, guard) = writer(io::stderr());
    let said = if log.json {
        let builder = tracing_subscriber::fmt().json().flatten_event(true).with_target(false);
        builder.with_max_level(log.level).with_writer(writer).try_init()
    } else {
        let builder = tracing_subscriber::fmt().event_format(Plain);
        builder.with_max_level(log.level).with_writer(writer).try_init()
    };
    said.map(|()| guard).map_err(|error| error.to_string())
}

fn writer(to: impl io::Write + Send + 'static) -> (impl for<'a> MakeWriter<'a> + 'static, Guard) {
    let (writer, worker) =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES).thread_name("log").finish(to);
    let lost = writer.error_counter();
    (writer, Guard { _worker: worker, lost })
}

/// `badgergauge: words field=value`, with the level before the words where it is not the usual one.
struct Plain;

impl<S, N> FormatEvent<S, N> for Plain
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut to: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut words = Words::default();
        event.record(&mut words);
        let level = match *event.metadata().level() {
            Level::ERROR => "error: ",
            Level::WARN => "warning: ",
            Level::INFO => "",
            Level::DEBUG => "debug: ",
            Level::TRACE => "trace: ",
        };
        writeln!(to, "badgergauge: {level}{}{}", words.message, words.fields)
    }
}

/// An event's message and its fields. Line ends in them are written as escapes: an event is one line.
#[derive(Default)]
struct Words {
    message: String,
    fields: String,
}

impl Visit for Words {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.record_debug(field, &format_args!("{value}"));
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        let text = format!("{value:?}").replace('\n', "\\n").replace('\r', "\\r");
        // Writing to a text can't fail.
        let _ = match field.name() {
            "message" => write!(self.message, "{text}"),
            name => write!(self.fields, " {name}={text}"),
        };
    }
}

#[cfg(test)]
mod tests {
    use std::sync::mpsc::{Receiver, Sender, channel};

    use super::*;

    /// A reader that takes nothing until it is let, as a full pipe does.
    struct Full {
        blocked: Receiver<()>,
        taken: Sender<String>,
    }

    impl io::Write for Full {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            let _ = self.blocked.recv();
            let _ = self.taken.send(String::from_utf8_lossy(bytes).into_owned());
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    // Guards the loop against a log that nobody reads: it goes on, what does not fit is counted, and the
    // lines keep their form. The calls below would never return if the writer were waited for.
    #[test]
    fn a_log_that_nobody_reads_stops_nobody() {
        let ((open, blocked), (taken, lines)) = (channel(), channel());
        let (writer, guard) = writer(Full { blocked, taken });
        let subscriber = tracing_subscriber::fmt().event_format(Plain).with_writer(writer).finish();
        tracing::subscriber::with_default(subscriber, || {
            tracing::warn!(server = "s-1", open = 3, "two\nlines");
            for line in 0..2 * LINES {
                tracing::info!("line {line}");
            }
        });
        // One line may be with the thread already, or none.
        assert!((LINES..=LINES + 1).contains(&guard.lost()), "{}", guard.lost());
        drop(open);
        assert_eq!(lines.recv().as_deref(), Ok("badgergauge: warning: two\\nlines server=s-1 open=3\n"));
        assert_eq!(lines.recv().as_deref(), Ok("badgergauge: line 0\n"));
    }
}

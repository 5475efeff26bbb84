//! The log on standard error, as lines of text or JSON objects.
//!
//! A separate thread writes it, so the event loop never waits for the reader. When `MAX_QUEUED_LINES` lines
//! are queued, further ones are dropped and counted.

use std::fmt::{self, Write};
use std::io;

use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::{FmtContext, MakeWriter};
use tracing_subscriber::registry::LookupSpan;

use crate::config::service::LogConfig;

/// Lines that may be queued for writing.
const MAX_QUEUED_LINES: usize = 1024;

/// Keeps the log thread running. When dropped, queued lines are written as far as the reader accepts them.
pub struct Guard {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl Guard {
    /// The number of lines dropped so far.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Writes the log of this process to standard error from now on.
///
/// # Errors
///
/// Returns an error if a log is already set up.
pub fn start(log: LogConfig) -> Result<Guard, String> {
    let (writer, guard) = writer(io::stderr());
    let started = if log.json {
        let builder = tracing_subscriber::fmt().json().flatten_event(true).with_target(false);
        builder.with_max_level(log.level).with_writer(writer).try_init()
    } else {
        let builder = tracing_subscriber::fmt().event_format(PlainFormat);
        builder.with_max_level(log.level).with_writer(writer).try_init()
    };
    started.map(|()| guard).map_err(|error| error.to_string())
}

fn writer(to: impl io::Write + Send + 'static) -> (impl for<'a> MakeWriter<'a> + 'static, Guard) {
    let (writer, worker) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .thread_name("log")
        .finish(to);
    let dropped = writer.error_counter();
    (writer, Guard { _worker: worker, dropped })
}

/// `badgergauge: message field=value`, with the level before the message unless it is INFO.
struct PlainFormat;

impl<S, N> FormatEvent<S, N> for PlainFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut to: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut text = EventText::default();
        event.record(&mut text);
        let level = match *event.metadata().level() {
            Level::ERROR => "error: ",
            Level::WARN => "warning: ",
            Level::INFO => "",
            Level::DEBUG => "debug: ",
            Level::TRACE => "trace: ",
        };
        writeln!(to, "badgergauge: {level}{}{}", text.message, text.fields)
    }
}

/// An event's message and its fields. Line breaks are escaped, as an event is one line.
#[derive(Default)]
struct EventText {
    message: String,
    fields: String,
}

impl Visit for EventText {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.record_debug(field, &format_args!("{value}"));
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        let text = format!("{value:?}").replace('\n', "\\n").replace('\r', "\\r");
        // Writing to a string can't fail.
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

    /// A writer that blocks until it is released, as a full pipe does.
    struct BlockedReader {
        blocked: Receiver<()>,
        written: Sender<String>,
    }

    impl io::Write for BlockedReader {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            let _ = self.blocked.recv();
            let _ = self.written.send(String::from_utf8_lossy(bytes).into_owned());
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    // Guards the event loop against a log that nobody reads: the loop continues, lines that do not fit are
    // counted, and the format stays the same. The calls below would never return if they waited for the
    // writer.
    #[test]
    fn an_unread_log_does_not_block_the_process() {
        let ((open, blocked), (written, lines)) = (channel(), channel());
        let (writer, guard) = writer(BlockedReader { blocked, written });
        let subscriber = tracing_subscriber::fmt().event_format(PlainFormat).with_writer(writer).finish();
        tracing::subscriber::with_default(subscriber, || {
            tracing::warn!(server = "s-1", open = 3, "two\nlines");
            for line in 0..2 * MAX_QUEUED_LINES {
                tracing::info!("line {line}");
            }
        });
        // The writer thread may have taken one line from the queue already.
        assert!(
            (MAX_QUEUED_LINES..=MAX_QUEUED_LINES + 1).contains(&guard.dropped_lines()),
            "{}",
            guard.dropped_lines()
        );
        drop(open);
        assert_eq!(lines.recv().as_deref(), Ok("badgergauge: warning: two\\nlines server=s-1 open=3\n"));
        assert_eq!(lines.recv().as_deref(), Ok("badgergauge: line 0\n"));
    }
}

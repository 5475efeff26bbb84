//! Fault injection for the fleet harness: a shared library, preloaded into a broker with `LD_PRELOAD`, that
//! delays the process right before some of its writes. This reproduces what happens on a busy machine between
//! reading a clock and the system call that follows. The broker has no hook for it, and no other crate of the
//! workspace links this one.
//!
//! Only calls of `writev` that contain a frame cancelling a part (frame `c`) are delayed. The environment
//! variable `BADGERGAUGE_WRITE_DELAY` names a plan file; while it contains `EVERY MILLISECONDS`, each write
//! whose number is a multiple of `EVERY` is delayed by `MILLISECONDS`. With a third word, `until-released`, a
//! marker file, named like the plan file with `.waiting` appended, is created for the time of the delay,
//! which lasts until someone removes the marker, but at most a minute. Without the variable, the file or a
//! valid plan in it, writes are not changed.

use std::ffi::c_int;
use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Environment variable that names the plan file.
const PLAN_VARIABLE: &str = "BADGERGAUGE_WRITE_DELAY";
/// Size of the length field of a frame, in bytes; the frame type follows.
const LENGTH_FIELD_BYTES: usize = 4;
/// Frame type that cancels a part.
const CANCEL_FRAME: u8 = b'c';

/// Number of writes with a cancel frame so far.
static CANCEL_WRITES: AtomicU64 = AtomicU64::new(0);

/// Third word of a plan whose delays last until they are released.
const UNTIL_RELEASED: &str = "until-released";
/// Longest wait for the release of a delay.
const MAX_RELEASE_WAIT: Duration = Duration::from_secs(60);
/// Interval at which the release of a delay is checked.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Which writes are delayed, and by how much.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Plan {
    /// Writes whose number is a multiple of this are delayed.
    every: u64,
    delay: Duration,
    /// The marker file that exists until a delay is released; `None` if delays are not released explicitly.
    marker: Option<PathBuf>,
}

impl Plan {
    /// Reads the current plan; `None` if writes are not to be delayed.
    fn current() -> Option<Plan> {
        let path = PathBuf::from(std::env::var_os(PLAN_VARIABLE)?);
        Plan::parse(&fs::read_to_string(&path).ok()?, path)
    }

    /// Parses a plan; `path` is that of the plan file.
    fn parse(text: &str, path: PathBuf) -> Option<Plan> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let (every, milliseconds, until_released) = match words[..] {
            [every, milliseconds] => (every, milliseconds, false),
            [every, milliseconds, UNTIL_RELEASED] => (every, milliseconds, true),
            _ => return None,
        };
        let every = every.parse().ok().filter(|every| *every > 0)?;
        let delay = Duration::from_millis(milliseconds.parse().ok()?);
        let marker = until_released.then(|| {
            let mut name = path.into_os_string();
            name.push(".waiting");
            PathBuf::from(name)
        });
        Some(Plan { every, delay, marker })
    }

    /// Whether the write with this number, counted from 1, is delayed.
    fn applies_to(&self, number: u64) -> bool {
        number.is_multiple_of(self.every)
    }

    /// Blocks the calling thread for the delay.
    fn block(&self) {
        let Some(marker) = &self.marker else { return thread::sleep(self.delay) };
        let start = Instant::now();
        let is_marked = fs::write(marker, "").is_ok();
        thread::sleep(self.delay);
        while is_marked && marker.exists() && start.elapsed() < MAX_RELEASE_WAIT {
            thread::sleep(RELEASE_CHECK_INTERVAL);
        }
    }
}

/// Whether a buffer is exactly one cancel frame.
fn is_cancel_frame(buffer: &[u8]) -> bool {
    let Some((length, rest)) = buffer.split_first_chunk::<LENGTH_FIELD_BYTES>() else { return false };
    rest.first() == Some(&CANCEL_FRAME) && u32::from_be_bytes(*length) as usize == rest.len()
}

/// Counts a write with a cancel frame and delays it if the plan applies to it.
fn delay_write(has_cancel: bool) {
    if !has_cancel {
        return;
    }
    let number = CANCEL_WRITES.fetch_add(1, Ordering::Relaxed) + 1;
    if let Some(plan) = Plan::current().filter(|plan| plan.applies_to(number)) {
        plan.block();
    }
}

/// Replaces the C library's `writev`: the same system call, after a delay if the plan asks for one.
///
/// # Safety
///
/// As for `writev(2)`: `buffers` points to `count` valid `iovec`s, each of readable memory.
#[allow(unsafe_code)] // It replaces a function of the C library, which takes raw pointers.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(
    descriptor: c_int,
    buffers: *const libc::iovec,
    count: c_int,
) -> libc::ssize_t {
    let length = usize::try_from(count).unwrap_or(0);
    let has_cancel = !buffers.is_null() && length > 0 && {
        // SAFETY: the caller guarantees `count` valid `iovec`s, each of readable memory.
        let buffers = unsafe { std::slice::from_raw_parts(buffers, length) };
        buffers.iter().filter(|buffer| buffer.iov_len > 0).any(|buffer| {
            // SAFETY: as above; the length is not zero, so the address is not null.
            is_cancel_frame(unsafe { std::slice::from_raw_parts(buffer.iov_base.cast(), buffer.iov_len) })
        })
    };
    delay_write(has_cancel);
    // SAFETY: the arguments are passed on unchanged from the caller.
    let written = unsafe { libc::syscall(libc::SYS_writev, descriptor, buffers, count) };
    written as libc::ssize_t
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn valid_plans_are_parsed_and_invalid_ones_ignored() {
        let plan = Plan { every: 4, delay: Duration::from_millis(100), marker: None };
        let parse = |text: &str| Plan::parse(text, "p".into());
        assert_eq!(parse("4 100\n"), Some(plan.clone()));
        let until_released = Plan { marker: Some("p.waiting".into()), ..plan.clone() };
        assert_eq!(parse("4 100 until-released"), Some(until_released));
        for text in ["", "4", "0 100", "4 x", "-1 100", "4 100 7"] {
            assert_eq!(parse(text), None, "{text:?}");
        }
        let delayed: Vec<u64> = (1..=9).filter(|number| plan.applies_to(*number)).collect();
        assert_eq!(delayed, [4, 8]);
    }

    #[test]
    fn only_complete_cancel_frames_are_delayed() {
        assert!(is_cancel_frame(b"\0\0\0\x05cq1.0"));
        for buffer in [&b"\0\0\0\x05qq1.0"[..], b"\0\0\0\x04cq1.0", b"\0\0\0\x01p", b"\0\0\0", b""] {
            assert!(!is_cancel_frame(buffer), "{buffer:?}");
        }
    }
}

//! Fault injection for the fleet harness: a shared object that is preloaded into a broker (`LD_PRELOAD`) and holds the
//! process up right before some of its writes, as a busy machine does between the reading of a clock and the system
//! call that follows. The broker carries no hook for it, and no other crate of the workspace links this one.
//!
//! Held up are writes by `writev` that carry a frame by which the broker gives a part up (frame `c`). The environment
//! variable `BADGERGAUGE_WRITE_DELAY` names a file; while it holds `EVERY MILLISECONDS`, every so many-th such write is
//! delayed by so much. With a third word, `until-released`, a file with `.waiting` at its name's end appears beside the
//! plan meanwhile, and the delay lasts until somebody removes that file too, a minute at the most. Without the variable,
//! the file or a sound text in it, writes go through unchanged.

use std::ffi::c_int;
use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The environment variable that names the file with the plan.
const PLAN_VARIABLE: &str = "BADGERGAUGE_WRITE_DELAY";
/// Bytes of a frame's length, which its letter follows.
const LENGTH_BYTES: usize = 4;
/// The letter of a frame that gives a part up.
const GIVE_UP: u8 = b'c';

/// Writes seen so far that give a part up.
static GIVE_UPS: AtomicU64 = AtomicU64::new(0);

/// The third word of a plan whose delays last until they are released.
const UNTIL_RELEASED: &str = "until-released";
/// The longest that a delay waits to be released.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// How often a delay looks whether it is released.
const RELEASE_CHECK: Duration = Duration::from_millis(1);

/// Which writes are delayed, and by how much.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Plan {
    every: u64,
    by: Duration,
    /// The file that is there while a delay waits to be released.
    waiting: Option<PathBuf>,
}

impl Plan {
    /// The plan that is in force; none where no write is to be delayed.
    fn in_force() -> Option<Plan> {
        let path = PathBuf::from(std::env::var_os(PLAN_VARIABLE)?);
        Plan::parse(&fs::read_to_string(&path).ok()?, path)
    }

    fn parse(text: &str, path: PathBuf) -> Option<Plan> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let (every, milliseconds, waits) = match words[..] {
            [every, milliseconds] => (every, milliseconds, false),
            [every, milliseconds, UNTIL_RELEASED] => (every, milliseconds, true),
            _ => return None,
        };
        let every = every.parse().ok().filter(|every| *every > 0)?;
        let by = Duration::from_millis(milliseconds.parse().ok()?);
        let waiting = waits.then(|| {
            let mut name = path.into_os_string();
            name.push(".waiting");
            PathBuf::from(name)
        });
        Some(Plan { every, by, waiting })
    }

    fn delays(&self, number: u64) -> bool {
        number.is_multiple_of(self.every)
    }

    fn delay(&self) {
        let Some(waiting) = &self.waiting else { return thread::sleep(self.by) };
        let begun = Instant::now();
        let is_marked = fs::write(waiting, "").is_ok();
        thread::sleep(self.by);
        while is_marked && waiting.exists() && begun.elapsed() < MAX_WAIT {
            thread::sleep(RELEASE_CHECK);
        }
    }
}

/// Whether a piece that is written is a frame by which a part is given up.
fn is_give_up(piece: &[u8]) -> bool {
    let Some((length, rest)) = piece.split_first_chunk::<LENGTH_BYTES>() else { return false };
    rest.first() == Some(&GIVE_UP) && u32::from_be_bytes(*length) as usize == rest.len()
}

/// Waits where the plan asks for it.
fn hold_up(gives_up: bool) {
    if !gives_up {
        return;
    }
    let number = GIVE_UPS.fetch_add(1, Ordering::Relaxed) + 1;
    if let Some(plan) = Plan::in_force().filter(|plan| plan.delays(number)) {
        plan.delay();
    }
}

/// The C library's `writev`, after a delay where the plan asks for one.
///
/// # Safety
///
/// As for `writev(2)`: `pieces` points to `count` valid descriptions of readable memory.
#[allow(unsafe_code)] // It stands in for a function of the C library, which takes raw pointers.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(
    descriptor: c_int,
    pieces: *const libc::iovec,
    count: c_int,
) -> libc::ssize_t {
    let length = usize::try_from(count).unwrap_or(0);
    let gives_up = !pieces.is_null() && length > 0 && {
        // SAFETY: the caller promises `count` valid descriptions, each of readable memory.
        let pieces = unsafe { std::slice::from_raw_parts(pieces, length) };
        pieces.iter().filter(|piece| piece.iov_len > 0).any(|piece| {
            // SAFETY: as above; its length is not zero, so that its address is not null.
            is_give_up(unsafe { std::slice::from_raw_parts(piece.iov_base.cast(), piece.iov_len) })
        })
    };
    hold_up(gives_up);
    // SAFETY: the arguments are the caller's, unchanged.
    let written = unsafe { libc::syscall(libc::SYS_writev, descriptor, pieces, count) };
    written as libc::ssize_t
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_plan_is_read_and_what_is_none_delays_nothing() {
        let plan = Plan { every: 4, by: Duration::from_millis(100), waiting: None };
        let parse = |text: &str| Plan::parse(text, "p".into());
        assert_eq!(parse("4 100\n"), Some(plan.clone()));
        let released = Plan { waiting: Some("p.waiting".into()), ..plan.clone() };
        assert_eq!(parse("4 100 until-released"), Some(released));
        for text in ["", "4", "0 100", "4 x", "-1 100", "4 100 7"] {
            assert_eq!(parse(text), None, "{text:?}");
        }
        let delayed: Vec<u64> = (1..=9).filter(|number| plan.delays(*number)).collect();
        assert_eq!(delayed, [4, 8]);
    }

    #[test]
    fn only_whole_frames_that_give_a_part_up_are_held_up() {
        assert!(is_give_up(b"\0\0\0\x05cq1.0"));
        for piece in [&b"\0\0\0\x05qq1.0"[..], b"\0\0\0\x04cq1.0", b"\0\0\0\x01p", b"\0\0\0", b""] {
            assert!(!is_give_up(piece), "{piece:?}");
        }
    }
}

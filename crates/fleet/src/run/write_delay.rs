//! Delays brokers immediately before some of their writes, with a library that is preloaded into them: the
//! broker itself has no hook for it. See the crate `badgergauge-write-delay`.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

use super::{Fleet, Options};
use crate::scenario::{Fault, Scenario};
use crate::schedule::WriteDelay;

/// The library's file name.
const LIBRARY: &str = "libbadgergauge_write_delay.so";
/// Folder beside the programs into which Cargo puts libraries that only tests need.
const CARGO_DEPS_DIR: &str = "deps";
/// The environment variable that names the library's plan file.
const PLAN_VARIABLE: &str = "BADGERGAUGE_WRITE_DELAY";

/// Finds the library that was built together with a program.
pub(super) fn library_beside(program: &Path) -> Option<PathBuf> {
    let folder = program.parent()?;
    [folder.join(LIBRARY), folder.join(CARGO_DEPS_DIR).join(LIBRARY)].into_iter().find(|path| path.exists())
}

fn uses_write_delay(scenario: &Scenario) -> bool {
    scenario.events.iter().any(|event| matches!(event.fault, Fault::Hold { .. }))
}

/// Checks that the library is available if the scenario delays writes.
///
/// # Errors
///
/// When the scenario needs the library and it is missing.
pub(super) fn check(scenario: &Scenario, options: &Options) -> io::Result<()> {
    if uses_write_delay(scenario) && options.write_delay_library.is_none() {
        let problem =
            format!("`hold` needs {LIBRARY} beside the broker's program: build badgergauge-write-delay");
        return Err(io::Error::new(io::ErrorKind::NotFound, problem));
    }
    Ok(())
}

impl Fleet<'_> {
    /// Preloads the library into a broker that is about to start, if the scenario delays writes.
    pub(super) fn preload_write_delay(&self, broker: usize, command: &mut Command) -> io::Result<()> {
        if let Some(library) =
            self.options.write_delay_library.as_ref().filter(|_| uses_write_delay(self.scenario))
        {
            let plan = fs::canonicalize(&self.options.dir)?.join(format!("b{broker}.delay"));
            command.env("LD_PRELOAD", fs::canonicalize(library)?).env(PLAN_VARIABLE, plan);
        }
        Ok(())
    }

    /// Sets or clears a broker's write delay. The plan file is replaced by a rename, so that it is never read
    /// half written.
    pub(super) fn delay_writes(&self, broker: usize, delay: Option<WriteDelay>) -> io::Result<()> {
        let plan = delay.map(|delay| format!("{} {}", delay.every, delay.by.as_millis()));
        let next = self.file(broker, "delay.next");
        fs::write(&next, plan.unwrap_or_default())?;
        fs::rename(next, self.file(broker, "delay"))
    }
}

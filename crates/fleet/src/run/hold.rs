//! Brokers that are held up right before some of their writes, by a library that is preloaded into them: the broker
//! itself has no hook for it. See the crate `badgergauge-write-delay`.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

use super::{Fleet, Options};
use crate::scenario::{Fault, Scenario};
use crate::schedule::WriteDelay;

/// The library's file.
const LIBRARY: &str = "libbadgergauge_write_delay.so";
/// Cargo puts what only tests need into this folder beside the programs.
const DEPENDENCIES: &str = "deps";
/// The environment variable by which the library finds its plan.
const PLAN_VARIABLE: &str = "BADGERGAUGE_WRITE_DELAY";

/// The library as it was built with a program, if it was.
pub(super) fn library_beside(program: &Path) -> Option<PathBuf> {
    let folder = program.parent()?;
    [folder.join(LIBRARY), folder.join(DEPENDENCIES).join(LIBRARY)].into_iter().find(|path| path.exists())
}

fn holds(scenario: &Scenario) -> bool {
    scenario.events.iter().any(|event| matches!(event.fault, Fault::Hold { .. }))
}

/// Whether a scenario that holds brokers up can be played.
///
/// # Errors
///
/// When the library that it takes is missing.
pub(super) fn check(scenario: &Scenario, options: &Options) -> io::Result<()> {
    if holds(scenario) && options.write_delay_library.is_none() {
        let fault =
            format!("`hold` needs {LIBRARY} beside the broker's program: build badgergauge-write-delay");
        return Err(io::Error::new(io::ErrorKind::NotFound, fault));
    }
    Ok(())
}

impl Fleet<'_> {
    /// Has a broker that is about to start load the library, where the scenario holds brokers up.
    pub(super) fn preload_write_delay(&self, broker: usize, command: &mut Command) -> io::Result<()> {
        if let Some(library) = self.options.write_delay_library.as_ref().filter(|_| holds(self.scenario)) {
            let plan = fs::canonicalize(&self.options.dir)?.join(format!("b{broker}.delay"));
            command.env("LD_PRELOAD", fs::canonicalize(library)?).env(PLAN_VARIABLE, plan);
        }
        Ok(())
    }

    /// Holds a broker up from now on, or no longer. The plan is replaced as a whole, so that none is read in part.
    pub(super) fn delay_writes(&self, broker: usize, delay: Option<WriteDelay>) -> io::Result<()> {
        let plan = delay.map(|delay| format!("{} {}", delay.every, delay.by.as_millis()));
        let next = self.file(broker, "delay.next");
        fs::write(&next, plan.unwrap_or_default())?;
        fs::rename(next, self.file(broker, "delay"))
    }
}

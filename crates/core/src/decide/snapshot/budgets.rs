//! Limits that hold for a front node as a whole, while two of its processes run: those on the work sent to
//! cold servers and on further attempts.
//!
//! In an upgrade the predecessor uses these budgets until the successor accepts clients. From then on the
//! predecessor uses none, and tells the successor what it has spent since the snapshot; until the successor
//! has received that, it uses none either. Where one of the two ended without telling, the other one uses
//! none for as long as spending counts. Parts sent to cold servers by random selection are not counted: they
//! are a share of the clients' requests, each of which only one of the processes receives.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{BudgetEntries, ColdSend, Router, RouterState, SnapshotError};
use crate::interface::{ServerId, Time};

/// What a router has spent of its budgets since a given moment. Servers that were sent nothing while cold are
/// left out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spending {
    /// Work sent to cold servers within the window of that limit.
    pub cold_sends: BTreeMap<ServerId, Vec<ColdSend>>,
    /// Further attempts within the budget's window.
    #[serde(rename = "further")]
    pub retries: Vec<BudgetEntries>,
}

impl Router {
    /// Uses none of the budgets until [`Router::take_over_budgets`], or until the time that
    /// [`Router::limit_budget_suspension`] sets: another process of this front node uses them.
    pub fn suspend_budgets(&mut self) {
        self.0.hand_over.budgets_suspended_until = Time(u64::MAX);
    }

    /// What was spent from `since` on, with moments relative to `now`. Spending at the moment `since` itself
    /// may also be in a snapshot taken at that moment, and then counts twice.
    pub fn spending(&self, now: Time, since: Time) -> Spending {
        self.0.spending(now, since)
    }

    /// Adds what another process of this front node has spent since the snapshot that this one started from,
    /// and uses the budgets from now on. `now` is the moment on this router's clock at which the other
    /// process reported it; where only a later moment is known, the spending counts for longer.
    ///
    /// # Errors
    ///
    /// When `spending` holds invalid numbers. The router is unchanged then.
    pub fn take_over_budgets(&mut self, now: Time, spending: &Spending) -> Result<(), SnapshotError> {
        spending.check()?;
        self.0.add_spending(now, spending);
        self.0.hand_over.budgets_suspended_until = Time(0);
        Ok(())
    }

    /// Handles the end of the other process without a report of its spending: where this router's budgets are
    /// suspended, they stay so for as long as that spending may count.
    pub fn limit_budget_suspension(&mut self, now: Time) {
        let counts_until = now.after(self.0.settings.longest_budget_window());
        let hand_over = &mut self.0.hand_over;
        hand_over.budgets_suspended_until = hand_over.budgets_suspended_until.min(counts_until);
    }
}

impl RouterState {
    /// Whether nothing of the budgets may be used now.
    pub(in super::super) fn budgets_suspended(&self) -> bool {
        self.now < self.hand_over.budgets_suspended_until
    }

    fn spending(&self, now: Time, since: Time) -> Spending {
        let mut cold_sends = BTreeMap::new();
        for (id, server) in &self.servers {
            let later = server.cold_sends.iter().filter(|(sent, _)| *sent >= since);
            let later: Vec<ColdSend> = later.map(|send| ColdSend::of(*send, now)).collect();
            if !later.is_empty() {
                cold_sends.insert(*id, later);
            }
        }
        let retries = self.retries.iter().copied().filter(|at| *at >= since).collect();
        Spending { cold_sends, retries: BudgetEntries::of(&retries, now) }
    }

    fn add_spending(&mut self, now: Time, spending: &Spending) {
        for (id, sends) in &spending.cold_sends {
            let known = self.servers.get_mut(id).or(self.hand_over.get_mut(*id));
            let Some(server) = known else { continue };
            server.cold_sends.extend(sends.iter().map(|send| send.moment(now)));
            server.cold_sends.make_contiguous().sort_by_key(|(sent, _)| *sent);
        }
        self.retries.extend(BudgetEntries::moments(&spending.retries, now));
        self.retries.make_contiguous().sort();
    }
}

//! The server list from an inventory file: read again when the file changes and passed to the core.

use super::Broker;
use super::discovery::apply_list;
use crate::backend::Backend;
use crate::core::Core;
use crate::interface::{Settings, Time};
use crate::inventory::{Inventory, InventoryError};

impl Broker {
    /// Applies the inventory if its file has changed. An invalid one is logged, and the last list stays valid.
    pub(super) fn update_inventory(&mut self, now: Time) {
        let Some(inventory) = &mut self.inventory else { return };
        let settings = &self.settings.router;
        if let Err(error) = apply_inventory(inventory, now, settings, &mut self.core, &mut self.backend) {
            tracing::warn!("the inventory is refused, the last list stays in use: {error}");
        }
    }
}

/// Reads an inventory, and passes its servers to the core and the backend if the file has changed.
///
/// # Errors
///
/// If the file can't be read or is invalid; nothing has been passed on then.
pub(super) fn apply_inventory(
    inventory: &mut Inventory,
    now: Time,
    settings: &Settings,
    core: &mut Core,
    backend: &mut Backend,
) -> Result<(), InventoryError> {
    let Some(update) = inventory.read_if_changed(now, settings)? else { return Ok(()) };
    for warning in &update.warnings {
        tracing::warn!("inventory: {warning}");
    }
    apply_list(core, backend, &update.list, None);
    Ok(())
}

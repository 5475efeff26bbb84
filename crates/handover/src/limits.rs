//! Splits the file descriptor limit between the two processes of a hand-over.

/// Maximum number of client connections of each process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Limit of the predecessor, which stops accepting once the successor is ready.
    pub predecessor: usize,
    /// Limit of the successor until the predecessor has exited.
    pub successor: usize,
}

/// Lower bound of the successor's limit: with fewer connections it could not serve.
const MIN_CLIENTS: usize = 16;

/// Splits the descriptors available for client connections: the predecessor gets its current number of
/// clients or half of the total, whichever is larger, and the successor gets the rest.
///
/// `descriptors` is the limit for both processes together, `fixed` the number that each process needs for
/// purposes other than client connections, and `predecessor_clients` the predecessor's current number of
/// client connections.
pub fn joint_client_limits(descriptors: usize, fixed: usize, predecessor_clients: usize) -> ClientLimits {
    let total = descriptors.saturating_sub(2 * fixed);
    let predecessor = predecessor_clients.max(total / 2);
    let successor = total.saturating_sub(predecessor).max(MIN_CLIENTS);
    ClientLimits { predecessor, successor }
}

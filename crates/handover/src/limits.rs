//! How two processes share the limit on descriptors that holds for both together.

/// Clients' connections that each of the two processes may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The predecessor, which accepts no more once the successor is ready.
    pub predecessor: usize,
    /// The successor, until the predecessor has ended.
    pub successor: usize,
}

/// A successor may hold so many at the least, or it could not serve.
const LEAST_CLIENTS: usize = 16;

/// Splits what may be held together: the predecessor keeps what it holds now or half, whichever is more, and the
/// successor gets the rest. `fixed` is what each process needs beside its clients.
pub fn joint_client_limits(descriptors: usize, fixed: usize, predecessor_clients: usize) -> ClientLimits {
    let joint = descriptors.saturating_sub(2 * fixed);
    let predecessor = predecessor_clients.max(joint / 2);
    let successor = joint.saturating_sub(predecessor).max(LEAST_CLIENTS);
    ClientLimits { predecessor, successor }
}

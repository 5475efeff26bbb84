//! A queue of events in virtual time. Events that are due at the same time come in the order of insertion.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Events ordered by due time.
pub struct EventQueue<T> {
    /// Due time, insertion number and slot of each event.
    due: BinaryHeap<Reverse<(u64, u64, usize)>>,
    /// The events by slot; `None` for a free slot.
    slots: Vec<Option<T>>,
    free_slots: Vec<usize>,
    inserted: u64,
}

impl<T> EventQueue<T> {
    /// An empty queue.
    pub fn new() -> Self {
        EventQueue { due: BinaryHeap::new(), slots: Vec::new(), free_slots: Vec::new(), inserted: 0 }
    }

    /// Inserts an event that is due at a time in nanoseconds.
    pub fn push(&mut self, at: u64, event: T) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(event);
        self.inserted += 1;
        self.due.push(Reverse((at, self.inserted, slot)));
    }

    /// Removes the earliest event, with its due time in nanoseconds.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        let Reverse((at, _, slot)) = self.due.pop()?;
        self.free_slots.push(slot);
        self.slots[slot].take().map(|event| (at, event))
    }
}

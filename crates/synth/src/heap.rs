//! What is due when, in virtual time; what is due together comes in the order in which it was put in.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Things by the time they are due.
pub struct Heap<T> {
    due: BinaryHeap<Reverse<(u64, u64, usize)>>,
    /// The things themselves, by place; places that are free again.
    things: Vec<Option<T>>,
    free: Vec<usize>,
    order: u64,
}

impl<T> Heap<T> {
    /// With nothing in it.
    pub fn new() -> Self {
        Heap { due: BinaryHeap::new(), things: Vec::new(), free: Vec::new(), order: 0 }
    }

    /// Puts in what is due at a time, in nanoseconds.
    pub fn put(&mut self, at: u64, thing: T) {
        let place = self.free.pop().unwrap_or_else(|| {
            self.things.push(None);
            self.things.len() - 1
        });
        self.things[place] = Some(thing);
        self.order += 1;
        self.due.push(Reverse((at, self.order, place)));
    }

    /// Takes out what is due first.
    pub fn take(&mut self) -> Option<(u64, T)> {
        let Reverse((at, _, place)) = self.due.pop()?;
        self.free.push(place);
        self.things[place].take().map(|thing| (at, thing))
    }
}

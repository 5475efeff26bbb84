use super::*;

/// A sink that writes at most 3 bytes at once and blocks after `capacity` bytes.
struct LimitedSink {
    written: Vec<u8>,
    capacity: usize,
}

impl LimitedSink {
    fn new(capacity: usize) -> Self {
        LimitedSink { written: Vec::new(), capacity }
    }
}

impl Write for LimitedSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.capacity == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let accepted = bytes.len().min(self.capacity).min(3);
        self.capacity -= accepted;
        self.written.extend_from_slice(&bytes[..accepted]);
        Ok(accepted)
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Guards against bytes lost or duplicated when a write ends in the middle of a buffer.
#[test]
fn short_writes_neither_lose_nor_duplicate_bytes() {
    let mut outbox = Outbox::default();
    for buffer in ["ab", "", "cdefg", "h"] {
        outbox.push(buffer.into());
    }
    let mut sink = LimitedSink::new(4);
    assert!(!outbox.flush(&mut sink).expect("accepts some"));
    assert_eq!(outbox.completed(), 1);
    sink.capacity = 100;
    assert!(outbox.flush(&mut sink).expect("accepts the rest"));
    assert_eq!((sink.written.as_slice(), outbox.completed()), (b"abcdefgh".as_slice(), 3));
}

// Guards against truncated frames: a buffer can only be removed while none of it is written.
#[test]
fn a_partially_written_buffer_is_not_removed() {
    let mut outbox = Outbox::default();
    for buffer in ["abc", "def", "ghi", "jkl"] {
        outbox.push(buffer.into());
    }
    let mut sink = LimitedSink::new(1);
    assert!(!outbox.flush(&mut sink).expect("accepts one byte"));
    (0..10).for_each(|_| outbox.remove_last_unstarted());
    assert_eq!((outbox.len(), outbox.partially_written()), (1, 1));
    outbox.push("DEF".into());
    sink.capacity = 100;
    assert!(outbox.flush(&mut sink).expect("accepts the rest"));
    assert_eq!(sink.written, b"abcDEF");
    // When no buffer is partially written, all can be removed.
    outbox.push("ghi".into());
    outbox.remove_last_unstarted();
    outbox.remove_last_unstarted();
    assert!(outbox.is_empty());
}

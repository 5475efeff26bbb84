use super::*;

struct Narrow(Vec<u8>, usize);

impl Write for Narrow {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.1 == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let taken = bytes.len().min(self.1).min(3);
        self.1 -= taken;
        self.0.extend_from_slice(&bytes[..taken]);
        Ok(taken)
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Guards against bytes lost or doubled when a write stops in the middle of a piece.
#[test]
fn short_writes_neither_lose_nor_double_bytes() {
    let mut outbox = Outbox::default();
    for piece in ["ab", "", "cdefg", "h"] {
        outbox.push(piece.into());
    }
    let mut sink = Narrow(Vec::new(), 4);
    assert!(!outbox.flush(&mut sink).expect("takes some"));
    assert_eq!(outbox.finished(), 1);
    sink.1 = 100;
    assert!(outbox.flush(&mut sink).expect("takes the rest"));
    assert_eq!((sink.0.as_slice(), outbox.finished()), (b"abcdefgh".as_slice(), 3));
}

// Guards against a begun frame that is cut: only what has not been begun can be taken back.
#[test]
fn what_was_begun_is_finished() {
    let mut outbox = Outbox::default();
    for piece in ["abc", "def", "ghi", "jkl"] {
        outbox.push(piece.into());
    }
    let mut sink = Narrow(Vec::new(), 1);
    assert!(!outbox.flush(&mut sink).expect("takes one byte"));
    (0..10).for_each(|_| outbox.take_back_last());
    assert_eq!((outbox.len(), outbox.begun()), (1, 1));
    outbox.push("DEF".into());
    sink.1 = 100;
    assert!(outbox.flush(&mut sink).expect("takes the rest"));
    assert_eq!(sink.0, b"abcDEF");
    // Between two pieces nothing is begun, and all can be taken back.
    outbox.push("ghi".into());
    outbox.take_back_last();
    outbox.take_back_last();
    assert!(outbox.is_empty());
}

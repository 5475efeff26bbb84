//! Replacing title numbers and idempotency keys by stand-in values. No I/O.

use badgergauge_core::Event;

use crate::record::Record;

/// Replaces keys: the same key gets the same stand-in wherever the same secret is used, and without the
/// secret a stand-in tells nothing of what it stands for.
pub struct Mask {
    secret: [u8; 32],
}

/// What a secret is derived for: the same words in another program give other stand-ins.
const PURPOSE: &str = "badgergauge 2026-12-01 trace mask";

impl Mask {
    /// From a secret of any length.
    pub fn new(secret: &[u8]) -> Self {
        Mask { secret: blake3::derive_key(PURPOSE, secret) }
    }

    /// The stand-in of a key.
    pub fn key(&self, key: u64) -> u64 {
        let mut input = [0; 9];
        input[1..].copy_from_slice(&key.to_le_bytes());
        let hash = blake3::keyed_hash(&self.secret, &input);
        hash.as_bytes().first_chunk().map_or(0, |bytes| u64::from_le_bytes(*bytes))
    }

    /// The stand-in of an idempotency key.
    pub fn word(&self, word: &str) -> String {
        let input = [&[1], word.as_bytes()].concat();
        blake3::keyed_hash(&self.secret, &input).to_hex()[..32].to_owned()
    }

    /// Replaces all keys of a record.
    pub fn record(&self, record: &mut Record) {
        for event in &mut record.events {
            if let Event::Query(query) = event {
                query.key = query.key.map(|key| self.key(key));
            }
        }
        for named in &mut record.query_names {
            named.idempotency = named.idempotency.take().map(|word| self.word(&word));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_same_key_gets_the_same_stand_in_and_another_secret_another() {
        let (mask, other) = (Mask::new(b"one"), Mask::new(b"two"));
        assert_eq!(mask.key(5), Mask::new(b"one").key(5));
        assert!(mask.key(5) != mask.key(6) && mask.key(5) != other.key(5) && mask.key(5) != 5);
        assert_eq!(mask.word("a"), Mask::new(b"one").word("a"));
        assert!(mask.word("a") != mask.word("b") && mask.word("a") != other.word("a"));
    }
}

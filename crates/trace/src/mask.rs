//! Pseudonymization of title numbers and idempotency keys. Does no I/O.

use badgergauge_core::Event;

use crate::record::Record;

/// Replaces keys by pseudonyms. The same key gets the same pseudonym wherever the same secret is used;
/// without the secret, a pseudonym reveals nothing about its key.
pub struct Mask {
    secret: [u8; 32],
}

/// Context of the key derivation: the same secret gives other pseudonyms in other programs.
const KEY_CONTEXT: &str = "badgergauge 2026-12-01 trace mask";

impl Mask {
    /// Creates a mask from a secret of any length.
    pub fn new(secret: &[u8]) -> Self {
        Mask { secret: blake3::derive_key(KEY_CONTEXT, secret) }
    }

    /// Returns the pseudonym of a key.
    pub fn key(&self, key: u64) -> u64 {
        // The first byte, 0 here and 1 for idempotency keys, keeps the two kinds of input distinct.
        let mut input = [0; 9];
        input[1..].copy_from_slice(&key.to_le_bytes());
        let hash = blake3::keyed_hash(&self.secret, &input);
        hash.as_bytes().first_chunk().map_or(0, |bytes| u64::from_le_bytes(*bytes))
    }

    /// Returns the pseudonym of an idempotency key.
    pub fn idempotency_key(&self, key: &str) -> String {
        let input = [&[1], key.as_bytes()].concat();
        blake3::keyed_hash(&self.secret, &input).to_hex()[..32].to_owned()
    }

    /// Replaces all keys in a record.
    pub fn record(&self, record: &mut Record) {
        for event in &mut record.events {
            if let Event::Query(query) = event {
                query.key = query.key.map(|key| self.key(key));
            }
        }
        for names in &mut record.query_names {
            names.idempotency_key = names.idempotency_key.take().map(|key| self.idempotency_key(&key));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pseudonyms_depend_on_key_and_secret_only() {
        let (mask, other) = (Mask::new(b"one"), Mask::new(b"two"));
        assert_eq!(mask.key(5), Mask::new(b"one").key(5));
        assert!(mask.key(5) != mask.key(6) && mask.key(5) != other.key(5) && mask.key(5) != 5);
        assert_eq!(mask.idempotency_key("a"), Mask::new(b"one").idempotency_key("a"));
        assert!(
            mask.idempotency_key("a") != mask.idempotency_key("b")
                && mask.idempotency_key("a") != other.idempotency_key("a")
        );
    }
}

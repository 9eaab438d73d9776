//! Records of keyed topics.

use bytes::{BufMut, Bytes, BytesMut};

/// Maximum length of a key in bytes, which is encoded in one byte.
const KEY_MAX: usize = 255;

/// A record of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value, or nothing if the record removes the key.
    pub value: Option<Bytes>,
}

impl KeyedRecord {
    /// Creates a record that sets a key. Returns nothing if the key is empty or longer than 255
    /// bytes, or if the value is empty, which would remove the key.
    pub fn set(key: &str, value: Bytes) -> Option<Self> {
        let valid = (1..=KEY_MAX).contains(&key.len()) && !value.is_empty();
        valid.then(|| Self {
            key: key.to_owned(),
            value: Some(value),
        })
    }

    /// Encodes the record: one byte with the length of the key, the key, the value.
    pub fn encode(&self) -> Bytes {
        let value = self.value.as_deref().unwrap_or_default();
        let mut bytes = BytesMut::with_capacity(1 + self.key.len() + value.len());
        // Keys come only from `set` and `decode`, which both bound the length.
        bytes.put_u8(u8::try_from(self.key.len()).unwrap_or_default());
        bytes.put_slice(self.key.as_bytes());
        bytes.put_slice(value);
        bytes.freeze()
    }

    /// Decodes a record. Returns nothing if the bytes are not a record of a keyed topic.
    pub fn decode(mut bytes: Bytes) -> Option<Self> {
        let len = usize::from(*bytes.first()?);
        if bytes.len() < 1 + len {
            return None;
        }
        let value = bytes.split_off(1 + len);
        let key = std::str::from_utf8(&bytes[1..]).ok()?.to_owned();
        Some(Self {
            key,
            value: (!value.is_empty()).then_some(value),
        })
    }
}

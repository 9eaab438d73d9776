//! Ed25519 public keys as they are written in settings.

use std::fmt;
use std::str::FromStr;

use derive_more::{From, Into};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Length of an Ed25519 public key in bytes.
pub const PUBLIC_KEY_LEN: usize = 32;

/// An Ed25519 public key, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PublicKey(pub [u8; PUBLIC_KEY_LEN]);

/// Error from parsing a public key.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The text does not have 64 characters.
    #[snafu(display("has {len} characters, a public key has {}", 2 * PUBLIC_KEY_LEN))]
    Length {
        /// Number of characters.
        len: usize,
    },
    /// The text contains a character that is not a hexadecimal digit.
    #[snafu(display("has the character {found:?}, which is not a hexadecimal digit"))]
    Digit {
        /// The first such character.
        found: char,
    },
}

impl PublicKey {
    /// The bytes of the key.
    pub fn as_bytes(&self) -> &[u8; PUBLIC_KEY_LEN] {
        &self.0
    }
}

impl fmt::Display for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for PublicKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        if let Some(found) = text.chars().find(|c| !c.is_ascii_hexdigit()) {
            return Err(KeyError::Digit { found });
        }
        if text.len() != 2 * PUBLIC_KEY_LEN {
            return Err(KeyError::Length { len: text.len() });
        }
        let digit = |c: u8| char::from(c).to_digit(16).unwrap_or_default();
        let mut bytes = [0; PUBLIC_KEY_LEN];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            // Two hexadecimal digits are at most 255, so the conversion cannot fail.
            *byte = u8::try_from(digit(pair[0]) * 16 + digit(pair[1])).unwrap_or_default();
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for PublicKey {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, KeyError> {
        text.parse()
    }
}

impl From<PublicKey> for String {
    fn from(key: PublicKey) -> Self {
        key.to_string()
    }
}

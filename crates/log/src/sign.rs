//! Signatures of log records.
//!
//! The log service does not authenticate writers, so each record carries an Ed25519 signature.
//! Configuration and format levels need an operator's key, all other records a host's key.

use std::collections::BTreeMap;
use std::fmt;

use ring::rand::SystemRandom;
use ring::signature::{ED25519, Ed25519KeyPair, KeyPair, UnparsedPublicKey};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Length of an Ed25519 public key in bytes.
const KEY_LEN: usize = 32;

/// An Ed25519 public key. It also serves as the identifier of its key pair.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyId([u8; KEY_LEN]);

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A key could not be read or used.
#[derive(Debug, Snafu)]
pub enum KeyError {
    /// The text is not 64 hexadecimal digits.
    #[snafu(display("a public key has 64 hexadecimal digits"))]
    BadHex,
    /// The bytes are not a PKCS#8 Ed25519 key pair.
    #[snafu(display("not a PKCS#8 Ed25519 key pair: {reason}"))]
    BadPair {
        /// Error reported by ring.
        reason: String,
    },
    /// The system's random generator failed.
    #[snafu(display("the random generator failed"))]
    Random,
}

impl std::str::FromStr for KeyId {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let digits = text.as_bytes();
        // Without this check from_str_radix would accept a sign, for example "+f".
        if digits.len() != 2 * KEY_LEN || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(KeyError::BadHex);
        }
        let mut key = [0; KEY_LEN];
        for (byte, at) in key.iter_mut().zip((0..).step_by(2)) {
            let pair = text.get(at..at + 2).unwrap_or_default();
            *byte = u8::from_str_radix(pair, 16).or(Err(KeyError::BadHex))?;
        }
        Ok(Self(key))
    }
}

/// Role of the holder of a signing key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum Role {
    /// An operator, who may publish configuration and raise the format level.
    Operator,
    /// An entry host.
    Host,
}

/// The public keys that are accepted as signers, with their roles.
#[derive(Debug, Clone, Default)]
pub struct Keyring {
    keys: BTreeMap<KeyId, Role>,
}

impl Keyring {
    /// Adds a key.
    pub fn add(&mut self, key: KeyId, role: Role) {
        self.keys.insert(key, role);
    }

    /// Returns the role of the key if it is known and the signature is valid for the data.
    pub fn verify(&self, key: KeyId, data: &[u8], signature: &[u8]) -> Option<Role> {
        let role = *self.keys.get(&key)?;
        let public = UnparsedPublicKey::new(&ED25519, key.0);
        public.verify(data, signature).ok().map(|()| role)
    }
}

/// A key pair that signs records.
pub struct Signer {
    pair: Ed25519KeyPair,
}

impl fmt::Debug for Signer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Signer").field(&self.key()).finish()
    }
}

impl Signer {
    /// Generates a key pair and returns it in PKCS#8 encoding.
    ///
    /// # Errors
    ///
    /// Fails if the system's random generator fails.
    pub fn generate() -> Result<Vec<u8>, KeyError> {
        let pair = Ed25519KeyPair::generate_pkcs8(&SystemRandom::new());
        Ok(pair.or(Err(KeyError::Random))?.as_ref().to_vec())
    }

    /// Decodes a key pair in PKCS#8 encoding.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not an Ed25519 key pair.
    pub fn from_pkcs8(der: &[u8]) -> Result<Self, KeyError> {
        let pair =
            Ed25519KeyPair::from_pkcs8_maybe_unchecked(der).map_err(|e| KeyError::BadPair {
                reason: e.to_string(),
            })?;
        Ok(Self { pair })
    }

    /// The public key.
    pub fn key(&self) -> KeyId {
        let mut key = [0; KEY_LEN];
        key.copy_from_slice(self.pair.public_key().as_ref());
        KeyId(key)
    }

    /// Signs data.
    pub fn sign(&self, data: &[u8]) -> Vec<u8> {
        self.pair.sign(data).as_ref().to_vec()
    }
}

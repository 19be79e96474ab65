//! Sign-off of bundles and orders with Ed25519 keys.

use std::collections::{BTreeMap, BTreeSet};

use coursestand_model::bundle::Signature;
use ed25519_dalek::{Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

/// Why sign-offs were refused.
#[derive(Debug, Snafu)]
pub enum SigningError {
    /// A key or signature is not hexadecimal text of the right length.
    #[snafu(display("{what} of operator {operator} is not hexadecimal text"))]
    NotHexadecimal {
        /// The value that was read: a key or a signature.
        what: &'static str,
        /// Operator whose key or signature it is.
        operator: String,
        /// Cause.
        source: hex::FromHexError,
    },
    /// The operator is not in the sign-off policy.
    #[snafu(display("operator {operator} is not allowed to sign"))]
    UnknownOperator {
        /// Operator that signed.
        operator: String,
    },
    /// The signature does not match the content.
    #[snafu(display("the signature of operator {operator} does not match the content"))]
    WrongSignature {
        /// Operator that signed.
        operator: String,
        /// Cause.
        source: ed25519_dalek::SignatureError,
    },
    /// Fewer distinct operators signed than required.
    #[snafu(display("{found} operators signed, {required} are required"))]
    TooFew {
        /// Distinct operators that signed.
        found: usize,
        /// Distinct operators required.
        required: usize,
    },
}

/// Operators that may sign, and the number of sign-offs required.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignoffPolicy {
    /// Ed25519 public keys as hexadecimal text, by operator.
    pub operators: BTreeMap<String, String>,
    /// Distinct operators that must sign.
    pub required: usize,
}

impl SignoffPolicy {
    /// Checks that every signature is valid for `content` and from an allowed operator,
    /// and that enough distinct operators signed.
    pub fn check(&self, content: &[u8], signatures: &[Signature]) -> Result<(), SigningError> {
        let mut signers = BTreeSet::new();
        for signature in signatures {
            self.check_signature(content, signature)?;
            signers.insert(signature.operator.as_str());
        }
        if signers.len() < self.required {
            return TooFewSnafu {
                found: signers.len(),
                required: self.required,
            }
            .fail();
        }
        Ok(())
    }

    fn check_signature(&self, content: &[u8], signature: &Signature) -> Result<(), SigningError> {
        let operator = &signature.operator;
        let key = self
            .operators
            .get(operator)
            .context(UnknownOperatorSnafu { operator })?;
        let mut key_bytes = [0; 32];
        hex::decode_to_slice(key, &mut key_bytes).context(NotHexadecimalSnafu {
            what: "the key",
            operator,
        })?;
        let mut signature_bytes = [0; 64];
        hex::decode_to_slice(&signature.signature, &mut signature_bytes).context(
            NotHexadecimalSnafu {
                what: "the signature",
                operator,
            },
        )?;
        let key = VerifyingKey::from_bytes(&key_bytes).context(WrongSignatureSnafu { operator })?;
        let signature = ed25519_dalek::Signature::from_bytes(&signature_bytes);
        key.verify_strict(content, &signature)
            .context(WrongSignatureSnafu { operator })
    }
}

/// Signs `content` for `operator`.
pub fn sign(operator: &str, key: &SigningKey, content: &[u8]) -> Signature {
    Signature {
        operator: operator.to_owned(),
        signature: hex::encode(key.sign(content).to_bytes()),
    }
}

/// Returns the public key as hexadecimal text.
pub fn public_key_text(key: &SigningKey) -> String {
    hex::encode(key.verifying_key().to_bytes())
}

//! Accepted changes by operators: bundles, rolls to another revision, drains. Each
//! accepted change gets the next revision number. A submission names the revision that
//! it was made against, so that of two racing operators one is accepted and the other
//! gets a conflict.

use coursestand_model::SignedBundle;
use coursestand_model::bundle::{Bundle, Signature};
use coursestand_model::load::{InvalidValue, Validate, parse};
use serde::{Deserialize, Serialize};

use crate::signing::SignoffPolicy;
use crate::tables::DrainTarget;

/// The action of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum OrderAction {
    /// Puts the bundle of an earlier revision in force again; rolls back or forward.
    Roll {
        /// The earlier revision.
        revision: u64,
    },
    /// Moves traffic away from a target.
    Drain {
        /// The target.
        target: DrainTarget,
    },
    /// Ends a drain.
    Restore {
        /// The target.
        target: DrainTarget,
    },
}

/// An operator's order that needs no new bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Revision against which the order was made.
    pub expected_revision: u64,
    /// The requested action.
    pub action: OrderAction,
}

impl Validate for Order {
    fn validate(&self) -> Result<(), InvalidValue> {
        Ok(())
    }
}

/// A signed order: the exact text that was signed, and the sign-offs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedOrder {
    /// JSON text of the [`Order`].
    pub content: String,
    /// Sign-offs over the bytes of `content`.
    pub signatures: Vec<Signature>,
}

/// The content of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptedChange {
    /// A bundle.
    Bundle {
        /// Its name.
        name: String,
        /// Its version.
        version: u64,
        /// SHA-256 of its content.
        content_hash: String,
        /// JSON text of the bundle.
        content: String,
    },
    /// An order.
    Order(OrderAction),
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// Number of the revision, counted from 1.
    pub number: u64,
    /// Identifies the submission, so that a retransmission gets the original answer.
    pub submission: String,
    /// Operators that signed.
    pub operators: Vec<String>,
    /// The accepted change.
    pub change: AcceptedChange,
}

/// Answer to a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum SubmitAnswer {
    /// Accepted as this revision, by this submission or an earlier identical one.
    Accepted {
        /// Revision number of the change.
        revision: u64,
    },
    /// Another change was accepted first, or the version exists with different content.
    Conflict {
        /// The current revision.
        current: u64,
        /// Reason of the conflict.
        reason: String,
    },
    /// The change is invalid or not signed as required.
    Refused {
        /// Reason of the refusal.
        reason: String,
    },
}

/// The history of accepted changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BundleHistory {
    revisions: Vec<Revision>,
}

/// A validated submission, ready to be appended.
struct ValidatedChange {
    submission: String,
    operators: Vec<String>,
    change: AcceptedChange,
}

impl BundleHistory {
    /// Returns the newest revision number; 0 before the first change.
    pub fn current(&self) -> u64 {
        self.revisions.last().map_or(0, |revision| revision.number)
    }

    /// All accepted changes, oldest first.
    pub fn revisions(&self) -> &[Revision] {
        &self.revisions
    }

    /// Returns the accepted change with this revision number.
    pub fn revision(&self, number: u64) -> Option<&Revision> {
        let index = usize::try_from(number.checked_sub(1)?).ok()?;
        self.revisions.get(index)
    }

    /// Returns the text of the bundle that a revision put in force, if any.
    pub fn content_of(&self, number: u64) -> Option<&str> {
        match &self.revision(number)?.change {
            AcceptedChange::Bundle { content, .. } => Some(content),
            AcceptedChange::Order(OrderAction::Roll { revision }) => self.content_of(*revision),
            AcceptedChange::Order(_) => None,
        }
    }

    /// Submits a bundle that was made against `expected_revision`.
    pub fn submit_bundle(
        &mut self,
        signed: &SignedBundle,
        expected_revision: u64,
        submission: &str,
        policy: &SignoffPolicy,
    ) -> SubmitAnswer {
        if let Some(answer) = self.find_submission(submission) {
            return answer;
        }
        let bundle = match check_bundle(signed, policy) {
            Ok(bundle) => bundle,
            Err(reason) => return SubmitAnswer::Refused { reason },
        };
        let content_hash = signed.content_hash();
        if let Some(answer) = self.find_version(&bundle, &content_hash) {
            return answer;
        }
        let validated = ValidatedChange {
            submission: submission.to_owned(),
            operators: operators_of(&signed.signatures),
            change: AcceptedChange::Bundle {
                name: bundle.name,
                version: bundle.version,
                content_hash,
                content: signed.content.clone(),
            },
        };
        self.append(validated, expected_revision)
    }

    /// Submits an order.
    pub fn submit_order(
        &mut self,
        signed: &SignedOrder,
        submission: &str,
        policy: &SignoffPolicy,
    ) -> SubmitAnswer {
        if let Some(answer) = self.find_submission(submission) {
            return answer;
        }
        let order = match check_order(signed, policy) {
            Ok(order) => order,
            Err(reason) => return SubmitAnswer::Refused { reason },
        };
        if let OrderAction::Roll { revision } = order.action
            && self.content_of(revision).is_none()
        {
            return SubmitAnswer::Refused {
                reason: format!("revision {revision} has no bundle to put in force"),
            };
        }
        let validated = ValidatedChange {
            submission: submission.to_owned(),
            operators: operators_of(&signed.signatures),
            change: AcceptedChange::Order(order.action),
        };
        self.append(validated, order.expected_revision)
    }

    fn find_submission(&self, submission: &str) -> Option<SubmitAnswer> {
        self.revisions
            .iter()
            .find(|revision| revision.submission == submission)
            .map(|revision| SubmitAnswer::Accepted {
                revision: revision.number,
            })
    }

    fn find_version(&self, bundle: &Bundle, hash: &str) -> Option<SubmitAnswer> {
        self.revisions.iter().find_map(|revision| {
            let AcceptedChange::Bundle {
                name,
                version,
                content_hash,
                ..
            } = &revision.change
            else {
                return None;
            };
            if *name != bundle.name || *version != bundle.version {
                return None;
            }
            if content_hash == hash {
                return Some(SubmitAnswer::Accepted {
                    revision: revision.number,
                });
            }
            Some(SubmitAnswer::Conflict {
                current: self.current(),
                reason: format!(
                    "{name} version {version} has different content since revision {}",
                    revision.number
                ),
            })
        })
    }

    fn append(&mut self, validated: ValidatedChange, expected_revision: u64) -> SubmitAnswer {
        let current = self.current();
        if expected_revision != current {
            return SubmitAnswer::Conflict {
                current,
                reason: format!(
                    "made against revision {expected_revision}, but the current revision is {current}"
                ),
            };
        }
        let number = current + 1;
        self.revisions.push(Revision {
            number,
            submission: validated.submission,
            operators: validated.operators,
            change: validated.change,
        });
        SubmitAnswer::Accepted { revision: number }
    }
}

fn check_bundle(signed: &SignedBundle, policy: &SignoffPolicy) -> Result<Bundle, String> {
    policy
        .check(signed.content.as_bytes(), &signed.signatures)
        .map_err(|error| error.to_string())?;
    parse("bundle", &signed.content).map_err(|error| error.to_string())
}

fn check_order(signed: &SignedOrder, policy: &SignoffPolicy) -> Result<Order, String> {
    policy
        .check(signed.content.as_bytes(), &signed.signatures)
        .map_err(|error| error.to_string())?;
    parse("order", &signed.content).map_err(|error| error.to_string())
}

fn operators_of(signatures: &[Signature]) -> Vec<String> {
    signatures
        .iter()
        .map(|signature| signature.operator.clone())
        .collect()
}

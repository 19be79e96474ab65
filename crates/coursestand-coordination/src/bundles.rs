//! Accepted changes by operators: bundles, rolls to another version, drains.
//! Each takes the next revision. A submit names the revision that it was made
//! against, so that racing operators get one winner and one clear conflict.

use coursestand_model::SignedBundle;
use coursestand_model::bundle::{Bundle, Signature};
use coursestand_model::load::{InvalidValue, Validate, parse};
use serde::{Deserialize, Serialize};

use crate::signing::SignoffPolicy;
use crate::tables::DrainTarget;

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum OrderAction {
    /// Puts the bundle of an earlier revision in force again, forward or back.
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

/// An order that needs no new bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Revision against which the order was made.
    pub expected_revision: u64,
    /// What it asks for.
    pub action: OrderAction,
}

impl Validate for Order {
    fn validate(&self) -> Result<(), InvalidValue> {
        Ok(())
    }
}

/// An order as it travels: the exact text that was signed, and the sign-offs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedOrder {
    /// JSON text of the [`Order`].
    pub content: String,
    /// Sign-offs over the bytes of `content`.
    pub signatures: Vec<Signature>,
}

/// What was accepted.
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
        /// The text.
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
    /// Names the submit, so that a resent one gets the first answer.
    pub submission: String,
    /// Who signed.
    pub operators: Vec<String>,
    /// What was accepted.
    pub change: AcceptedChange,
}

/// Answer to a submit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum SubmitAnswer {
    /// Accepted as this revision, now or by an earlier submit of the same thing.
    Accepted {
        /// The revision that the change got.
        revision: u64,
    },
    /// Another change came first, or the version has another content.
    Conflict {
        /// The current revision.
        current: u64,
        /// What stands against it.
        reason: String,
    },
    /// The change itself is not allowed.
    Refused {
        /// Why.
        reason: String,
    },
}

/// The history of accepted changes and the bundle in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BundleHistory {
    revisions: Vec<Revision>,
}

/// A checked submit, ready to be appended.
struct Checked {
    submission: String,
    operators: Vec<String>,
    change: AcceptedChange,
}

impl BundleHistory {
    /// The newest revision number; 0 before the first change.
    pub fn current(&self) -> u64 {
        self.revisions.last().map_or(0, |revision| revision.number)
    }

    /// All accepted changes, oldest first.
    pub fn revisions(&self) -> &[Revision] {
        &self.revisions
    }

    /// The accepted change with this number.
    pub fn revision(&self, number: u64) -> Option<&Revision> {
        let index = usize::try_from(number.checked_sub(1)?).ok()?;
        self.revisions.get(index)
    }

    /// The bundle text that a revision put in force, if it did.
    pub fn content_of(&self, number: u64) -> Option<&str> {
        match &self.revision(number)?.change {
            AcceptedChange::Bundle { content, .. } => Some(content),
            AcceptedChange::Order(OrderAction::Roll { revision }) => self.content_of(*revision),
            AcceptedChange::Order(_) => None,
        }
    }

    /// Submits a bundle made against `expected_revision`.
    pub fn submit_bundle(
        &mut self,
        signed: &SignedBundle,
        expected_revision: u64,
        submission: &str,
        policy: &SignoffPolicy,
    ) -> SubmitAnswer {
        if let Some(answer) = self.resent(submission) {
            return answer;
        }
        let bundle = match check_bundle(signed, policy) {
            Ok(bundle) => bundle,
            Err(reason) => return SubmitAnswer::Refused { reason },
        };
        let content_hash = signed.content_hash();
        if let Some(answer) = self.same_version(&bundle, &content_hash) {
            return answer;
        }
        let checked = Checked {
            submission: submission.to_owned(),
            operators: operators_of(&signed.signatures),
            change: AcceptedChange::Bundle {
                name: bundle.name,
                version: bundle.version,
                content_hash,
                content: signed.content.clone(),
            },
        };
        self.append(checked, expected_revision)
    }

    /// Submits an order.
    pub fn submit_order(
        &mut self,
        signed: &SignedOrder,
        submission: &str,
        policy: &SignoffPolicy,
    ) -> SubmitAnswer {
        if let Some(answer) = self.resent(submission) {
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
        let checked = Checked {
            submission: submission.to_owned(),
            operators: operators_of(&signed.signatures),
            change: AcceptedChange::Order(order.action),
        };
        self.append(checked, order.expected_revision)
    }

    fn resent(&self, submission: &str) -> Option<SubmitAnswer> {
        self.revisions
            .iter()
            .find(|revision| revision.submission == submission)
            .map(|revision| SubmitAnswer::Accepted {
                revision: revision.number,
            })
    }

    fn same_version(&self, bundle: &Bundle, hash: &str) -> Option<SubmitAnswer> {
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
                    "{name} version {version} has another content since revision {}",
                    revision.number
                ),
            })
        })
    }

    fn append(&mut self, checked: Checked, expected_revision: u64) -> SubmitAnswer {
        let current = self.current();
        if expected_revision != current {
            return SubmitAnswer::Conflict {
                current,
                reason: format!(
                    "made against revision {expected_revision}, the current one is {current}"
                ),
            };
        }
        let number = current + 1;
        self.revisions.push(Revision {
            number,
            submission: checked.submission,
            operators: checked.operators,
            change: checked.change,
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

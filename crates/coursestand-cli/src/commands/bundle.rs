//! `coursestand bundle …`.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use coursestand_coordination::bundles::{OrderAction, SubmitAnswer};
use coursestand_coordination::signing::sign;
use coursestand_lab::operator::Operator;
use coursestand_model::load::{load, parse};
use coursestand_model::{Bundle, SignedBundle};
use ed25519_dalek::SigningKey;
use serde::Serialize;
use snafu::ResultExt;

use crate::arguments::{
    BundleCommand, BundleOptions, OperatorOptions, RollOptions, SignOptions, SubmitOptions,
};
use crate::commands::key;
use crate::error::{
    FileSnafu, JsonSnafu, LoadSnafu, NotAcceptedSnafu, OperatorSnafu, ToolError, UsageSnafu,
};

/// Time limit for an answer of the control group's leader.
pub const LEADER_TIMEOUT: Duration = Duration::from_secs(15);

/// Runs a bundle command.
pub async fn run(options: BundleOptions) -> Result<(), ToolError> {
    match options.command {
        Some(BundleCommand::Lint(options)) => lint(&options.file),
        Some(BundleCommand::Sign(options)) => sign_file(&options),
        Some(BundleCommand::Submit(options)) => submit(options).await,
        Some(BundleCommand::Status(options)) => status(options).await,
        Some(BundleCommand::History(options)) => history(options).await,
        Some(BundleCommand::Roll(options)) => roll(options).await,
        None => usage_error("bundle needs a command: lint, sign, submit, status, history, roll"),
    }
}

/// Fails with an error about invalid arguments.
pub fn usage_error(reason: &str) -> Result<(), ToolError> {
    UsageSnafu { reason }.fail()
}

/// Prints a value as JSON.
pub fn print_json<T: Serialize>(value: &T) -> Result<(), ToolError> {
    println!(
        "{}",
        serde_json::to_string_pretty(value).context(JsonSnafu)?
    );
    Ok(())
}

/// Returns an operator client that signs nothing.
pub fn read_only_operator(control: Vec<SocketAddr>) -> Result<Operator, ToolError> {
    if control.is_empty() {
        let reason = "--control is needed: operators' addresses of the control replicas";
        return UsageSnafu { reason }.fail();
    }
    let unused_key = SigningKey::from_bytes(&[0; 32]);
    Ok(Operator::new(control, "", unused_key))
}

/// Returns an operator client that signs with the key of a file.
pub fn operator_with_key(control: Vec<SocketAddr>, key_file: &Path) -> Result<Operator, ToolError> {
    let key = key::read(key_file)?;
    read_only_operator(control.clone())?;
    Ok(Operator::new(control, &key.operator, key.key))
}

/// Prints the revision of an accepted change. Fails with any other answer.
pub fn require_accepted(answer: &SubmitAnswer) -> Result<(), ToolError> {
    if let SubmitAnswer::Accepted { revision } = answer {
        println!("accepted as revision {revision}");
        return Ok(());
    }
    let answer = serde_json::to_string(answer).context(JsonSnafu)?;
    NotAcceptedSnafu { answer }.fail()
}

fn lint(file: &Path) -> Result<(), ToolError> {
    let bundle: Bundle = load(file).context(LoadSnafu)?;
    println!(
        "{}: {} version {} is valid",
        file.display(),
        bundle.name,
        bundle.version
    );
    Ok(())
}

fn sign_file(options: &SignOptions) -> Result<(), ToolError> {
    let key = key::read(&options.key)?;
    let mut signed = match load::<SignedBundle>(&options.file) {
        Ok(signed) => signed,
        Err(_) => {
            lint(&options.file)?;
            let path = &options.file;
            let content = std::fs::read_to_string(path).context(FileSnafu { path })?;
            SignedBundle {
                content,
                signatures: Vec::new(),
            }
        }
    };
    parse::<Bundle>(&options.file.display().to_string(), &signed.content).context(LoadSnafu)?;
    signed
        .signatures
        .retain(|signature| signature.operator != key.operator);
    signed
        .signatures
        .push(sign(&key.operator, &key.key, signed.content.as_bytes()));
    let text = serde_json::to_string_pretty(&signed).context(JsonSnafu)?;
    let path = &options.output;
    std::fs::write(path, text).context(FileSnafu { path })
}

async fn submit(options: SubmitOptions) -> Result<(), ToolError> {
    let operator = read_only_operator(options.control)?;
    let signed: SignedBundle = load(&options.file).context(LoadSnafu)?;
    let submission = options.submission.unwrap_or_else(|| signed.content_hash());
    let answer = operator
        .submit_bundle(signed, options.expected, &submission, LEADER_TIMEOUT)
        .await
        .context(OperatorSnafu)?;
    require_accepted(&answer)
}

async fn status(options: OperatorOptions) -> Result<(), ToolError> {
    let status = read_only_operator(options.control)?
        .status()
        .await
        .context(OperatorSnafu)?;
    if options.json {
        return print_json(&status.daemons);
    }
    println!("revision {}, version {}", status.revision, status.version);
    for daemon in &status.daemons {
        let behind = if daemon.behind { "behind" } else { "in force" };
        println!("{:<20} {:>10} {behind}", daemon.name, daemon.confirmed);
    }
    Ok(())
}

async fn history(options: OperatorOptions) -> Result<(), ToolError> {
    let revisions = read_only_operator(options.control)?
        .history()
        .await
        .context(OperatorSnafu)?;
    if options.json {
        return print_json(&revisions);
    }
    for revision in revisions {
        let operators = revision.operators.join(", ");
        let change = match &revision.change {
            coursestand_coordination::bundles::AcceptedChange::Bundle { name, version, .. } => {
                format!("bundle {name} version {version}")
            }
            coursestand_coordination::bundles::AcceptedChange::Order(action) => {
                serde_json::to_string(action).context(JsonSnafu)?
            }
        };
        println!("{:>6}  {change}  signed by {operators}", revision.number);
    }
    Ok(())
}

async fn roll(options: RollOptions) -> Result<(), ToolError> {
    let operator = operator_with_key(options.control, &options.key)?;
    let action = OrderAction::Roll {
        revision: options.revision,
    };
    let submission = format!("roll-{}-{}", options.revision, options.expected);
    let answer = operator
        .submit_order(action, options.expected, &submission, LEADER_TIMEOUT)
        .await
        .context(OperatorSnafu)?;
    require_accepted(&answer)
}

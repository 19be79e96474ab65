//! `coursestand control …`.

use coursestand_coordination::signing::{SignoffPolicy, public_key_text};
use coursestand_daemon::control::operators::ReplicaAddress;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt};

use crate::arguments::{
    ControlCommand, ControlOptions, InitOptions, OperatorOptions, ReplaceOptions,
};
use crate::commands::bundle::{LEADER_TIMEOUT, print_json, read_only_operator, usage_error};
use crate::commands::key;
use crate::error::{OperatorSnafu, ToolError, UsageSnafu};

/// Runs a control command.
pub async fn run(options: ControlOptions) -> Result<(), ToolError> {
    match options.command {
        Some(ControlCommand::Init(options)) => init(options).await,
        Some(ControlCommand::Replace(options)) => replace(options).await,
        Some(ControlCommand::Status(options)) => status(options).await,
        None => usage_error("control needs a command: init, replace, status"),
    }
}

async fn init(options: InitOptions) -> Result<(), ToolError> {
    let mut policy = SignoffPolicy {
        required: options.required,
        ..SignoffPolicy::default()
    };
    for file in &options.key {
        let key = key::read(file)?;
        policy
            .operators
            .insert(key.operator, public_key_text(&key.key));
    }
    let is_satisfiable = policy.required > 0 && policy.operators.len() >= policy.required;
    if !is_satisfiable {
        let reason = format!(
            "--required: found {}, allowed: 1 to the number of --key files, {}",
            policy.required,
            policy.operators.len()
        );
        return UsageSnafu { reason }.fail();
    }
    let cluster = options.cluster.unwrap_or_else(rand::random);
    println!("forming control group {cluster}");
    read_only_operator(options.control)?
        .form_group(cluster, &policy, LEADER_TIMEOUT)
        .await
        .context(OperatorSnafu)?;
    println!("the control group is formed");
    Ok(())
}

async fn replace(options: ReplaceOptions) -> Result<(), ToolError> {
    let operator = read_only_operator(options.control)?;
    let with = options.with.context(UsageSnafu {
        reason: "--with is needed",
    })?;
    let status = operator.status().await.context(OperatorSnafu)?;
    let cluster = status.replica["identity"]["cluster"].as_u64();
    let cluster = cluster.context(UsageSnafu {
        reason: "the leader's status has no cluster identity",
    })?;
    let new_replica = operator.status_of(with).await.context(OperatorSnafu)?;
    let replacement = ReplicaAddress {
        replica: rand::random::<u64>() >> 1,
        address: new_replica.listen,
    };
    println!(
        "replica {} replaces replica {}",
        replacement.replica, options.lost
    );
    operator
        .replace(cluster, options.lost, replacement, with, LEADER_TIMEOUT)
        .await
        .context(OperatorSnafu)?;
    println!("done");
    Ok(())
}

async fn status(options: OperatorOptions) -> Result<(), ToolError> {
    let operator = read_only_operator(options.control.clone())?;
    let mut replicas = Vec::new();
    for address in options.control {
        let shown = match operator.status_of(address).await {
            Ok(status) => json!({
                "operators": address,
                "leads": status.leads,
                "revision": status.revision,
                "replica": status.replica,
            }),
            Err(error) => json!({ "operators": address, "error": error.to_string() }),
        };
        replicas.push(shown);
    }
    print_json(&Value::Array(replicas))
}

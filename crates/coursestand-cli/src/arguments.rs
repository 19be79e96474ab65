//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;

/// Defines the options of a command that calls the operator API: `--help`, `--control` and
/// the given ones.
macro_rules! operator_options {
    ($name:ident { $($options:tt)* }) => {
        #[derive(Debug, Options)]
        pub struct $name {
            #[options(help = "print this help")]
            pub help: bool,
            #[options(
                help = "operator API addresses of the control replicas",
                meta = "IP:PORT"
            )]
            pub control: Vec<SocketAddr>,
            $($options)*
        }
    };
}

/// Arguments of the program.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<Command>,
}

/// Commands.
#[derive(Debug, Options)]
pub enum Command {
    #[options(help = "run a complete deployment in this process for a limited time")]
    Demo(DemoOptions),
    #[options(help = "check, sign and submit policy bundles, show their state")]
    Bundle(BundleOptions),
    #[options(help = "form the control group, replace a replica, show the replicas' status")]
    Control(ControlOptions),
    #[options(help = "move traffic away from region:NAME, zone:NAME or backend:NAME")]
    Drain(DrainOptions),
    #[options(help = "end a drain")]
    Restore(DrainOptions),
    #[options(help = "print the state of a process")]
    Dump(DumpOptions),
    #[options(help = "ask an entry daemon which entry daemons a client should use")]
    Lookup(LookupOptions),
    #[options(help = "explain the outcome of a request from the logs of processes")]
    Explain(ExplainOptions),
    #[options(help = "generate an operator's key")]
    Key(KeyOptions),
    #[options(help = "run the testbed's emulated back ends and load generator")]
    Lab(LabOptions),
    #[options(help = "print the JSON schema of settings, bundle or deployment files")]
    Schema(SchemaOptions),
}

#[derive(Debug, Options)]
pub struct DemoOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "hut or coop", default = "hut", meta = "NAME")]
    pub deployment: String,
    #[options(help = "duration of the load in seconds", default = "15", meta = "N")]
    pub seconds: u64,
    #[options(help = "requests per second", default = "300", meta = "N")]
    pub rate: f64,
    #[options(help = "print the figures as JSON")]
    pub json: bool,
}

#[derive(Debug, Options)]
pub struct BundleOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<BundleCommand>,
}

#[derive(Debug, Options)]
pub enum BundleCommand {
    #[options(help = "check a bundle file")]
    Lint(FileOptions),
    #[options(help = "sign a bundle file, or add a signature to a signed one")]
    Sign(SignOptions),
    #[options(help = "submit a signed bundle")]
    Submit(SubmitOptions),
    #[options(help = "show which daemons are behind")]
    Status(OperatorOptions),
    #[options(help = "show the accepted changes")]
    History(OperatorOptions),
    #[options(help = "roll back to the bundle of an earlier revision")]
    Roll(RollOptions),
}

#[derive(Debug, Options)]
pub struct FileOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "the file")]
    pub file: PathBuf,
}

#[derive(Debug, Options)]
pub struct SignOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(
        free,
        required,
        help = "bundle file, or signed bundle to which a signature is added"
    )]
    pub file: PathBuf,
    #[options(help = "operator's key file", required, meta = "FILE")]
    pub key: PathBuf,
    #[options(help = "file for the signed bundle", required, meta = "FILE")]
    pub output: PathBuf,
}

operator_options!(SubmitOptions {
    #[options(free, required, help = "signed bundle file")]
    pub file: PathBuf,
    #[options(
        help = "revision on which the bundle is based",
        required,
        meta = "N"
    )]
    pub expected: u64,
    #[options(
        help = "idempotency key: submitting it again returns the first answer",
        meta = "TEXT"
    )]
    pub submission: Option<String>,
});

operator_options!(OperatorOptions {
    #[options(help = "print JSON")]
    pub json: bool,
});

operator_options!(RollOptions {
    #[options(free, required, help = "the earlier revision")]
    pub revision: u64,
    #[options(help = "operator's key file", required, meta = "FILE")]
    pub key: PathBuf,
    #[options(help = "current revision", required, meta = "N")]
    pub expected: u64,
});

#[derive(Debug, Options)]
pub struct ControlOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<ControlCommand>,
}

#[derive(Debug, Options)]
pub enum ControlCommand {
    #[options(help = "form a control group of blank replicas")]
    Init(InitOptions),
    #[options(help = "replace a lost replica by a blank one")]
    Replace(ReplaceOptions),
    #[options(help = "show the status of every replica")]
    Status(OperatorOptions),
}

#[derive(Debug, Options)]
pub struct InitOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(
        help = "operator API addresses of the blank replicas",
        meta = "IP:PORT"
    )]
    pub control: Vec<SocketAddr>,
    #[options(
        help = "key files of the operators who may sign changes",
        meta = "FILE"
    )]
    pub key: Vec<PathBuf>,
    #[options(help = "signatures that a change requires", default = "1", meta = "N")]
    pub required: usize,
    #[options(
        help = "identity of the group, to resume an interrupted call",
        meta = "N"
    )]
    pub cluster: Option<u64>,
}

operator_options!(ReplaceOptions {
    #[options(help = "identity of the lost replica", required, meta = "N")]
    pub lost: u64,
    #[options(
        help = "operator API address of the blank replica",
        required,
        meta = "IP:PORT"
    )]
    pub with: Option<SocketAddr>,
});

operator_options!(DrainOptions {
    #[options(free, required, help = "region:NAME, zone:NAME or backend:NAME")]
    pub target: String,
    #[options(help = "operator's key file", required, meta = "FILE")]
    pub key: PathBuf,
});

#[derive(Debug, Options)]
pub struct ExplainOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "identity of the request")]
    pub request: String,
    #[options(free, help = "log files")]
    pub files: Vec<PathBuf>,
}

#[derive(Debug, Options)]
pub struct DumpOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "admin address of the process")]
    pub address: String,
}

#[derive(Debug, Options)]
pub struct LookupOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "address of an entry daemon")]
    pub address: String,
    #[options(help = "service", required, meta = "NAME")]
    pub service: String,
    #[options(help = "address or zone of the client", required, meta = "TEXT")]
    pub client: String,
}

#[derive(Debug, Options)]
pub struct KeyOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "file for the key; it must not exist")]
    pub file: PathBuf,
    #[options(help = "name of the operator", required, meta = "NAME")]
    pub operator: String,
}

#[derive(Debug, Options)]
pub struct LabOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<LabCommand>,
}

#[derive(Debug, Options)]
pub enum LabCommand {
    #[options(help = "write the deployment and settings files of hut or coop")]
    Prepare(PrepareOptions),
    #[options(help = "run the back ends and the platform list of a deployment")]
    World(WorldOptions),
    #[options(help = "generate load and check it against the back ends' records")]
    Load(LoadOptions),
    #[options(help = "measure the control group with simulated daemons")]
    Scale(ScaleOptions),
}

#[derive(Debug, Options)]
pub struct PrepareOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "hut or coop")]
    pub deployment: String,
    #[options(help = "folder for the files", required, meta = "DIR")]
    pub folder: PathBuf,
    #[options(help = "data folder to set in the settings", required, meta = "DIR")]
    pub data: PathBuf,
    #[options(help = "first port on 127.0.0.1", default = "21000", meta = "N")]
    pub port: u16,
}

#[derive(Debug, Options)]
pub struct WorldOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "deployment file")]
    pub deployment: PathBuf,
}

#[derive(Debug, Options)]
pub struct LoadOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "deployment file")]
    pub deployment: PathBuf,
    #[options(help = "addresses of entry daemons", meta = "IP:PORT")]
    pub entry: Vec<SocketAddr>,
    #[options(help = "duration of the load in seconds", default = "15", meta = "N")]
    pub seconds: u64,
    #[options(help = "requests per second", default = "200", meta = "N")]
    pub rate: f64,
    #[options(help = "seed of the random choices", default = "1", meta = "N")]
    pub seed: u64,
    #[options(help = "print the figures as JSON")]
    pub json: bool,
}

#[derive(Debug, Options)]
pub struct ScaleOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(
        help = "numbers of simulated daemons, one per step",
        default = "10,100,1000",
        meta = "N,N"
    )]
    pub steps: String,
    #[options(help = "changes per step", default = "40", meta = "N")]
    pub changes: u64,
    #[options(help = "print JSON")]
    pub json: bool,
}

#[derive(Debug, Options)]
pub struct SchemaOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "settings, bundle or signed-bundle")]
    pub kind: String,
}

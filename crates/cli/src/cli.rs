//! Definition of the command line for clap; [`crate::options`] checks what clap cannot.
//!
//! The doc comments on types with clap attributes are the text of `--help`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap_complete::Shell;
use dfs_ids::ChangeId;
use dfs_ids::ConfigVersion;
use dfs_ids::Millis;
use dfs_ids::RequestKey;
use dfs_ids::ServiceName;
use dfs_ids::SubmissionId;

use crate::output::Format;

const EXAMPLES: &str = "Examples:
  dragonflyshed job submit --entry 10.0.0.1:8080 --token-file token job.json
  dragonflyshed inventory apply --entry 10.0.0.1:8080 --token-file operator inventory.json
  dragonflyshed status --entry 10.0.0.1:8080 --entry 10.0.1.1:8080 --token-file operator

The token comes from --token-file, --token or the variable DRAGONFLYSHED_TOKEN.
docs/API.md lists the exit codes.";

const JOB_EXAMPLES: &str = "Examples:
  dragonflyshed job submit --entry 10.0.0.1:8080 job.json
  generate-job | dragonflyshed job submit --entry 10.0.0.1:8080 --output json -
  dragonflyshed job submit --entry 10.0.0.1:8080 --request-key census-2026-17 job.json

A job is a JSON document: {\"service\": \"returns\", \"tasks\": [{\"school\": 17}, {\"school\": 18}]}";

const CANCEL_EXAMPLES: &str = "Example:
  dragonflyshed job cancel --entry 10.0.0.1:8080 --entry 10.0.1.1:8080 desk-17";

const REQUEST_EXAMPLES: &str = "Examples:
  echo '{\"item\": \"diary-a5\"}' | dragonflyshed request send --entry 10.0.0.1:8080 \\
      --service price-check --repeatable -
  dragonflyshed request send --entry 10.0.0.1:8080 --service slot-booking \\
      --request-key booking-311 booking.json";

const INVENTORY_EXAMPLES: &str = "Examples:
  dragonflyshed inventory check inventory.json
  dragonflyshed inventory show --entry 10.0.0.1:8080 > inventory.json
  dragonflyshed inventory diff --entry 10.0.0.1:8080 inventory.json
  dragonflyshed inventory apply --entry 10.0.0.1:8080 --base 41 inventory.json";

const RULES_EXAMPLES: &str = "Examples:
  dragonflyshed rules check rules.json
  dragonflyshed rules show --entry 10.0.0.1:8080 > rules.json
  dragonflyshed rules apply --entry 10.0.0.1:8080 --base 41 rules.json";

const CONFIG_EXAMPLES: &str = "Example:
  dragonflyshed config wait --entry 10.0.0.1:8080 --entry 10.0.1.1:8080 --version 42";

const STATUS_EXAMPLES: &str = "Examples:
  dragonflyshed status --entry 10.0.0.1:8080 --entry 10.0.1.1:8080
  dragonflyshed status --entry 10.0.0.1:8080 --output json";

const LOAD_EXAMPLES: &str = "Examples:
  dragonflyshed load --entry 127.0.0.1:8080 --round-trip-us 1000 member-desk.json
  dragonflyshed load --entry 127.0.0.1:8080 --rate-per-s 20 --seed 3 --output json mix.json

The token is an operator's; it is used only to count the messages per task.";

const EXPLAIN_EXAMPLES: &str = "Example:
  dragonflyshed explain --log entry-1.log --log agent-*.log -- 52aa35ec032ef740

Only the logs are read; no process is called. docs/OPERATIONS.md explains the output.";

const COMPLETIONS_EXAMPLES: &str = "Example:
  dragonflyshed completions bash > dragonflyshed.bash";

/// Submits jobs to dragonflyshed and operates it.
#[derive(Debug, Parser)]
#[command(name = "dragonflyshed", version, about, after_help = EXAMPLES)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Submit or cancel a job
    #[command(subcommand)]
    Job(JobCommand),
    /// Send a single request
    #[command(subcommand)]
    Request(RequestCommand),
    /// Check, apply, show or compare the inventory
    #[command(subcommand)]
    Inventory(InventoryCommand),
    /// Check, apply or show the rules
    #[command(subcommand)]
    Rules(RulesCommand),
    /// Wait for a version of the configuration
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Show groups, targets and the version in force in each failure domain
    #[command(after_help = STATUS_EXAMPLES)]
    Status(StatusArgs),
    /// Send a mix of submissions, described in a file, and report response times
    #[command(after_help = LOAD_EXAMPLES)]
    Load(LoadArgs),
    /// Show the timeline of one request from the logs of all processes
    #[command(after_help = EXPLAIN_EXAMPLES)]
    Explain(ExplainArgs),
    /// Run a complete pool in this process, with jobs for two groups
    Demo,
    /// Print a completion script for a shell
    #[command(after_help = COMPLETIONS_EXAMPLES)]
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// Options of `explain`: which request, and from which logs.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// Log file of one or more processes; may be repeated
    #[arg(long = "log", value_name = "FILE", required = true, num_args = 1..)]
    pub logs: Vec<PathBuf>,
    /// Id of the request, the job or the submission
    #[arg(value_name = "ID", last = true)]
    pub id: String,
}

/// Options of all commands that call entries.
#[derive(Debug, Args)]
pub struct EntryArgs {
    /// Address of an entry; may be repeated
    #[arg(long = "entry", value_name = "IP:PORT", required = true)]
    pub entries: Vec<SocketAddr>,
    /// Bearer token; visible to other users of this machine, prefer --token-file
    #[arg(long, conflicts_with = "token_file")]
    pub token: Option<String>,
    /// File that holds the bearer token
    #[arg(long, value_name = "FILE")]
    pub token_file: Option<PathBuf>,
}

/// Options of all commands that print a result as table or JSON.
#[derive(Debug, Args)]
pub struct OutputArgs {
    /// Format of the result on standard output
    #[arg(long, value_enum, default_value_t = Format::Table)]
    pub output: Format,
}

/// `job`.
#[derive(Debug, Subcommand)]
pub enum JobCommand {
    /// Submit a job and wait for its answer
    #[command(after_help = JOB_EXAMPLES)]
    Submit(JobSubmitArgs),
    /// Cancel a job or request by the name of its submission
    #[command(after_help = CANCEL_EXAMPLES)]
    Cancel(JobCancelArgs),
}

/// Options common to `job submit` and `request send`.
#[derive(Debug, Args)]
pub struct SubmitArgs {
    /// Where to send it.
    #[command(flatten)]
    pub entry: EntryArgs,
    /// How to print the answer.
    #[command(flatten)]
    pub output: OutputArgs,
    /// Name of the submission, for `job cancel`; random if absent
    #[arg(long, value_name = "NAME")]
    pub submission: Option<SubmissionId>,
    /// Time within which the answer is needed
    #[arg(long, value_name = "MS", value_parser = parse_millis)]
    pub deadline_ms: Option<Millis>,
    /// Idempotency key: at most one submission with this key runs
    #[arg(long, value_name = "KEY")]
    pub request_key: Option<RequestKey>,
    /// With a request key: maximum number of retries after an answer "not run" that says when to
    /// retry
    #[arg(
        long,
        value_name = "COUNT",
        default_value_t = 3,
        requires = "request_key"
    )]
    pub retries: u32,
}

/// `job submit`.
#[derive(Debug, Args)]
pub struct JobSubmitArgs {
    /// Common options.
    #[command(flatten)]
    pub submit: SubmitArgs,
    /// File with the job, or - for standard input
    pub file: PathBuf,
}

/// `job cancel`.
#[derive(Debug, Args)]
pub struct JobCancelArgs {
    /// Entries to ask, in this order, until one cancels the submission.
    #[command(flatten)]
    pub entry: EntryArgs,
    /// Name of the submission
    pub submission: SubmissionId,
}

/// `request`.
#[derive(Debug, Subcommand)]
pub enum RequestCommand {
    /// Send one request and wait for its answer
    #[command(after_help = REQUEST_EXAMPLES)]
    Send(RequestSendArgs),
}

/// `request send`.
#[derive(Debug, Args)]
pub struct RequestSendArgs {
    /// Common options.
    #[command(flatten)]
    pub submit: SubmitArgs,
    /// Service to call
    #[arg(long)]
    pub service: ServiceName,
    /// The request may run more than once
    #[arg(long)]
    pub repeatable: bool,
    /// File with the JSON body for the target, or - for standard input
    pub file: PathBuf,
}

/// `inventory`.
#[derive(Debug, Subcommand)]
pub enum InventoryCommand {
    /// Check a file without sending it
    #[command(after_help = INVENTORY_EXAMPLES)]
    Check(CheckArgs),
    /// Replace the inventory in force
    #[command(after_help = INVENTORY_EXAMPLES)]
    Apply(ApplyArgs),
    /// Print the inventory in force
    #[command(after_help = INVENTORY_EXAMPLES)]
    Show(ShowArgs),
    /// List how a file differs from the inventory in force
    #[command(after_help = INVENTORY_EXAMPLES)]
    Diff(DiffArgs),
}

/// `rules`.
#[derive(Debug, Subcommand)]
pub enum RulesCommand {
    /// Check a file without sending it
    #[command(after_help = RULES_EXAMPLES)]
    Check(CheckArgs),
    /// Replace the rules in force
    #[command(after_help = RULES_EXAMPLES)]
    Apply(ApplyArgs),
    /// Print the rules in force
    #[command(after_help = RULES_EXAMPLES)]
    Show(ShowArgs),
}

/// `inventory check` and `rules check`.
#[derive(Debug, Args)]
pub struct CheckArgs {
    /// File with the document, or - for standard input
    pub file: PathBuf,
}

/// `inventory apply` and `rules apply`.
#[derive(Debug, Args)]
pub struct ApplyArgs {
    /// Entries, tried in this order.
    #[command(flatten)]
    pub entry: EntryArgs,
    /// How to print the new version.
    #[command(flatten)]
    pub output: OutputArgs,
    /// Version on which the file is based, 0 for the first; read from the entry if absent
    #[arg(long, value_name = "VERSION")]
    pub base: Option<ConfigVersion>,
    /// Id of the change, to repeat an earlier apply whose reply was lost; needs --base
    #[arg(long, value_name = "ID", requires = "base")]
    pub change: Option<ChangeId>,
    /// Time-out for each reply
    #[arg(long, value_name = "MS", default_value = "10000", value_parser = parse_millis)]
    pub timeout_ms: Millis,
    /// Maximum number of attempts to find out whether the change was accepted
    #[arg(long, value_name = "COUNT", default_value_t = 5)]
    pub tries: u32,
    /// File with the document, or - for standard input
    pub file: PathBuf,
}

/// `inventory show` and `rules show`.
#[derive(Debug, Args)]
pub struct ShowArgs {
    /// Entries, tried in this order.
    #[command(flatten)]
    pub entry: EntryArgs,
}

/// `inventory diff`.
#[derive(Debug, Args)]
pub struct DiffArgs {
    /// Entries, tried in this order.
    #[command(flatten)]
    pub entry: EntryArgs,
    /// How to print the differences.
    #[command(flatten)]
    pub output: OutputArgs,
    /// File with the document, or - for standard input
    pub file: PathBuf,
}

/// `config`.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Wait until a version is in force at every given entry and in every failure domain
    #[command(after_help = CONFIG_EXAMPLES)]
    Wait(WaitArgs),
}

/// `config wait`.
#[derive(Debug, Args)]
pub struct WaitArgs {
    /// Entries, all of which must report the version.
    #[command(flatten)]
    pub entry: EntryArgs,
    /// Version to wait for; a higher one counts too
    #[arg(long, value_name = "VERSION")]
    pub version: ConfigVersion,
    /// Time-out; the last status call may take 2 s more
    #[arg(long, value_name = "MS", default_value = "30000", value_parser = parse_millis)]
    pub timeout_ms: Millis,
}

/// `status`.
#[derive(Debug, Args)]
pub struct StatusArgs {
    /// Entries whose views are merged.
    #[command(flatten)]
    pub entry: EntryArgs,
    /// How to print the view.
    #[command(flatten)]
    pub output: OutputArgs,
}

/// `load`.
#[derive(Debug, Args)]
pub struct LoadArgs {
    /// Entries, called in turn.
    #[command(flatten)]
    pub entry: EntryArgs,
    /// How to print the report.
    #[command(flatten)]
    pub output: OutputArgs,
    /// Network round trip included in the ideal response time
    #[arg(long, value_name = "US", default_value_t = 1000)]
    pub round_trip_us: u64,
    /// Submissions per second; overrides the file
    #[arg(long, value_name = "RATE")]
    pub rate_per_s: Option<f64>,
    /// Time during which submissions arrive; overrides the file
    #[arg(long, value_name = "MS", value_parser = parse_millis)]
    pub duration_ms: Option<Millis>,
    /// Seed of arrivals and sizes; overrides the file
    #[arg(long)]
    pub seed: Option<u64>,
    /// File with the mix, or - for standard input
    pub file: PathBuf,
}

fn parse_millis(text: &str) -> Result<Millis, std::num::ParseIntError> {
    text.parse().map(Millis::new)
}

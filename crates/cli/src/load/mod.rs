//! The `load` command: sends a configured mix of submissions and measures the replies.

mod arrival;
mod counter;
mod mix;
mod outcome;
mod report;
mod run;
mod send;
mod tally;

use std::net::SocketAddr;
use std::time::Duration;

use dfs_ids::Millis;
use snafu::OptionExt;

use crate::cli::LoadArgs;
use crate::client::Client;
use crate::error::Error;
use crate::exit::Exit;
use crate::input;
use crate::options::OptionsError;
use crate::options::RemoteEntrySnafu;
use crate::options::Token;
use crate::output;
use crate::output::Format;

use self::counter::Counters;
use self::mix::Mix;
use self::report::Report;

pub use mix::MixError;

/// Added to the client time-out, so that the load always ends before a call times out.
const CALL_TIMEOUT_MARGIN: Millis = Millis::new(10_000);

/// Sends the mix, prints the report, and derives the exit code from it.
pub async fn run(args: LoadArgs) -> Result<Exit, Error> {
    let mix = read_mix(&args)?;
    let operator_token = Token::find(&args.entry)?;
    let entries = check_entries(&mix, &args.entry.entries)?;
    let before = Counters::read(operator_token.as_ref(), &entries).await;
    let round_trip = Duration::from_micros(args.round_trip_us);
    let tally = run::run(&mix, &entries, round_trip).await;
    let after = Counters::read(operator_token.as_ref(), &entries).await;
    let report = Report::new(&mix, round_trip, &tally, counter::difference(before, after));
    match args.output.output {
        Format::Json => output::print_json(&report)?,
        Format::Table => output::print(&report.to_string())?,
    }
    Ok(exit_code(&report))
}

fn exit_code(report: &Report) -> Exit {
    if report.wrong_answers() > 0 {
        Exit::WrongAnswers
    } else if report.all_unreachable() {
        Exit::Unreachable
    } else {
        Exit::Success
    }
}

/// Reads and checks the mix; command-line options override the file.
fn read_mix(args: &LoadArgs) -> Result<Mix, Error> {
    let mut mix: Mix = input::read_json(&args.file)?;
    mix.seed = args.seed.unwrap_or(mix.seed);
    mix.rate_per_s = args.rate_per_s.unwrap_or(mix.rate_per_s);
    mix.duration_ms = args.duration_ms.unwrap_or(mix.duration_ms);
    mix.check()?;
    Ok(mix)
}

/// Returns the entries, or an error if one is not a loopback address and the mix does not allow it.
fn check_entries(mix: &Mix, entries: &[SocketAddr]) -> Result<Vec<SocketAddr>, OptionsError> {
    let is_allowed = |entry: &SocketAddr| mix.allow_remote || entry.ip().is_loopback();
    entries
        .iter()
        .map(|entry| {
            let allowed = Some(*entry).filter(is_allowed);
            allowed.context(RemoteEntrySnafu { entry: *entry })
        })
        .collect()
}

/// One client per group, by index of the group in the mix; all share one connection pool.
fn group_clients(mix: &Mix) -> Vec<Client> {
    let timeout = mix.duration_ms + mix.drain_ms + CALL_TIMEOUT_MARGIN;
    let first = Client::new(mix.groups[0].token.clone(), timeout);
    let tokens = mix.groups.iter().map(|group| group.token.clone());
    tokens.map(|token| first.with_token(token)).collect()
}

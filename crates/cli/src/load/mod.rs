//! Sends a described mix of submissions and measures the answers.

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

/// Time by which a call may outlast the load, so that the end of the load always comes first.
const CALL_MARGIN: Millis = Millis::new(10_000);

/// Runs `load`.
pub async fn run(args: LoadArgs) -> Result<Exit, Error> {
    let mix = mix(&args)?;
    let operator = Token::find(&args.entry)?;
    let entries = allowed(&mix, &args.entry.entries)?;
    let before = Counters::read(operator.as_ref(), &entries).await;
    let round_trip = Duration::from_micros(args.round_trip_us);
    let tally = run::run(&mix, &entries, round_trip).await;
    let after = Counters::read(operator.as_ref(), &entries).await;
    let report = Report::new(&mix, round_trip, &tally, counter::difference(before, after));
    match args.output.output {
        Format::Json => output::print_json(&report)?,
        Format::Table => output::print(&report.to_string())?,
    }
    Ok(exit(&report))
}

fn exit(report: &Report) -> Exit {
    if report.wrong_answers() > 0 {
        Exit::WrongAnswers
    } else if report.none_reached() {
        Exit::Unreachable
    } else {
        Exit::Success
    }
}

/// Reads the mix; options replace what the file says.
fn mix(args: &LoadArgs) -> Result<Mix, Error> {
    let mut mix: Mix = input::read_json(&args.file)?;
    mix.seed = args.seed.unwrap_or(mix.seed);
    mix.rate_per_s = args.rate_per_s.unwrap_or(mix.rate_per_s);
    mix.duration_ms = args.duration_ms.unwrap_or(mix.duration_ms);
    mix.check()?;
    Ok(mix)
}

/// The entries, if the mix may be sent to all of them.
fn allowed(mix: &Mix, entries: &[SocketAddr]) -> Result<Vec<SocketAddr>, OptionsError> {
    let may_load = |entry: &SocketAddr| mix.allow_remote || entry.ip().is_loopback();
    entries
        .iter()
        .map(|entry| {
            let allowed = Some(*entry).filter(may_load);
            allowed.context(RemoteEntrySnafu { entry: *entry })
        })
        .collect()
}

/// One client for each group, over the same connections.
fn clients(mix: &Mix) -> Vec<Client> {
    let longest = mix.duration_ms + mix.drain_ms + CALL_MARGIN;
    let first = Client::new(mix.groups[0].token.clone(), longest);
    let tokens = mix.groups.iter().map(|group| group.token.clone());
    tokens.map(|token| first.with_token(token)).collect()
}

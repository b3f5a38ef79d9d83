//! `dragonflyshed-slopes`: measures slopes and regenerates the tables of the capacity page.

use std::path::Path;
use std::path::PathBuf;

use clap::Parser;
use clap::Subcommand;
use dfs_slopes::Sizes;
use dfs_slopes::Slopes;
use dfs_slopes::SlopesError;
use dfs_slopes::measure;
use dfs_slopes::measure::Part;

/// Measures the resource cost of the pool and extrapolates it to the planned sizes.
#[derive(Debug, Parser)]
#[command(name = "dragonflyshed-slopes", version)]
struct Arguments {
    /// File of measured slopes.
    #[arg(long, default_value = "docs/slopes.json", global = true)]
    slopes: PathBuf,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Measures one part and replaces its slopes in the file.
    Measure { part: Part },
    /// Regenerates the tables of the capacity page.
    Page {
        /// Markdown file of the capacity page.
        #[arg(long, default_value = "docs/CAPACITY.md")]
        page: PathBuf,
    },
}

#[tokio::main]
async fn main() -> Result<(), SlopesError> {
    let arguments = Arguments::parse();
    match arguments.action {
        Action::Measure { part } => {
            let measured = measure::run(part).await?;
            let mut slopes = if arguments.slopes.exists() {
                read_slopes(&arguments.slopes)?
            } else {
                Slopes::default()
            };
            slopes.slopes.extend(measured.slopes);
            let json = serde_json::to_string_pretty(&slopes);
            let json = json.map_err(|source| SlopesError::Json { source })?;
            write_text(&arguments.slopes, &format!("{json}\n"))
        }
        Action::Page { page } => {
            let tables = dfs_slopes::tables(&read_slopes(&arguments.slopes)?, &Sizes::default())?;
            let updated = dfs_slopes::replace_tables(&read_text(&page)?, &tables)?;
            write_text(&page, &updated)
        }
    }
}

fn read_slopes(path: &Path) -> Result<Slopes, SlopesError> {
    let text = read_text(path)?;
    serde_json::from_str(&text).map_err(|source| SlopesError::Json { source })
}

fn read_text(path: &Path) -> Result<String, SlopesError> {
    let path = path.to_owned();
    std::fs::read_to_string(&path).map_err(|source| SlopesError::File { path, source })
}

fn write_text(path: &Path, text: &str) -> Result<(), SlopesError> {
    let path = path.to_owned();
    std::fs::write(&path, text).map_err(|source| SlopesError::File { path, source })
}

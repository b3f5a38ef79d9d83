//! Every link between the pages of the repository leads to a file.

use std::path::Path;
use std::path::PathBuf;

use googletest::prelude::*;

const FOLDERS: [&str; 5] = ["", "docs", "docs/design", "docs/incidents", "examples"];

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn pages(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).unwrap();
    let paths = entries.map(|entry| entry.unwrap().path());
    paths
        .filter(|path| path.extension().is_some_and(|e| e == "md"))
        .collect()
}

/// Targets of the links of a page that name a file.
fn links(text: &str) -> Vec<&str> {
    let targets = text
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next());
    let files = targets.filter_map(|target| target.split('#').next());
    files
        .filter(|file| !file.is_empty() && !file.contains("://"))
        .collect()
}

#[googletest::test]
fn every_link_leads_to_a_file() {
    for folder in FOLDERS {
        for page in pages(&root().join(folder)) {
            let text = std::fs::read_to_string(&page).unwrap();
            for link in links(&text) {
                let file = page.parent().unwrap().join(link);
                expect_true!(file.exists(), "{} links to {link}", page.display());
            }
        }
    }
}

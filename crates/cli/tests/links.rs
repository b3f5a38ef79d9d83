//! Checks that links between the Markdown pages of the repository lead to existing files.

use std::path::Path;
use std::path::PathBuf;

use googletest::prelude::*;

const FOLDERS: [&str; 5] = ["", "docs", "docs/design", "docs/incidents", "examples"];

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn markdown_files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).unwrap();
    let paths = entries.map(|entry| entry.unwrap().path());
    paths
        .filter(|path| path.extension().is_some_and(|e| e == "md"))
        .collect()
}

/// Files to which a Markdown text links, without fragments; links to other sites are left out.
fn linked_files(text: &str) -> Vec<&str> {
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
        for page in markdown_files(&root().join(folder)) {
            let text = std::fs::read_to_string(&page).unwrap();
            for link in linked_files(&text) {
                let file = page.parent().unwrap().join(link);
                expect_true!(file.exists(), "{} links to {link}", page.display());
            }
        }
    }
}

//! The committed capacity page must match the committed slopes file: it goes stale when one is
//! changed without the other, or when a table changes without regenerating the page.

use dfs_slopes::Sizes;
use dfs_slopes::Slopes;
use dfs_slopes::replace_tables;
use dfs_slopes::tables;
use googletest::prelude::*;

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");
const SLOPES: &str = include_str!("../../../docs/slopes.json");

fn committed_slopes() -> Slopes {
    serde_json::from_str(SLOPES).unwrap()
}

#[gtest]
fn the_page_matches_the_generated_tables() {
    let tables = tables(&committed_slopes(), &Sizes::default()).unwrap();
    expect_that!(
        replace_tables(PAGE, &tables)
            .unwrap()
            .lines()
            .collect::<Vec<_>>(),
        eq(&PAGE.lines().collect::<Vec<_>>())
    );
}

#[gtest]
fn every_slope_has_three_points_in_ascending_order() {
    for (name, slope) in committed_slopes().slopes {
        expect_that!(slope.points.len(), ge(3), "{name:?}");
        expect_true!(slope.points.is_sorted_by(|a, b| a.x < b.x), "{name:?}");
    }
}

#[gtest]
fn a_page_without_markers_is_rejected() {
    expect_that!(replace_tables("no markers", ""), err(anything()));
}

#[gtest]
fn a_missing_slope_is_reported() {
    let error = tables(&Slopes::default(), &Sizes::default()).unwrap_err();
    expect_that!(error.to_string(), contains_substring("is missing"));
}

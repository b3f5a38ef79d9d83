//! The capacity page agrees with the measured slopes.

use dfs_slopes::Sizes;
use dfs_slopes::Slopes;
use dfs_slopes::renew;
use dfs_slopes::tables;
use googletest::prelude::*;

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");
const SLOPES: &str = include_str!("../../../docs/slopes.json");

fn slopes() -> Slopes {
    serde_json::from_str(SLOPES).unwrap()
}

#[gtest]
fn the_page_is_what_the_tool_prints() {
    let tables = tables(&slopes(), &Sizes::default()).unwrap();
    expect_that!(
        renew(PAGE, &tables).unwrap().lines().collect::<Vec<_>>(),
        eq(&PAGE.lines().collect::<Vec<_>>())
    );
}

#[gtest]
fn every_slope_has_three_sizes() {
    for (name, slope) in slopes().slopes {
        expect_that!(slope.points.len(), ge(3), "{name:?}");
        expect_true!(slope.points.is_sorted_by(|a, b| a.x < b.x), "{name:?}");
    }
}

#[gtest]
fn a_page_without_markers_is_refused() {
    expect_that!(renew("no markers", ""), err(anything()));
}

#[gtest]
fn a_missing_slope_is_named() {
    let missing = tables(&Slopes::default(), &Sizes::default()).unwrap_err();
    expect_that!(missing.to_string(), contains_substring("is missing"));
}

//! Lines through points.

use dfs_slopes::Fit;
use dfs_slopes::Point;
use googletest::prelude::*;

fn points(of: &[(f64, f64)]) -> Vec<Point> {
    let point = |(x, y): &(f64, f64)| Point {
        x: *x,
        y: *y,
        load_average: 0.0,
    };
    of.iter().map(point).collect()
}

#[gtest]
fn a_straight_line_is_found() {
    let fit = Fit::of(&points(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]));
    expect_that!(fit.slope, near(2.0, 1e-9));
    expect_that!(fit.intercept, near(3.0, 1e-9));
    expect_false!(fit.bends());
}

#[gtest]
fn a_bend_is_told() {
    let fit = Fit::of(&points(&[(1.0, 1.0), (2.0, 4.0), (3.0, 9.0), (4.0, 16.0)]));
    expect_that!(fit.least, near(3.0, 1e-9));
    expect_that!(fit.most, near(7.0, 1e-9));
    expect_true!(fit.bends());
}

#[gtest]
fn one_size_has_no_slope() {
    let fit = Fit::of(&points(&[(3.0, 5.0)]));
    expect_that!((fit.slope, fit.intercept), eq((0.0, 5.0)));
}

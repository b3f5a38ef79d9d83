//! Linear fits: slope, intercept and detection of non-linear costs.

use dfs_slopes::Fit;
use dfs_slopes::Point;
use googletest::prelude::*;

fn points(coordinates: &[(f64, f64)]) -> Vec<Point> {
    let point = |(x, y): &(f64, f64)| Point {
        x: *x,
        y: *y,
        load_average: 0.0,
    };
    coordinates.iter().map(point).collect()
}

#[gtest]
fn points_on_a_line_give_its_slope_and_intercept() {
    let fit = Fit::of(&points(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]));
    expect_that!(fit.slope, near(2.0, 1e-9));
    expect_that!(fit.intercept, near(3.0, 1e-9));
    expect_false!(fit.is_nonlinear());
}

#[gtest]
fn a_quadratic_cost_is_reported_as_nonlinear() {
    let fit = Fit::of(&points(&[(1.0, 1.0), (2.0, 4.0), (3.0, 9.0), (4.0, 16.0)]));
    expect_that!(fit.min_slope, near(3.0, 1e-9));
    expect_that!(fit.max_slope, near(7.0, 1e-9));
    expect_true!(fit.is_nonlinear());
}

#[gtest]
fn a_single_point_has_slope_zero() {
    let fit = Fit::of(&points(&[(3.0, 5.0)]));
    expect_that!((fit.slope, fit.intercept), eq((0.0, 5.0)));
}

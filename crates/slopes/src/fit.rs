//! Linear least-squares fit through measured points.

use serde::Deserialize;
use serde::Serialize;

/// One measurement of a cost at one load size.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Load size, e.g. the number of sessions.
    pub x: f64,
    /// Cost measured at this size, in the unit that the slope's name gives.
    pub y: f64,
    /// One-minute load average of the machine when the point was recorded.
    pub load_average: f64,
}

/// Least-squares line through points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Increase of `y` per unit of `x`.
    pub slope: f64,
    /// Fixed cost: the line's `y` at `x` = 0.
    pub intercept: f64,
    /// Smallest slope between two neighbouring points; infinite with fewer than two points.
    pub min_slope: f64,
    /// Largest slope between two neighbouring points; negative infinity with fewer than two points.
    pub max_slope: f64,
}

impl Fit {
    /// Fits a line; the slope is zero with fewer than two distinct sizes.
    #[must_use]
    pub fn of(points: &[Point]) -> Self {
        let n: f64 = points.iter().map(|_| 1.0).sum();
        let mean_x = points.iter().map(|p| p.x).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.y).sum::<f64>() / n;
        let variance: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
        let covariance: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        let neighbour_slopes = points
            .windows(2)
            .map(|pair| (pair[1].y - pair[0].y) / (pair[1].x - pair[0].x));
        Self {
            slope,
            intercept: mean_y - slope * mean_x,
            min_slope: neighbour_slopes.clone().fold(f64::INFINITY, f64::min),
            max_slope: neighbour_slopes.fold(f64::NEG_INFINITY, f64::max),
        }
    }

    /// Whether the slopes between neighbouring points differ by more than a factor of two or are
    /// not all positive. Extrapolating such a cost linearly is unreliable.
    #[must_use]
    pub fn is_nonlinear(&self) -> bool {
        self.min_slope <= 0.0 || self.max_slope > 2.0 * self.min_slope
    }
}

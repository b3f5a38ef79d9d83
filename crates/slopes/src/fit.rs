//! Least squares through measured points.

use serde::Deserialize;
use serde::Serialize;

/// One measurement.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Size.
    pub x: f64,
    /// What was measured at this size.
    pub y: f64,
    /// Load average of the machine during the measurement.
    pub load_average: f64,
}

/// A straight line through points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Growth of `y` for each unit of `x`.
    pub slope: f64,
    /// `y` at size zero.
    pub intercept: f64,
    /// Smallest slope between two neighbouring points.
    pub least: f64,
    /// Largest slope between two neighbouring points.
    pub most: f64,
}

impl Fit {
    /// Fits a line; with fewer than two different sizes the slope is zero.
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
        let steps = points
            .windows(2)
            .map(|pair| (pair[1].y - pair[0].y) / (pair[1].x - pair[0].x));
        Self {
            slope,
            intercept: mean_y - slope * mean_x,
            least: steps.clone().fold(f64::INFINITY, f64::min),
            most: steps.fold(f64::NEG_INFINITY, f64::max),
        }
    }

    /// Whether the slope between neighbouring points differs by more than a factor of two.
    #[must_use]
    pub fn bends(&self) -> bool {
        self.least <= 0.0 || self.most > 2.0 * self.least
    }
}

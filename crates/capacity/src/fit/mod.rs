//! Least-squares fit of a straight line to measured points.

use serde::Serialize;

/// The line `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The increase of y for each unit of x.
    pub slope: f64,
    /// The value at x = 0.
    pub intercept: f64,
    /// The largest distance of a point from the line, in units of y.
    pub residual: f64,
}

impl Line {
    /// Fits a line to the points. Returns `None` if all of them have the same x.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let joint = |(x, y): &(f64, f64)| (x - mean_x) * (y - mean_y);
        let slope = points.iter().map(joint).sum::<f64>() / spread;
        let intercept = mean_y - slope * mean_x;
        let line = Self {
            slope,
            intercept,
            residual: 0.0,
        };
        let off = |(x, y): &(f64, f64)| (y - line.at(*x)).abs();
        let residual = points.iter().map(off).fold(0.0, f64::max);
        Some(Self { residual, ..line })
    }

    /// Returns the value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

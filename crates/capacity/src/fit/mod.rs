//! A straight line through measured points.

use serde::Serialize;

/// `y = intercept + slope * x`, by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// What one more of x adds.
    pub slope: f64,
    /// What there is at x = 0.
    pub intercept: f64,
    /// The largest distance of a point from the line, in units of y.
    pub residual: f64,
}

impl Line {
    /// Fits the points; none where they don't differ in x.
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

    /// The line's value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

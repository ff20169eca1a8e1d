//! Tables of measurements with their fitted lines.

mod text;

use crate::fit::Line;
use serde::Serialize;
use std::sync::Arc;

/// A measured quantity at each size, with its fitted line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// The name of the quantity, with its unit.
    pub name: Arc<str>,
    /// The value at each size of the table.
    pub values: Vec<f64>,
    /// The line fitted to the values.
    pub line: Option<Line>,
}

/// One measurement at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Table {
    /// The title of the measurement.
    pub title: Arc<str>,
    /// The quantity that the sizes count.
    pub size: Arc<str>,
    /// The sizes.
    pub sizes: Vec<f64>,
    /// The figures.
    pub figures: Vec<Figure>,
}

/// All tables of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CapacityReport {
    /// The tables, in the order of measurement.
    pub tables: Vec<Table>,
}

impl Table {
    /// Creates a table without figures.
    pub fn new(title: &str, size: &str, sizes: Vec<f64>) -> Self {
        Self {
            title: title.into(),
            size: size.into(),
            sizes,
            figures: Vec::new(),
        }
    }

    /// Adds a figure measured at each size.
    pub fn add(&mut self, name: &str, values: Vec<f64>) {
        let points: Vec<(f64, f64)> = self
            .sizes
            .iter()
            .copied()
            .zip(values.iter().copied())
            .collect();
        self.figures.push(Figure {
            name: name.into(),
            values,
            line: Line::through(&points),
        });
    }

    /// Returns the figure with this name.
    pub fn figure(&self, name: &str) -> Option<&Figure> {
        self.figures.iter().find(|figure| &*figure.name == name)
    }
}

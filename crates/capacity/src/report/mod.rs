//! What was measured, as tables with their fitted lines.

mod text;

use crate::fit::Line;
use serde::Serialize;
use std::sync::Arc;

/// One measured quantity at each size, with the line through it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// What it is, with its unit.
    pub name: Arc<str>,
    /// Its value at each size of the table.
    pub values: Vec<f64>,
    /// The line over the sizes.
    pub line: Option<Line>,
}

/// One measurement at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Table {
    /// What was measured.
    pub title: Arc<str>,
    /// What the sizes count.
    pub size: Arc<str>,
    /// The sizes.
    pub sizes: Vec<f64>,
    /// The figures.
    pub figures: Vec<Figure>,
}

/// All tables of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CapacityReport {
    /// In the order they were measured.
    pub tables: Vec<Table>,
}

impl Table {
    /// A table without figures.
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

    /// A figure by its name.
    pub fn figure(&self, name: &str) -> Option<&Figure> {
        self.figures.iter().find(|figure| &*figure.name == name)
    }
}

//! Rendering of the tables as text.

use super::{CapacityReport, Figure, Table};
use std::fmt;

impl fmt::Display for CapacityReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.tables.iter().try_for_each(|table| table.fmt(f))
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{}", self.title)?;
        write!(f, "{:<44}", self.size)?;
        for size in &self.sizes {
            write!(f, "{size:>11}")?;
        }
        writeln!(f, "{:>12}{:>12}{:>10}", "slope", "at 0", "residual")?;
        self.figures.iter().try_for_each(|figure| figure.fmt(f))
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<44}", self.name)?;
        for value in &self.values {
            write!(f, "{value:>11.3}")?;
        }
        match self.line {
            Some(line) => writeln!(
                f,
                "{:>12.4}{:>12.3}{:>10.3}",
                line.slope, line.intercept, line.residual
            ),
            None => writeln!(f),
        }
    }
}

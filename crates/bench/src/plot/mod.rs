//! The plot of slowdown by length against load.

use crate::measure::{BANDS, band_name};
use crate::report::BenchReport;
use bluebell_base::prelude::*;
use plotters::prelude::*;
use std::path::Path;

/// The plot's size in pixels.
const SIZE: (u32, u32) = (1_200, 900);
/// The highest slowdown drawn.
const TOP: f64 = 100.0;

/// Writes the plot: one panel for each fleet and policy, one line for each band.
///
/// # Errors
/// Returns an error if the file can't be written.
pub fn write(report: &BenchReport, path: &Path) -> Result<(), Error> {
    draw(report, path).map_err(|error| {
        let text = format!("cannot write the plot: {error}");
        Error::not_run(ErrorKind::Internal, text)
    })
}

fn draw(report: &BenchReport, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut panels: Vec<(&str, &str)> = Vec::new();
    for row in &report.rows {
        let panel = (row.fleet.as_str(), row.policy.as_str());
        if row.part == "loads" && !panels.contains(&panel) {
            panels.push(panel);
        }
    }
    let columns = panels.len().div_ceil(2).max(1);
    let areas = root.split_evenly((2, columns));
    for ((fleet, policy), area) in panels.iter().zip(&areas) {
        let title = format!("{fleet}, {policy}");
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .caption(title, ("sans-serif", 16))
            .x_label_area_size(28)
            .y_label_area_size(40)
            .build_cartesian_2d(0.5..2.0, (1.0..TOP).log_scale())?;
        chart
            .configure_mesh()
            .x_desc("offered load / capacity")
            .y_desc("first token p95 / alone")
            .draw()?;
        for band in 0..BANDS.len() {
            let color = Palette99::pick(band).to_rgba();
            let of = |row: &&crate::report::Row| {
                row.part == "loads" && row.fleet == *fleet && row.policy == *policy && row.long_work
            };
            let points = report.rows.iter().filter(of);
            let points = points.map(|row| {
                let slowdown = row.report.bands[band].slowdown.p95;
                (row.load, slowdown.clamp(1.0, TOP))
            });
            let line = LineSeries::new(points, color.stroke_width(2));
            let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 12, y)], color);
            chart
                .draw_series(line)?
                .label(band_name(band))
                .legend(legend);
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
    }
    root.present()?;
    Ok(())
}

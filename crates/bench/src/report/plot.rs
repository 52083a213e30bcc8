//! Plots goodput and wasted prefill against offered load as SVG.

use std::path::Path;

use plotters::prelude::*;
use snafu::Snafu;
use strum::IntoEnumIterator;

use super::table::scales;
use super::table::series;
use crate::experiment::ExperimentRow;
use crate::experiment::PolicyName;

const WIDTH: u32 = 960;
const HEIGHT: u32 = 400;
const CAPTION_SIZE: u32 = 18;

/// Why a plot could not be drawn.
#[derive(Debug, Snafu)]
#[snafu(display("drawing {path}: {message}"))]
pub struct PlotError {
    path: String,
    message: String,
}

/// Draws `rows` into the SVG file `path`.
pub fn write_plot(rows: &[ExperimentRow], path: &Path) -> Result<(), PlotError> {
    draw(rows, path)
        .map_err(|error| PlotError { path: path.display().to_string(), message: error.to_string() })
}

fn draw(rows: &[ExperimentRow], path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    area.fill(&WHITE)?;
    let halves = area.split_evenly((1, 2));
    let name = rows.first().map(|row| row.summary.workload.as_str()).unwrap_or_default();
    let loads = scales(rows);
    let low = loads.iter().copied().fold(f64::MAX, f64::min);
    let high = loads.iter().copied().fold(low + 0.01, f64::max);
    let charts = [("goodput, % of requests owed", false), ("wasted prefill, % of tokens", true)];
    for (half, (title, wasted)) in halves.iter().zip(charts) {
        let mut chart = ChartBuilder::on(half)
            .caption(format!("{name}: {title}"), ("sans-serif", CAPTION_SIZE))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(44)
            .build_cartesian_2d(low..high, 0.0..100.0)?;
        chart.configure_mesh().x_desc("offered load (1 = the workload's rates)").draw()?;
        for (index, policy) in PolicyName::iter().enumerate() {
            let points = series(rows, policy, wasted);
            if points.is_empty() {
                continue;
            }
            let color = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(points.clone(), color.stroke_width(2)))?
                .label(policy.to_string())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
            chart.draw_series(points.iter().map(|point| Circle::new(*point, 3, color.filled())))?;
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    }
    area.present()?;
    Ok(())
}

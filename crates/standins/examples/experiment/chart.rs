//! Plots the series: one SVG per unit, with logarithmic axes.

use std::collections::BTreeSet;
use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Circle, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};
use plotters::style::Color;

use crate::series::Series;

const PLOT_SIZE: (u32, u32) = (1_000, 640);
/// Minimum drawn value; a logarithmic axis has no zero.
const MIN_VALUE: f64 = 1e-3;

/// Writes the plots to `folder`.
///
/// # Errors
/// A plot can't be drawn or written.
pub(crate) fn write(folder: &Path, measured: &[Series]) -> Result<(), String> {
    let units: BTreeSet<&str> = measured.iter().map(|series| series.unit).collect();
    for unit in units {
        let drawn: Vec<&Series> = measured.iter().filter(|s| s.unit == unit).collect();
        let name = unit.replace([' ', '/'], "-");
        draw(&folder.join(format!("{name}.svg")), unit, &drawn)?;
    }
    Ok(())
}

fn draw(path: &Path, unit: &str, drawn: &[&Series]) -> Result<(), String> {
    let describe = |error: &dyn std::fmt::Display| error.to_string();
    let samples = || drawn.iter().flat_map(|series| &series.samples);
    let axis_max = |values: &mut dyn Iterator<Item = f64>| values.fold(MIN_VALUE, f64::max) * 1.2;
    let sizes = 1.0..axis_max(&mut samples().map(|sample| sample.size));
    let min_value = samples().map(|s| s.value).fold(f64::INFINITY, f64::min);
    let values =
        min_value.max(MIN_VALUE) * 0.8..axis_max(&mut samples().map(|sample| sample.value));
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|e| describe(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(unit, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(sizes.log_scale(), values.log_scale())
        .map_err(|e| describe(&e))?;
    chart
        .configure_mesh()
        .x_desc("size")
        .draw()
        .map_err(|e| describe(&e))?;
    for (index, series) in drawn.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let points = || {
            series
                .samples
                .iter()
                .map(|s| (s.size, s.value.max(MIN_VALUE)))
        };
        chart
            .draw_series(LineSeries::new(points(), colour))
            .map_err(|e| describe(&e))?
            .label(format!("{} over {}", series.name, series.over))
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
        chart
            .draw_series(points().map(|point| Circle::new(point, 3, colour.filled())))
            .map_err(|e| describe(&e))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(plotters::style::BLACK)
        .draw()
        .map_err(|e| describe(&e))?;
    area.present().map_err(|e| describe(&e))
}

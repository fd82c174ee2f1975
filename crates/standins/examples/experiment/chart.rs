//! Plots of the series: one SVG for each unit, both axes logarithmic.

use std::collections::BTreeSet;
use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Circle, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};
use plotters::style::Color;

use crate::series::Series;

const PLOT_SIZE: (u32, u32) = (1_000, 640);
/// Smallest value that is drawn; a logarithmic axis has no zero.
const LEAST: f64 = 1e-3;

/// Writes the plots into `folder`.
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
    let say = |error: &dyn std::fmt::Display| error.to_string();
    let samples = || drawn.iter().flat_map(|series| &series.samples);
    let most = |values: &mut dyn Iterator<Item = f64>| values.fold(LEAST, f64::max) * 1.2;
    let sizes = 1.0..most(&mut samples().map(|sample| sample.size));
    let least = samples().map(|s| s.value).fold(f64::INFINITY, f64::min);
    let values = least.max(LEAST) * 0.8..most(&mut samples().map(|sample| sample.value));
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|e| say(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(unit, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(sizes.log_scale(), values.log_scale())
        .map_err(|e| say(&e))?;
    chart
        .configure_mesh()
        .x_desc("size")
        .draw()
        .map_err(|e| say(&e))?;
    for (index, series) in drawn.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let points = || series.samples.iter().map(|s| (s.size, s.value.max(LEAST)));
        chart
            .draw_series(LineSeries::new(points(), colour))
            .map_err(|e| say(&e))?
            .label(format!("{} over {}", series.name, series.over))
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
        chart
            .draw_series(points().map(|point| Circle::new(point, 3, colour.filled())))
            .map_err(|e| say(&e))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(plotters::style::BLACK)
        .draw()
        .map_err(|e| say(&e))?;
    area.present().map_err(|e| say(&e))
}

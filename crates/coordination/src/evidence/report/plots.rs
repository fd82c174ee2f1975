//! Plots of a report, as SVG.

use std::collections::BTreeMap;
use std::ops::Range;

use plotters::backend::SVGBackend;
use plotters::chart::{ChartBuilder, LabelAreaPosition, SeriesLabelPosition};
use plotters::coord::Shift;
use plotters::drawing::{DrawingArea, IntoDrawingArea};
use plotters::element::{PathElement, Rectangle};
use plotters::series::LineSeries;
use plotters::style::{BLACK, Color, RGBColor, WHITE};

use super::statistics::{Latencies, ReportBucket, ReportStatistics};
use super::{ReportError, seconds_between};
use crate::base::WallTime;
use crate::evidence::record::OutcomeKind;

const SIZE: (u32, u32) = (900, 340);
const LEFT_AREA: u32 = 70;
const BOTTOM_AREA: u32 = 45;
/// Font of all text in a plot.
const FONT: (&str, i32) = ("sans-serif", 15);
/// Ratio of the axis length to the highest value; the legend uses the space above the values.
const HEADROOM: f64 = 1.35;
/// Limit of lines in a plot with a legend; a plot with more lines has none.
const MAX_LEGEND: usize = 12;

/// Colours that most colour-blind readers can distinguish.
const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(230, 159, 0),
    RGBColor(90, 90, 90),
    RGBColor(0, 0, 0),
];

/// A plot with its title and caption.
pub(super) struct ReportPlot {
    /// Heading above the plot.
    pub(super) title: &'static str,
    /// Text below the heading.
    pub(super) caption: String,
    /// SVG document.
    pub(super) svg: String,
}

/// A named line of a plot.
struct PlotLine {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Draws the plots of a report.
pub(super) fn draw(statistics: &ReportStatistics) -> Result<Vec<ReportPlot>, ReportError> {
    let width = std::time::Duration::from_millis(statistics.width()).as_secs_f64();
    let mut plots = vec![ReportPlot {
        title: "Requests",
        caption: format!("Ended and refused requests by outcome, one point per {width} s."),
        svg: line_plot(statistics, "requests", &outcome_lines(statistics))?,
    }];
    if !statistics.refusals.is_empty() {
        plots.push(ReportPlot {
            title: "Refusals by reason",
            caption: "Number of refusals of each kind.".into(),
            svg: bar_plot(statistics)?,
        });
    }
    let revisions = revision_lines(statistics);
    plots.push(ReportPlot {
        title: "Revisions in force",
        caption: "Revision of each daemon over time; daemons whose lines coincide changed at the \
                  same time."
            .into(),
        svg: line_plot(statistics, "revision", &revisions)?,
    });
    for (title, pick) in [
        (
            "Time to the first byte",
            first_byte as fn(&ReportBucket) -> &Latencies,
        ),
        ("Time to the end", total),
    ] {
        plots.push(ReportPlot {
            title,
            caption:
                "Percentiles 50, 95 and 99 of the latency; across a period without requests, the \
                   line connects the values before and after it."
                    .into(),
            svg: line_plot(statistics, "seconds", &latency_lines(statistics, pick))?,
        });
    }
    Ok(plots)
}

fn first_byte(bucket: &ReportBucket) -> &Latencies {
    &bucket.first
}

fn total(bucket: &ReportBucket) -> &Latencies {
    &bucket.total
}

fn start(statistics: &ReportStatistics) -> WallTime {
    let first = statistics.buckets().next().map(|(time, _)| time);
    first.or(statistics.first).unwrap_or_default()
}

fn outcome_lines(statistics: &ReportStatistics) -> Vec<PlotLine> {
    let kinds = [
        OutcomeKind::Complete,
        OutcomeKind::Incomplete,
        OutcomeKind::NotRun,
        OutcomeKind::Unknown,
        OutcomeKind::CallerGone,
    ];
    let seen = kinds
        .into_iter()
        .filter(|kind| statistics.outcomes.contains_key(kind));
    let line = |kind: OutcomeKind| PlotLine {
        name: kind.to_string(),
        points: with_zeros(
            statistics.width(),
            &points(statistics, |bucket| {
                Some(to_coordinate(
                    bucket.outcomes.get(&kind).copied().unwrap_or(0),
                ))
            }),
        ),
    };
    seen.map(line).collect()
}

/// Inserts zeros into periods without records: a straight line across such a period would show
/// requests that did not exist.
fn with_zeros(width: u64, counts: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let width = std::time::Duration::from_millis(width).as_secs_f64();
    let mut filled = Vec::with_capacity(counts.len());
    for (at, count) in counts.iter().copied() {
        if let Some((before, _)) = filled.last().copied()
            && at - before > width * 1.5
        {
            filled.push((before + width, 0.0));
            filled.push((at - width, 0.0));
        }
        filled.push((at, count));
    }
    filled
}

fn latency_lines<F>(statistics: &ReportStatistics, pick: F) -> Vec<PlotLine>
where
    F: Fn(&ReportBucket) -> &Latencies,
{
    let parts = [("p50", 0.50), ("p95", 0.95), ("p99", 0.99)];
    let line = |(name, part): (&str, f64)| PlotLine {
        name: name.into(),
        points: points(statistics, |bucket| pick(bucket).quantile(part)),
    };
    parts.into_iter().map(line).collect()
}

/// Returns one step line per host: a revision stays in force until the next one.
fn revision_lines(statistics: &ReportStatistics) -> Vec<PlotLine> {
    let origin = start(statistics);
    let mut lines: BTreeMap<_, PlotLine> = BTreeMap::new();
    for (time, bucket) in statistics.buckets() {
        let at = seconds_between(origin, time);
        for (host, revision) in &bucket.revisions {
            let line = lines.entry(host.clone()).or_insert_with(|| PlotLine {
                name: host.to_string(),
                points: Vec::new(),
            });
            if let Some((_, before)) = line.points.last().copied() {
                line.points.push((at, before));
            }
            line.points.push((at, to_coordinate(revision.0)));
        }
    }
    let end = seconds_between(origin, statistics.last.unwrap_or_default());
    for line in lines.values_mut() {
        if let Some((_, last)) = line.points.last().copied() {
            line.points.push((end, last));
        }
    }
    lines.into_values().collect()
}

fn points<F>(statistics: &ReportStatistics, value: F) -> Vec<(f64, f64)>
where
    F: Fn(&ReportBucket) -> Option<f64>,
{
    let origin = start(statistics);
    let point = |(time, bucket): (WallTime, &ReportBucket)| {
        Some((seconds_between(origin, time), value(bucket)?))
    };
    statistics.buckets().filter_map(point).collect()
}

/// Converts a count to a coordinate; the precision of `f64` exceeds that of a plot.
fn to_coordinate(count: u64) -> f64 {
    let high = u32::try_from(count >> 32).unwrap_or(u32::MAX);
    let low = u32::try_from(count & 0xFFFF_FFFF).unwrap_or(u32::MAX);
    f64::from(high) * 4_294_967_296.0 + f64::from(low)
}

fn line_plot(
    statistics: &ReportStatistics,
    unit: &str,
    lines: &[PlotLine],
) -> Result<String, ReportError> {
    let all = || lines.iter().flat_map(|line| line.points.iter());
    let highest = all().fold(0.0_f64, |highest, (_, value)| highest.max(*value));
    let end = seconds_between(start(statistics), statistics.last.unwrap_or_default());
    let x_range = 0.0..end.max(1.0);
    let y_range = 0.0..(highest * HEADROOM).max(0.001);
    svg(|area| draw_lines(area, x_range, y_range, unit, lines))
}

fn draw_lines(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    x_range: Range<f64>,
    y_range: Range<f64>,
    unit: &str,
    lines: &[PlotLine],
) -> Result<(), ReportError> {
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .set_label_area_size(LabelAreaPosition::Left, LEFT_AREA)
        .set_label_area_size(LabelAreaPosition::Bottom, BOTTOM_AREA)
        .build_cartesian_2d(x_range, y_range)
        .map_err(failed)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .max_light_lines(0)
        .label_style(FONT)
        .x_desc("seconds from the start")
        .y_desc(unit)
        .draw()
        .map_err(failed)?;
    for (line, colour) in lines.iter().zip(COLOURS.iter().cycle()) {
        let style = colour.stroke_width(2);
        let series = chart
            .draw_series(LineSeries::new(line.points.iter().copied(), style))
            .map_err(failed)?;
        if lines.len() <= MAX_LEGEND {
            series
                .label(line.name.clone())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], style));
        }
    }
    chart
        .configure_series_labels()
        .label_font(FONT)
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.3))
        .draw()
        .map_err(failed)
}

fn bar_plot(statistics: &ReportStatistics) -> Result<String, ReportError> {
    let highest = statistics.refusals.values().copied().max().unwrap_or(0);
    let rows = i32::try_from(statistics.refusals.len()).unwrap_or(i32::MAX);
    let names: Vec<_> = statistics.refusals.keys().cloned().collect();
    svg(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(10)
            .set_label_area_size(LabelAreaPosition::Left, LEFT_AREA * 3)
            .set_label_area_size(LabelAreaPosition::Bottom, BOTTOM_AREA)
            .build_cartesian_2d(0.0..to_coordinate(highest) * 1.05, 0.0..f64::from(rows))
            .map_err(failed)?;
        // The label of a bar is at its middle, half a row above its index.
        let name = |at: &f64| {
            let row = names.iter().enumerate().find(|(row, _)| {
                let row = f64::from(u32::try_from(*row).unwrap_or(u32::MAX));
                (at - row - 0.5).abs() < 0.01
            });
            row.map_or(String::new(), |(_, name)| name.to_string())
        };
        chart
            .configure_mesh()
            .disable_y_mesh()
            .max_light_lines(0)
            .label_style(FONT)
            .y_labels(names.len() * 2 + 1)
            .y_label_formatter(&name)
            .x_desc("refusals")
            .draw()
            .map_err(failed)?;
        let bars = statistics
            .refusals
            .values()
            .zip(0_u32..)
            .map(|(count, row)| {
                let bottom = f64::from(row) + 0.2;
                let corners = [(0.0, bottom), (to_coordinate(*count), bottom + 0.6)];
                Rectangle::new(corners, COLOURS[0].filled())
            });
        chart.draw_series(bars).map_err(failed)?;
        Ok(())
    })
}

fn svg<F>(draw: F) -> Result<String, ReportError>
where
    F: FnOnce(&DrawingArea<SVGBackend<'_>, Shift>) -> Result<(), ReportError>,
{
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        draw(&area)?;
        area.present().map_err(failed)?;
    }
    Ok(text)
}

fn failed<E>(error: E) -> ReportError
where
    E: std::fmt::Display,
{
    ReportError::Plot {
        message: error.to_string(),
    }
}

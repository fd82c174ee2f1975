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
/// Type of all words in a plot.
const FONT: (&str, i32) = ("sans-serif", 15);
/// Room above the highest value, where the legend stands.
const HEADROOM: f64 = 1.35;
/// Hosts beyond this many are drawn without a legend.
const MAX_LEGEND: usize = 12;

/// Colours that stay apart for most colour-blind readers.
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

/// A plot with the words around it.
pub(super) struct ReportPlot {
    /// Title.
    pub(super) title: &'static str,
    /// What to read from it.
    pub(super) note: String,
    /// The picture.
    pub(super) svg: String,
}

/// A line of a plot.
struct PlotLine {
    name: String,
    points: Vec<(f64, f64)>,
}

/// The plots of a report.
pub(super) fn draw(figures: &ReportStatistics) -> Result<Vec<ReportPlot>, ReportError> {
    let width = std::time::Duration::from_millis(figures.width()).as_secs_f64();
    let mut plots = vec![ReportPlot {
        title: "Requests",
        note: format!("Ended and refused requests by outcome, each point {width} s."),
        svg: line_plot(figures, "requests", &outcome_lines(figures))?,
    }];
    if !figures.refusals.is_empty() {
        plots.push(ReportPlot {
            title: "Refusals by reason",
            note: "Number of refusals of each kind.".into(),
            svg: bar_plot(figures)?,
        });
    }
    let revisions = revision_lines(figures);
    plots.push(ReportPlot {
        title: "Revisions in force",
        note: "Revision of each daemon over time; lines that stay together changed together."
            .into(),
        svg: line_plot(figures, "revision", &revisions)?,
    });
    for (title, pick) in [
        (
            "Time to the first byte",
            first as fn(&ReportBucket) -> &Latencies,
        ),
        ("Time to the end", total),
    ] {
        plots.push(ReportPlot {
            title,
            note: "Half, 95 and 99 of 100 requests took no longer; across a pause the line joins \
                   the values before and after it."
                .into(),
            svg: line_plot(figures, "seconds", &latency_lines(figures, pick))?,
        });
    }
    Ok(plots)
}

fn first(bucket: &ReportBucket) -> &Latencies {
    &bucket.first
}

fn total(bucket: &ReportBucket) -> &Latencies {
    &bucket.total
}

fn start(figures: &ReportStatistics) -> WallTime {
    let first = figures.buckets().next().map(|(time, _)| time);
    first.or(figures.first).unwrap_or_default()
}

fn outcome_lines(figures: &ReportStatistics) -> Vec<PlotLine> {
    let kinds = [
        OutcomeKind::Complete,
        OutcomeKind::Incomplete,
        OutcomeKind::NotRun,
        OutcomeKind::Unknown,
        OutcomeKind::CallerGone,
    ];
    let seen = kinds
        .into_iter()
        .filter(|kind| figures.outcomes.contains_key(kind));
    let line = |kind: OutcomeKind| PlotLine {
        name: kind.to_string(),
        points: with_pauses(
            figures.width(),
            &points(figures, |bucket| {
                Some(real(bucket.outcomes.get(&kind).copied().unwrap_or(0)))
            }),
        ),
    };
    seen.map(line).collect()
}

/// Brings counts down to zero where nothing was recorded: a line straight across a pause would show
/// requests that never were.
fn with_pauses(width: u64, counts: &[(f64, f64)]) -> Vec<(f64, f64)> {
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

fn latency_lines<F>(figures: &ReportStatistics, pick: F) -> Vec<PlotLine>
where
    F: Fn(&ReportBucket) -> &Latencies,
{
    let parts = [
        ("50 of 100", 0.50),
        ("95 of 100", 0.95),
        ("99 of 100", 0.99),
    ];
    let line = |(name, part): (&str, f64)| PlotLine {
        name: name.into(),
        points: points(figures, |bucket| pick(bucket).quantile(part)),
    };
    parts.into_iter().map(line).collect()
}

/// Steps: a revision holds until the next one.
fn revision_lines(figures: &ReportStatistics) -> Vec<PlotLine> {
    let origin = start(figures);
    let mut lines: BTreeMap<_, PlotLine> = BTreeMap::new();
    for (time, bucket) in figures.buckets() {
        let at = seconds_between(origin, time);
        for (host, revision) in &bucket.revisions {
            let line = lines.entry(host.clone()).or_insert_with(|| PlotLine {
                name: host.to_string(),
                points: Vec::new(),
            });
            if let Some((_, before)) = line.points.last().copied() {
                line.points.push((at, before));
            }
            line.points.push((at, real(revision.0)));
        }
    }
    let end = seconds_between(origin, figures.last.unwrap_or_default());
    for line in lines.values_mut() {
        if let Some((_, last)) = line.points.last().copied() {
            line.points.push((end, last));
        }
    }
    lines.into_values().collect()
}

fn points<F>(figures: &ReportStatistics, value: F) -> Vec<(f64, f64)>
where
    F: Fn(&ReportBucket) -> Option<f64>,
{
    let origin = start(figures);
    let point = |(time, bucket): (WallTime, &ReportBucket)| {
        Some((seconds_between(origin, time), value(bucket)?))
    };
    figures.buckets().filter_map(point).collect()
}

/// A count as a coordinate; what a plot can show needs no more digits.
fn real(count: u64) -> f64 {
    let high = u32::try_from(count >> 32).unwrap_or(u32::MAX);
    let low = u32::try_from(count & 0xFFFF_FFFF).unwrap_or(u32::MAX);
    f64::from(high) * 4_294_967_296.0 + f64::from(low)
}

fn line_plot(
    figures: &ReportStatistics,
    unit: &str,
    lines: &[PlotLine],
) -> Result<String, ReportError> {
    let all = || lines.iter().flat_map(|line| line.points.iter());
    let highest = all().fold(0.0_f64, |highest, (_, value)| highest.max(*value));
    let end = seconds_between(start(figures), figures.last.unwrap_or_default());
    let across = 0.0..end.max(1.0);
    let up = 0.0..(highest * HEADROOM).max(0.001);
    svg(|area| draw_lines(area, across, up, unit, lines))
}

fn draw_lines(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    across: Range<f64>,
    up: Range<f64>,
    unit: &str,
    lines: &[PlotLine],
) -> Result<(), ReportError> {
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .set_label_area_size(LabelAreaPosition::Left, LEFT_AREA)
        .set_label_area_size(LabelAreaPosition::Bottom, BOTTOM_AREA)
        .build_cartesian_2d(across, up)
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

fn bar_plot(figures: &ReportStatistics) -> Result<String, ReportError> {
    let highest = figures.refusals.values().copied().max().unwrap_or(0);
    let rows = i32::try_from(figures.refusals.len()).unwrap_or(i32::MAX);
    let names: Vec<_> = figures.refusals.keys().cloned().collect();
    svg(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(10)
            .set_label_area_size(LabelAreaPosition::Left, LEFT_AREA * 3)
            .set_label_area_size(LabelAreaPosition::Bottom, BOTTOM_AREA)
            .build_cartesian_2d(0.0..real(highest) * 1.05, 0.0..f64::from(rows))
            .map_err(failed)?;
        // Names stand in the middle of their bars, half a row above whole numbers.
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
        let bars = figures.refusals.values().zip(0_u32..).map(|(count, row)| {
            let bottom = f64::from(row) + 0.2;
            let corners = [(0.0, bottom), (real(*count), bottom + 0.6)];
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

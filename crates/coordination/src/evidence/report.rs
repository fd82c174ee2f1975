//! One self-contained HTML page over an evidence export: what was verified, counted and plotted.

mod plots;
mod statistics;

use std::fmt::Write;

use derive_more::{Display, Error};

use super::chain::SealedRecord;
use super::timeline::format_time;
use super::verify::{VerifyReport, verify};
use crate::base::WallTime;
use statistics::ReportStatistics;

/// Most findings that the page lists; it says how many there are.
const MAX_LISTED: usize = 50;

const STYLE: &str = "body{font:16px/1.5 sans-serif;max-width:60em;margin:2em auto;padding:0 1em;\
color:#1b1b1b;background:#fff}table{border-collapse:collapse}td,th{padding:.2em .8em;\
border-bottom:1px solid #ccc;text-align:left}td.n{text-align:right}svg{max-width:100%;height:auto}\
li.bad{color:#a00}";

/// Why a page can't be made.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ReportError {
    /// The export has no record that can be read.
    #[display("the export has no record that can be read")]
    Empty,
    /// A plot can't be drawn.
    #[display("plot: {message}")]
    Plot {
        /// What the library says.
        message: String,
    },
}

/// The page over the lines of the export `file`. The lines are read twice: to verify and to count.
///
/// # Errors
///
/// If there is nothing to show.
pub fn report_page<'a, I>(file: &str, lines: I) -> Result<String, ReportError>
where
    I: IntoIterator<Item = &'a str> + Clone,
{
    let verified = verify(file, lines.clone(), &[]);
    let mut figures = ReportStatistics::default();
    for line in lines {
        if let Some(sealed) = read(line) {
            figures.add(&sealed.record);
        }
    }
    let (Some(first), Some(last)) = (figures.first, figures.last) else {
        return Err(ReportError::Empty);
    };
    let mut page = String::new();
    let title = format!("Evidence in {}", escaped(file));
    let _ = write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style><h1>{title}</h1><p>{} to {}</p>",
        format_time(first),
        format_time(last)
    );
    push_verification(&mut page, &verified);
    push_tables(&mut page, &figures);
    for plot in plots::draw(&figures)? {
        let _ = write!(
            page,
            "<h2>{}</h2><p>{}</p>{}",
            plot.title, plot.note, plot.svg
        );
    }
    page.push_str("</html>\n");
    Ok(page)
}

/// A record that verification accepts, or one whose text was edited: both are shown, and the
/// findings stand above them.
fn read(line: &str) -> Option<SealedRecord> {
    SealedRecord::inspect(line)
        .ok()
        .map(|inspected| inspected.sealed)
}

fn push_verification(page: &mut String, verified: &VerifyReport) {
    let count = verified.findings.iter().count();
    page.push_str("<h2>Verification</h2>");
    if count == 0 {
        let chains = verified.chains.len();
        let _ = write!(
            page,
            "<p>All {chains} chains are whole, from their start to their head.</p>"
        );
    } else {
        let _ = write!(page, "<p>{count} findings:</p><ul>");
        for finding in verified.findings.iter().take(MAX_LISTED) {
            let _ = write!(
                page,
                "<li class=\"bad\">{}</li>",
                escaped(&finding.to_string())
            );
        }
        page.push_str("</ul>");
    }
    page.push_str("<table><tr><th>Chain</th><th>Records</th><th>Head</th></tr>");
    for chain in &verified.chains {
        let _ = write!(
            page,
            "<tr><td>{}</td><td class=\"n\">{}</td><td><small>{}</small></td></tr>",
            escaped(&chain.head.writer.to_string()),
            chain.records,
            escaped(&chain.head.to_string())
        );
    }
    page.push_str("</table>");
}

fn push_tables(page: &mut String, figures: &ReportStatistics) {
    page.push_str("<h2>Outcomes</h2><table><tr><th>Outcome</th><th>Requests</th></tr>");
    for (outcome, count) in &figures.outcomes {
        let _ = write!(
            page,
            "<tr><td>{outcome}</td><td class=\"n\">{count}</td></tr>"
        );
    }
    let _ = write!(
        page,
        "<tr><td>begun, no end on record</td><td class=\"n\">{}</td></tr></table>",
        figures.open.len()
    );
    let _ = write!(
        page,
        "<p>{} configuration changes accepted, {} refused; {} refusals counted without a record of \
         their own.</p>",
        figures.changes_accepted, figures.changes_refused, figures.omitted
    );
}

/// Text for HTML: names in records come from strangers.
fn escaped(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for letter in text.chars() {
        match letter {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            other => escaped.push(other),
        }
    }
    escaped
}

/// Seconds from `start` to `time`.
fn seconds_between(start: WallTime, time: WallTime) -> f64 {
    std::time::Duration::from_millis(time.0.saturating_sub(start.0)).as_secs_f64()
}

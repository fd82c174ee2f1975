//! Report of an evidence export as one self-contained HTML page: verification, counts and plots.

mod plots;
mod statistics;

use std::fmt::Write;

use derive_more::{Display, Error};

use super::chain::SealedRecord;
use super::timeline::format_time;
use super::verify::{VerifyReport, verify};
use crate::base::WallTime;
use statistics::ReportStatistics;

/// Limit of the findings that the page lists; it always shows their total number.
const MAX_LISTED: usize = 50;

const STYLE: &str = "body{font:16px/1.5 sans-serif;max-width:60em;margin:2em auto;padding:0 1em;\
color:#1b1b1b;background:#fff}table{border-collapse:collapse}td,th{padding:.2em .8em;\
border-bottom:1px solid #ccc;text-align:left}td.n{text-align:right}svg{max-width:100%;height:auto}\
li.bad{color:#a00}";

/// Error in the creation of a report page.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ReportError {
    /// The export contains no readable record.
    #[display("the export has no record that can be read")]
    Empty,
    /// A plot cannot be drawn.
    #[display("plot: {message}")]
    Plot {
        /// Message of the plotting library.
        message: String,
    },
}

/// Creates the page for `lines` of the export `file`. Iterates over the lines twice, to verify and
/// to count.
///
/// # Errors
///
/// [`ReportError::Empty`] if no line is a readable record; [`ReportError::Plot`] if a plot cannot
/// be drawn.
pub fn report_page<'a, I>(file: &str, lines: I) -> Result<String, ReportError>
where
    I: IntoIterator<Item = &'a str> + Clone,
{
    let verified = verify(file, lines.clone(), &[]);
    let mut statistics = ReportStatistics::default();
    for line in lines {
        if let Some(sealed) = decode(line) {
            statistics.add(&sealed.record);
        }
    }
    let (Some(first), Some(last)) = (statistics.first, statistics.last) else {
        return Err(ReportError::Empty);
    };
    let mut page = String::new();
    let title = format!("Evidence in {}", escape(file));
    let _ = write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style><h1>{title}</h1><p>{} to {}</p>",
        format_time(first),
        format_time(last)
    );
    push_verification(&mut page, &verified);
    push_tables(&mut page, &statistics);
    for plot in plots::draw(&statistics)? {
        let _ = write!(
            page,
            "<h2>{}</h2><p>{}</p>{}",
            plot.title, plot.caption, plot.svg
        );
    }
    page.push_str("</html>\n");
    Ok(page)
}

/// Decodes a record, including an edited one: the page counts both, and lists the findings above
/// the counts.
fn decode(line: &str) -> Option<SealedRecord> {
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
            "<p>All {chains} chains are complete, from their start to their head.</p>"
        );
    } else {
        let _ = write!(page, "<p>{count} findings:</p><ul>");
        for finding in verified.findings.iter().take(MAX_LISTED) {
            let _ = write!(
                page,
                "<li class=\"bad\">{}</li>",
                escape(&finding.to_string())
            );
        }
        page.push_str("</ul>");
    }
    page.push_str("<table><tr><th>Chain</th><th>Records</th><th>Head</th></tr>");
    for chain in &verified.chains {
        let _ = write!(
            page,
            "<tr><td>{}</td><td class=\"n\">{}</td><td><small>{}</small></td></tr>",
            escape(&chain.head.writer.to_string()),
            chain.records,
            escape(&chain.head.to_string())
        );
    }
    page.push_str("</table>");
}

fn push_tables(page: &mut String, statistics: &ReportStatistics) {
    page.push_str("<h2>Outcomes</h2><table><tr><th>Outcome</th><th>Requests</th></tr>");
    for (outcome, count) in &statistics.outcomes {
        let _ = write!(
            page,
            "<tr><td>{outcome}</td><td class=\"n\">{count}</td></tr>"
        );
    }
    let _ = write!(
        page,
        "<tr><td>started, end not recorded</td><td class=\"n\">{}</td></tr></table>",
        statistics.open.len()
    );
    let _ = write!(
        page,
        "<p>{} configuration changes accepted, {} refused; {} refusals counted without a record of \
         their own.</p>",
        statistics.changes_accepted, statistics.changes_refused, statistics.omitted
    );
}

/// Escapes text for HTML, because names in records come from untrusted clients.
fn escape(text: &str) -> String {
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

/// Returns the seconds from `start` to `time`; 0 if `time` is earlier.
fn seconds_between(start: WallTime, time: WallTime) -> f64 {
    std::time::Duration::from_millis(time.0.saturating_sub(start.0)).as_secs_f64()
}

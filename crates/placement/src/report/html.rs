//! Rendering of the report as one HTML page with inline SVG plots.

use std::fmt::{self, Write};

use html_escape::encode_text;

use super::{ROWS_MAX, Report, ServiceReport, WindowRow, format_percent, format_time, owner_name};
use crate::objective::to_f64;

/// Width and height of a plot in CSS pixels.
const PLOT: (f64, f64) = (640.0, 120.0);

/// Largest number of points of a plot. If there are more windows, each point shows the greatest
/// value of several consecutive windows.
const POINTS: usize = 320;

const STYLE: &str = "body{font:14px system-ui,sans-serif;margin:2em;max-width:72em}\
table{border-collapse:collapse;margin:1em 0}\
th,td{padding:.2em .7em;text-align:right;border-bottom:1px solid #ccc}\
th:first-child,td:first-child{text-align:left}\
svg{display:block;background:#f7f7f7;margin:.5em 0}\
path{fill:none;stroke:#06c;stroke-width:1.5}rect{fill:#06c}text{font:11px sans-serif}";

pub(super) fn render(report: &Report) -> String {
    let mut page = String::new();
    // Writing to a string cannot fail.
    let _ = write_page(&mut page, report);
    page
}

fn write_page(out: &mut String, report: &Report) -> fmt::Result {
    let title = encode_text(&report.title);
    writeln!(
        out,
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <title>Placement report: {title}</title>\n<style>{STYLE}</style>\n</head>\n<body>\n\
         <h1>Placement report: {title}</h1>"
    )?;
    for service in &report.services {
        write_service(out, service)?;
    }
    writeln!(out, "</body>\n</html>")
}

fn write_service(out: &mut String, service: &ServiceReport) -> fmt::Result {
    let name = encode_text(service.service.as_str());
    let weights = service.weights;
    writeln!(out, "<h2>Service {name}</h2>")?;
    writeln!(
        out,
        "<p>Weights: unavailable {}, churn {}, imbalance {}. Peak over mean {:.3} on average, {:.3} \
         at worst. {} of the keys moved. {:.1} s unavailable.</p>",
        weights.unavailable,
        weights.churn,
        weights.imbalance,
        service.mean_peak(),
        service.worst_peak(),
        format_percent(service.churn()),
        service.unavailable()
    )?;
    writeln!(out, "<h3>Operations: load</h3>")?;
    write_plot(out, "Peak over mean utilization", &service.windows, |w| {
        w.peak
    })?;
    write_share_bars(out, service)?;
    write_domains(out, service)?;
    write_upstreams(out, service)?;
    writeln!(out, "<h3>Customer service: changes of ownership</h3>")?;
    write_plot(out, "Share of the keys that moved", &service.windows, |w| {
        w.churn
    })?;
    write_plot(out, "Seconds unavailable", &service.windows, |w| {
        w.unavailable
    })?;
    write_moves(out, service)?;
    writeln!(out, "<h3>What the objective traded</h3>")?;
    write_trades(out, service)
}

/// Writes a line plot of one value of each window.
fn write_plot<F>(out: &mut String, title: &str, windows: &[WindowRow], value: F) -> fmt::Result
where
    F: Fn(&WindowRow) -> f64,
{
    let group = windows.len().div_ceil(POINTS).max(1);
    let finite = |w: &WindowRow| Some(value(w)).filter(|v| v.is_finite()).unwrap_or(0.0);
    let points = windows.chunks(group);
    let points = points.map(|c| c.iter().map(finite).fold(0.0, f64::max));
    let points: Vec<f64> = points.collect();
    let top = points.iter().copied().fold(0.0, f64::max);
    let scale = if top > 0.0 { top } else { 1.0 };
    let (width, height) = PLOT;
    let step = width / to_f64(points.len().saturating_sub(1).max(1));
    writeln!(
        out,
        "<figure><figcaption>{title}, greatest {top:.4}</figcaption>\n\
         <svg role=\"img\" aria-label=\"{title}\" width=\"{width}\" height=\"{height}\" \
         viewBox=\"0 0 {width} {height}\">"
    )?;
    write!(out, "<path d=\"")?;
    for (i, point) in points.iter().enumerate() {
        let command = if i == 0 { 'M' } else { 'L' };
        let (x, y) = (step * to_f64(i), height - point / scale * (height - 10.0));
        write!(out, "{command}{x:.1} {y:.1}")?;
    }
    writeln!(out, "\"/></svg></figure>")
}

/// Writes a bar chart of the load shares of the upstreams.
fn write_share_bars(out: &mut String, service: &ServiceReport) -> fmt::Result {
    let rows: Vec<_> = service.upstreams.iter().take(ROWS_MAX).collect();
    let top = rows.iter().map(|r| r.share).fold(0.0, f64::max);
    let scale = if top > 0.0 { top } else { 1.0 };
    let (width, height) = (PLOT.0, to_f64(rows.len()) * 16.0);
    writeln!(
        out,
        "<figure><figcaption>Load share by upstream</figcaption>\n\
         <svg role=\"img\" aria-label=\"Load share by upstream\" width=\"{width}\" \
         height=\"{height}\" viewBox=\"0 0 {width} {height}\">"
    )?;
    for (i, row) in rows.iter().enumerate() {
        let y = to_f64(i) * 16.0;
        let length = row.share / scale * (width - 260.0);
        writeln!(
            out,
            "<rect x=\"200\" y=\"{:.0}\" width=\"{length:.1}\" height=\"12\"/>\
             <text x=\"0\" y=\"{:.0}\">{}</text><text x=\"{:.1}\" y=\"{:.0}\">{}</text>",
            y + 2.0,
            y + 12.0,
            encode_text(row.name.as_str()),
            204.0 + length,
            y + 12.0,
            format_percent(row.share)
        )?;
    }
    writeln!(out, "</svg></figure>")
}

fn write_domains(out: &mut String, service: &ServiceReport) -> fmt::Result {
    open_table(
        out,
        &[
            "Failure domain",
            "Upstreams",
            "Load share",
            "Peak share",
            "Unavailable s",
        ],
    )?;
    for row in service.domains.iter().take(ROWS_MAX) {
        write_row(
            out,
            &[
                row.domain.as_str(),
                &row.upstreams.to_string(),
                &format_percent(row.share),
                &format_percent(row.peak),
                &format!("{:.1}", row.unavailable),
            ],
        )?;
    }
    close_table(out, service.domains.len())
}

fn write_upstreams(out: &mut String, service: &ServiceReport) -> fmt::Result {
    open_table(
        out,
        &[
            "Upstream",
            "Domain",
            "State",
            "Shards",
            "Hot keys",
            "Load share",
            "Peak over mean",
            "Gained",
            "Given",
            "Unavailable s",
        ],
    )?;
    for row in service.upstreams.iter().take(ROWS_MAX) {
        write_row(
            out,
            &[
                row.name.as_str(),
                row.domain.as_str(),
                &row.state,
                &row.shards.to_string(),
                &row.hot.to_string(),
                &format_percent(row.share),
                &format!("{:.3}", row.peak),
                &row.gained.to_string(),
                &row.given.to_string(),
                &format!("{:.1}", row.unavailable),
            ],
        )?;
    }
    close_table(out, service.upstreams.len())
}

fn write_moves(out: &mut String, service: &ServiceReport) -> fmt::Result {
    open_table(out, &["Reason", "Moves"])?;
    for row in &service.reasons {
        write_row(out, &[&row.reason.to_string(), &row.moves.to_string()])?;
    }
    close_table(out, 0)?;
    open_table(
        out,
        &["Time", "What", "From", "To", "Reason", "Gain", "Cost"],
    )?;
    for row in service.moves.iter().rev().take(ROWS_MAX) {
        write_row(
            out,
            &[
                &format_time(row.at),
                &row.unit.to_string(),
                owner_name(row.from.as_ref()),
                owner_name(row.to.as_ref()),
                &row.reason.to_string(),
                &format!("{:.5}", row.gain),
                &format!("{:.5}", row.price),
            ],
        )?;
    }
    close_table(out, service.moves.len())
}

fn write_trades(out: &mut String, service: &ServiceReport) -> fmt::Result {
    open_table(
        out,
        &[
            "Time",
            "Imbalance before",
            "after",
            "Unavailable before",
            "after",
            "Churn forced",
            "Churn chosen",
            "Gained",
            "Paid",
        ],
    )?;
    for row in service.trades.iter().rev().take(ROWS_MAX) {
        let figure = |value: f64| format!("{value:.5}");
        write_row(
            out,
            &[
                &format_time(row.at),
                &figure(row.before.imbalance),
                &figure(row.after.imbalance),
                &figure(row.before.unavailable),
                &figure(row.after.unavailable),
                &figure(row.forced),
                &figure(row.chosen),
                &figure(row.gained),
                &figure(row.paid),
            ],
        )?;
    }
    close_table(out, service.trades.len())
}

fn open_table(out: &mut String, heads: &[&str]) -> fmt::Result {
    write!(out, "<table>\n<tr>")?;
    for head in heads {
        write!(out, "<th>{}</th>", encode_text(head))?;
    }
    writeln!(out, "</tr>")
}

fn write_row(out: &mut String, texts: &[&str]) -> fmt::Result {
    write!(out, "<tr>")?;
    for text in texts {
        write!(out, "<td>{}</td>", encode_text(text))?;
    }
    writeln!(out, "</tr>")
}

fn close_table(out: &mut String, rows: usize) -> fmt::Result {
    writeln!(out, "</table>")?;
    match rows.saturating_sub(ROWS_MAX) {
        0 => Ok(()),
        rest => writeln!(out, "<p>and {rest} more, see the JSON report</p>"),
    }
}

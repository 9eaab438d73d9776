//! Rendering of the report as text.

use std::fmt::{self, Write};

use super::{ROWS_MAX, Report, ServiceReport, format_percent, format_time, owner_name};

pub(super) fn render(report: &Report) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write_report(&mut text, report);
    text
}

fn write_report(out: &mut String, report: &Report) -> fmt::Result {
    writeln!(
        out,
        "Placement report: {}",
        report.title.replace(char::is_control, " ")
    )?;
    for service in &report.services {
        writeln!(out)?;
        write_summary(out, service)?;
        write_load(out, service)?;
        write_moves(out, service)?;
        write_trades(out, service)?;
    }
    Ok(())
}

fn write_summary(out: &mut String, service: &ServiceReport) -> fmt::Result {
    let weights = service.weights;
    let first = service
        .windows
        .first()
        .map_or("-".to_owned(), |w| format_time(w.at));
    let last = service
        .windows
        .last()
        .map_or("-".to_owned(), |w| format_time(w.at));
    writeln!(out, "Service {}", service.service)?;
    writeln!(
        out,
        "  windows      {} from {first} to {last}",
        service.windows.len()
    )?;
    writeln!(
        out,
        "  weights      unavailable {}, churn {}, imbalance {}",
        weights.unavailable, weights.churn, weights.imbalance
    )?;
    writeln!(
        out,
        "  peak / mean  {:.3} on average, {:.3} at worst",
        service.mean_peak(),
        service.worst_peak()
    )?;
    writeln!(out, "  keys moved   {}", format_percent(service.churn()))?;
    writeln!(out, "  unavailable  {:.1} s", service.unavailable())
}

fn write_load(out: &mut String, service: &ServiceReport) -> fmt::Result {
    writeln!(out, "\n  Load by failure domain")?;
    writeln!(
        out,
        "  {:<24} upstreams   share    peak  unavailable s",
        "domain"
    )?;
    for row in service.domains.iter().take(ROWS_MAX) {
        writeln!(
            out,
            "  {:<24} {:>9} {:>7} {:>7} {:>14.1}",
            row.domain.as_str(),
            row.upstreams,
            format_percent(row.share),
            format_percent(row.peak),
            row.unavailable
        )?;
    }
    writeln!(out, "\n  Load by upstream")?;
    writeln!(
        out,
        "  {:<24} {:<16} {:<8} shards   hot   share  peak/mean  gained  given  unavailable s",
        "upstream", "domain", "state"
    )?;
    for row in service.upstreams.iter().take(ROWS_MAX) {
        writeln!(
            out,
            "  {:<24} {:<16} {:<8} {:>6} {:>5} {:>7} {:>10.3} {:>7} {:>6} {:>14.1}",
            row.name.as_str(),
            row.domain.as_str(),
            row.state,
            row.shards,
            row.hot,
            format_percent(row.share),
            row.peak,
            row.gained,
            row.given,
            row.unavailable
        )?;
    }
    write_omitted(out, service.upstreams.len())
}

fn write_moves(out: &mut String, service: &ServiceReport) -> fmt::Result {
    writeln!(out, "\n  Moves by reason")?;
    for row in &service.reasons {
        writeln!(out, "  {:>8}  {}", row.moves, row.reason)?;
    }
    writeln!(out, "\n  Changes of ownership, latest first")?;
    for row in service.moves.iter().rev().take(ROWS_MAX) {
        writeln!(
            out,
            "  {}  {}: {} -> {}, {}; gain {:.5}, cost {:.5}",
            format_time(row.at),
            row.unit,
            owner_name(row.from.as_ref()),
            owner_name(row.to.as_ref()),
            row.reason,
            row.gain,
            row.price
        )?;
    }
    write_omitted(out, service.moves.len())
}

fn write_trades(out: &mut String, service: &ServiceReport) -> fmt::Result {
    writeln!(out, "\n  What the objective traded, latest first")?;
    for row in service.trades.iter().rev().take(ROWS_MAX) {
        writeln!(
            out,
            "  {}  imbalance {:.5} -> {:.5}, unavailable {:.5} -> {:.5}, churn {:.5} forced and \
             {:.5} chosen; gained {:.5}, paid {:.5}",
            format_time(row.at),
            row.before.imbalance,
            row.after.imbalance,
            row.before.unavailable,
            row.after.unavailable,
            row.forced,
            row.chosen,
            row.gained,
            row.paid
        )?;
    }
    write_omitted(out, service.trades.len())
}

fn write_omitted(out: &mut String, rows: usize) -> fmt::Result {
    match rows.saturating_sub(ROWS_MAX) {
        0 => Ok(()),
        rest => writeln!(out, "  and {rest} more, see the JSON report"),
    }
}

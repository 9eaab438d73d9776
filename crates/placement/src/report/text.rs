//! The report as text.

use std::fmt::{self, Write};

use super::{ROWS_MAX, Report, ServiceReport, owner, percent, time};

pub(super) fn render(report: &Report) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = write(&mut text, report);
    text
}

fn write(out: &mut String, report: &Report) -> fmt::Result {
    writeln!(
        out,
        "Placement report: {}",
        report.title.replace(char::is_control, " ")
    )?;
    for service in &report.services {
        writeln!(out)?;
        head(out, service)?;
        operations(out, service)?;
        churn(out, service)?;
        trades(out, service)?;
    }
    Ok(())
}

fn head(out: &mut String, service: &ServiceReport) -> fmt::Result {
    let weights = service.weights;
    let first = service
        .windows
        .first()
        .map_or("-".to_owned(), |w| time(w.at));
    let last = service
        .windows
        .last()
        .map_or("-".to_owned(), |w| time(w.at));
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
    writeln!(out, "  keys moved   {}", percent(service.churn()))?;
    writeln!(out, "  unavailable  {:.1} s", service.unavailable())
}

fn operations(out: &mut String, service: &ServiceReport) -> fmt::Result {
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
            percent(row.share),
            percent(row.peak),
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
            percent(row.share),
            row.peak,
            row.gained,
            row.given,
            row.unavailable
        )?;
    }
    more(out, service.upstreams.len())
}

fn churn(out: &mut String, service: &ServiceReport) -> fmt::Result {
    writeln!(out, "\n  Moves by reason")?;
    for row in &service.reasons {
        writeln!(out, "  {:>8}  {}", row.moves, row.reason)?;
    }
    writeln!(out, "\n  Changes of ownership, latest first")?;
    for row in service.moves.iter().rev().take(ROWS_MAX) {
        writeln!(
            out,
            "  {}  {}: {} -> {}, {}; gain {:.5}, cost {:.5}",
            time(row.at),
            row.unit,
            owner(row.from.as_ref()),
            owner(row.to.as_ref()),
            row.reason,
            row.gain,
            row.price
        )?;
    }
    more(out, service.moves.len())
}

fn trades(out: &mut String, service: &ServiceReport) -> fmt::Result {
    writeln!(out, "\n  What the objective traded, latest first")?;
    for row in service.trades.iter().rev().take(ROWS_MAX) {
        writeln!(
            out,
            "  {}  imbalance {:.5} -> {:.5}, unavailable {:.5} -> {:.5}, churn {:.5} forced and \
             {:.5} chosen; gained {:.5}, paid {:.5}",
            time(row.at),
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
    more(out, service.trades.len())
}

fn more(out: &mut String, rows: usize) -> fmt::Result {
    match rows.saturating_sub(ROWS_MAX) {
        0 => Ok(()),
        rest => writeln!(out, "  and {rest} more, see the JSON report"),
    }
}

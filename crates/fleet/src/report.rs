//! Reports on a run: a table of its counters, and plots over time.

use std::fmt::Write;
use std::path::Path;

use plotters::prelude::*;

use crate::record::{Record, Row};

/// A summary of a run, and a table with a row per second.
pub fn table(record: &Record) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{}: {} brokers, {} servers, seed {}: {}",
        record.name,
        record.brokers,
        record.servers,
        record.seed,
        if record.broken.is_empty() { "no rule broken" } else { "RULES BROKEN" }
    );
    let sum = |counter: fn(&Row) -> u32| record.rows.iter().map(counter).sum::<u32>();
    let max = |counter: fn(&Row) -> u32| record.rows.iter().map(counter).max().unwrap_or(0);
    let _ = writeln!(
        text,
        "queries {}: in time {}, late {}, partial {}, refused {}, failed {}, lost {}; median {:.1} ms, 99th {:.1} ms",
        sum(|r| r.offered),
        sum(|r| r.in_time),
        sum(|r| r.late),
        sum(|r| r.partial),
        sum(|r| r.refused),
        sum(|r| r.failed),
        sum(|r| r.lost),
        record.times_ms[0],
        record.times_ms[1],
    );
    let _ = writeln!(
        text,
        "maximum per second: {} calls for the list, {} handshakes at one server, {} open connections at one server; \
         cold server at {:.2} of the load that crashes it; {:.2} attempts per part; harness sent up to {:.0} ms late",
        max(|r| r.list_calls),
        max(|r| r.handshakes_most),
        max(|r| r.open_most),
        record.rows.iter().map(|r| r.strain).fold(0.0, f64::max),
        record.attempts_per_part,
        record.lateness_ms,
    );
    if let Some(at) = record.fault_at {
        let recovery = record
            .full_service_s
            .map_or("not in this run".to_owned(), |seconds| format!("after {seconds:.0} s"));
        let _ = writeln!(
            text,
            "first fault at {at:.1} s, share in time before it {:.3}; full service again: {recovery}",
            record.steady
        );
    }
    text += &upgrades(record);
    text += &drains(record);
    let _ = writeln!(
        text,
        "\n{:>4} {:>7} {:>7} {:>5} {:>7} {:>7} {:>6} {:>5} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>6} {:>6} {:>6} {:>5}",
        "s",
        "offered",
        "in time",
        "late",
        "partial",
        "refused",
        "failed",
        "lost",
        "lists",
        "hands",
        "parts",
        "turned",
        "no end",
        "cold s",
        "strain",
        "cpu s",
        "MB",
        "warn"
    );
    for r in &record.rows {
        let _ = writeln!(
            text,
            "{:>4} {:>7} {:>7} {:>5} {:>7} {:>7} {:>6} {:>5} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7.2} {:>6.2} {:>6.2} {:>6.1} {:>5}",
            r.second,
            r.offered,
            r.in_time,
            r.late,
            r.partial,
            r.refused,
            r.failed,
            r.lost,
            r.list_calls,
            r.handshakes,
            r.parts,
            r.turned_away,
            r.parts_lost,
            r.cold_work,
            r.strain,
            r.cpu,
            r.memory_mb,
            r.warnings
        );
    }
    for broken in record.broken.iter().take(20) {
        let _ = writeln!(text, "BROKEN {:.3} s {}: {}", broken.at, broken.rule, broken.what);
    }
    if record.broken.len() > 20 {
        let _ = writeln!(text, "and {} more", record.broken.len() - 20);
    }
    text
}

/// A line on the duration and cost of upgrades; empty if there were none.
fn upgrades(record: &Record) -> String {
    if record.upgrades.is_empty() {
        return String::new();
    }
    let mut ready: Vec<f64> = record.upgrades.iter().filter_map(|upgrade| upgrade.ready_s).collect();
    ready.sort_by(f64::total_cmp);
    let (median, worst) = (ready.get(ready.len() / 2), ready.last());
    let seconds = |time: Option<&f64>| time.map_or("-".to_owned(), |time| format!("{time:.3} s"));
    format!(
        "upgrades {}: ready {}, median {}, worst {}; old processes killed {}; {}\n",
        record.upgrades.len(),
        ready.len(),
        seconds(median),
        seconds(worst),
        record.upgrades.iter().filter(|upgrade| upgrade.killed).count(),
        costs(record)
    )
}

/// A line on the idle connections left by drains, and their duration and cost; empty if there were none.
fn drains(record: &Record) -> String {
    if record.drains.is_empty() {
        return String::new();
    }
    let back = record.drains.iter().filter_map(|drain| drain.back_s);
    format!(
        "drains {}: idle connections left {}; up again {}, worst {:.3} s; {}\n",
        record.drains.len(),
        record.drains.iter().map(|drain| drain.idle).sum::<usize>(),
        back.clone().count(),
        back.fold(0.0, f64::max),
        costs(record)
    )
}

/// The requests that clients lost in a run.
fn costs(record: &Record) -> String {
    let lost: u32 = record.rows.iter().map(|row| row.lost).sum();
    let closed: u32 = record.rows.iter().map(|row| row.closed).sum();
    let broken = |rule: &str| record.broken.iter().filter(|broken| broken.rule == rule).count();
    format!(
        "requests lost {lost}, of these on reset or closed connections {closed}; refused {}; executed twice {}",
        broken("Refused"),
        broken("Doubled")
    )
}

/// A line of a plot: its colour, and its value in each second.
type Line = (RGBColor, fn(&Row) -> f64);

/// Plots a run over time as SVG: queries, handshakes, calls for the server list, and the load of cold
/// servers.
///
/// # Errors
///
/// When the plot can't be drawn or the file can't be written.
pub fn draw(record: &Record, path: &Path) -> Result<(), String> {
    let message = |error: &dyn std::fmt::Display| error.to_string();
    let area = SVGBackend::new(path, (900, 720)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| message(&e))?;
    let rows: Vec<&Row> = record.rows.iter().filter(|row| row.second >= 0).collect();
    let end = rows.last().map_or(1, |row| row.second + 1) as f64;
    let plots: [(&str, Vec<Line>); 4] = [
        (
            "queries per second: offered (grey), answered completely in time (green), refused (red)",
            vec![
                (RGBColor(150, 150, 150), |r| f64::from(r.offered)),
                (RGBColor(0, 130, 60), |r| f64::from(r.in_time)),
                (RGBColor(200, 30, 30), |r| f64::from(r.refused)),
            ],
        ),
        (
            "handshakes per second: all servers (blue), server with most (violet)",
            vec![
                (RGBColor(30, 80, 200), |r| f64::from(r.handshakes)),
                (RGBColor(150, 30, 170), |r| f64::from(r.handshakes_most)),
            ],
        ),
        (
            "calls for the list per second: all (orange), rejected (red)",
            vec![
                (RGBColor(220, 120, 0), |r| f64::from(r.list_calls)),
                (RGBColor(200, 30, 30), |r| f64::from(r.list_turned_away)),
            ],
        ),
        (
            "highest load of a cold server, as a share of the load that crashes it (black)",
            vec![(RGBColor(0, 0, 0), |r| r.strain)],
        ),
    ];
    for (area, (title, lines)) in area.split_evenly((4, 1)).iter().zip(plots) {
        let max =
            lines.iter().flat_map(|(_, value)| rows.iter().map(|row| value(row))).fold(1.0, f64::max) * 1.1;
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .caption(title, ("sans-serif", 14))
            .x_label_area_size(22)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..end, 0.0..max)
            .map_err(|e| message(&e))?;
        chart.configure_mesh().light_line_style(WHITE).draw().map_err(|e| message(&e))?;
        for (colour, value) in lines {
            let points = rows.iter().map(|row| (row.second as f64 + 0.5, value(row)));
            chart.draw_series(LineSeries::new(points, colour.stroke_width(2))).map_err(|e| message(&e))?;
        }
    }
    area.present().map_err(|e| message(&e))
}

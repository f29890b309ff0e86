//! The HTML report of a run, its charts, and the chart that compares the variants of an experiment.

use crate::run::{summary, write_file, CompletedRun};
use crate::stats::{bootstrap, mean, metric_value};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

const CHART_WIDTH_PX: u32 = 900;
const CHART_HEIGHT_PX: u32 = 300;
const FONT_FAMILY: &str = "sans-serif";
const LABEL_FONT: (&str, u32) = (FONT_FAMILY, 13);
const TITLE_FONT: (&str, u32) = (FONT_FAMILY, 16);
/// Window of the moving means in charts (s); values of single seconds vary too much to be readable.
const SMOOTHING_WINDOW_S: usize = 3;

/// Colours of series that readers with red-green colour blindness can tell apart (Okabe and Ito 2008).
const SERIES_COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(90, 90, 90),
    RGBColor(160, 160, 60),
];

fn series_colour(number: usize) -> RGBColor {
    SERIES_COLOURS[number % SERIES_COLOURS.len()]
}

type ChartArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawResult = Result<(), Box<dyn std::error::Error>>;

fn render_svg(size: (u32, u32), draw: impl FnOnce(&ChartArea) -> DrawResult) -> Result<String, String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        draw(&area).map_err(|e| format!("chart: {e}"))?;
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(text)
}

/// A line chart over the seconds of a scenario, with the times of its faults shaded.
fn line_chart(
    completed: &CompletedRun,
    title: &str,
    unit: &str,
    top: Option<f64>,
    series: &[(&str, Vec<f64>)],
) -> Result<String, String> {
    let seconds = completed.series.len().max(1) as f64;
    let highest = series.iter().flat_map(|(_, v)| v).copied().filter(|v| v.is_finite()).fold(0.0, f64::max);
    let top = top.unwrap_or((highest * 1.1).max(1e-3));
    render_svg((CHART_WIDTH_PX, CHART_HEIGHT_PX), |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, TITLE_FONT)
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..seconds, 0.0..top)?;
        chart.draw_series(completed.schedule.faults.iter().map(|t| {
            let until = (t.until / 1e3).min(seconds);
            Rectangle::new([(t.from / 1e3, 0.0), (until, top)], RGBColor(120, 120, 120).mix(0.13).filled())
        }))?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_desc("second of the day")
            .y_desc(unit)
            .label_style(LABEL_FONT)
            .draw()?;
        for (number, (name, values)) in series.iter().enumerate() {
            let colour = series_colour(number);
            let points = values.iter().enumerate().filter(|(_, v)| v.is_finite());
            let line =
                LineSeries::new(points.map(|(s, v)| (s as f64 + 0.5, v.min(top))), colour.stroke_width(2));
            let drawn = chart.draw_series(line)?.label(*name);
            drawn.legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        if series.len() > 1 && series.len() <= 8 {
            let mut legend = chart.configure_series_labels();
            let legend = legend.background_style(WHITE.mix(0.85)).label_font(LABEL_FONT);
            legend.position(SeriesLabelPosition::UpperLeft).draw()?;
        }
        for (number, t) in completed.schedule.faults.iter().enumerate() {
            let at = (t.from / 1e3, top * (0.97 - 0.07 * (number % 4) as f64));
            chart.draw_series([Text::new(format!("{:?}", t.kind), at, (FONT_FAMILY, 12))])?;
        }
        Ok(())
    })
}

/// A horizontal bar chart of named values.
fn bar_chart(title: &str, unit: &str, values: &[(String, f64)]) -> Result<String, String> {
    let highest = values.iter().map(|(_, v)| *v).fold(0.0, f64::max).max(1.0) * 1.15;
    let height = 60 + 24 * values.len().max(1) as u32;
    render_svg((CHART_WIDTH_PX, height), |area| {
        let area = area.titled(title, TITLE_FONT)?;
        let (width, _) = area.dim_in_pixel();
        for (number, (name, value)) in values.iter().enumerate() {
            let y = 10 + 24 * number as i32;
            let from = 290;
            let until = from + ((f64::from(width) - 390.0) * value / highest) as i32;
            area.draw(&Text::new(name.clone(), (8, y + 3), LABEL_FONT))?;
            area.draw(&Rectangle::new(
                [(from, y), (until.max(from + 1), y + 17)],
                series_colour(0).filled(),
            ))?;
            area.draw(&Text::new(format!("{value:.0} {unit}"), (until + 6, y + 3), LABEL_FONT))?;
        }
        Ok(())
    })
}

/// The moving mean of values of consecutive seconds over a trailing window.
fn moving_mean(values: &[f64], window_s: usize) -> Vec<f64> {
    let mean_up_to = |second: usize| {
        let window = &values[second.saturating_sub(window_s - 1)..=second];
        window.iter().sum::<f64>() / window.len() as f64
    };
    (0..values.len()).map(mean_up_to).collect()
}

/// The charts of a run, as pairs of file name and SVG text.
pub fn charts(completed: &CompletedRun) -> Result<Vec<(&'static str, String)>, String> {
    let series = &completed.series;
    let of =
        |f: &dyn Fn(&roseproxy_emulator::result::Second) -> f64| series.iter().map(f).collect::<Vec<f64>>();
    let (worth, served) = (
        moving_mean(&of(&|x| x.worth), SMOOTHING_WINDOW_S),
        moving_mean(&of(&|x| x.served), SMOOTHING_WINDOW_S),
    );
    let service = served.iter().zip(&worth).map(|(a, b)| if *b > 0.0 { a / b } else { f64::NAN }).collect();
    let (tries, refused) = (
        moving_mean(&of(&|x| x.tries as f64), SMOOTHING_WINDOW_S),
        moving_mean(&of(&|x| x.refused as f64), SMOOTHING_WINDOW_S),
    );
    let refused = refused.iter().zip(&tries).map(|(a, b)| if *b > 0.0 { a / b } else { 0.0 }).collect();
    let idle = of(&|x| x.fleet.idle);
    let service = [("service", service), ("refused of all tries", refused), ("idle cores", idle)];
    let latency = [("p50", of(&|x| x.p50)), ("p99", of(&|x| x.p99))];
    let count = series.iter().map(|x| x.fleet.held.len()).max().unwrap_or(0);
    let names: Vec<String> = (0..count).map(|n| format!("server {n}")).collect();
    let held: Vec<(&str, Vec<f64>)> = (0..count)
        .map(|n| {
            let at =
                |x: &roseproxy_emulator::result::Second| x.fleet.held.get(n).copied().filter(|h| *h >= 0.0);
            (names[n].as_str(), series.iter().map(|x| at(x).unwrap_or(f64::NAN)).collect())
        })
        .collect();
    let causes: Vec<(String, f64)> =
        completed.outcome.refusals.by_cause.iter().map(|(k, v)| (k.clone(), *v as f64)).collect();
    let mut charts = vec![
        (
            "service.svg",
            line_chart(completed, "Service and refusals (mean of 3 s)", "share", Some(1.05), &service)?,
        ),
        (
            "latency.svg",
            line_chart(completed, "Time from the first try to the answer", "ms", None, &latency)?,
        ),
        ("load.svg", line_chart(completed, "Requests held by each server", "requests", None, &held)?),
    ];
    if !causes.is_empty() {
        charts.push((
            "refusals.svg",
            bar_chart(
                "Refused tries: what was behind them, and what the fleet could have done",
                "",
                &causes,
            )?,
        ));
    }
    Ok(charts)
}

/// Escapes text for HTML.
fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn html_table(head: &[&str], rows: &[Vec<String>]) -> String {
    let cells = |cells: &[String], tag: &str| -> String {
        cells.iter().map(|c| format!("<{tag}>{}</{tag}>", escape_html(c))).collect()
    };
    let head: Vec<String> = head.iter().map(ToString::to_string).collect();
    let rows: String = rows.iter().map(|r| format!("<tr>{}</tr>", cells(r, "td"))).collect();
    format!("<table><tr>{}</tr>{rows}</table>", cells(&head, "th"))
}

/// The HTML report of a run, as one self-contained page.
pub fn html_page(completed: &CompletedRun) -> Result<String, String> {
    let outcome = &completed.outcome;
    let parts = |parts: &BTreeMap<String, roseproxy_emulator::result::Part>| -> Vec<Vec<String>> {
        let row = |(name, part): (&String, &roseproxy_emulator::result::Part)| {
            let flows = &part.flows;
            let mut row = vec![name.clone(), format!("{:.3}", part.service)];
            row.extend(
                [flows.asked, flows.served, flows.late, flows.refused, flows.failed].map(|n| n.to_string()),
            );
            row.extend([part.latency.p50, part.latency.p99].map(|n| format!("{n:.0}")));
            row
        };
        parts.iter().map(row).collect()
    };
    let header = ["", "service", "asked", "served", "late", "refused", "failed", "p50 ms", "p99 ms"];
    let faults: Vec<Vec<String>> = completed
        .schedule
        .faults
        .iter()
        .map(|t| {
            let times = [t.from / 1e3, t.until / 1e3, t.size, t.part].map(|v| format!("{v:.2}"));
            [vec![format!("{:?}", t.kind)], times.to_vec()].concat()
        })
        .collect();
    let ends: Vec<Vec<String>> =
        outcome.attempts.by_end.iter().map(|(k, v)| vec![k.clone(), v.to_string()]).collect();
    let mut body = String::new();
    // Writing to a String cannot fail.
    let _ = write!(
        body,
        "<h1>{} <small>seed {}, by {}, {}</small></h1><p>{}</p><pre>{}</pre>",
        escape_html(&outcome.day),
        outcome.seed,
        escape_html(&outcome.strategy),
        if completed.timing.real { "on real sockets" } else { "in virtual time" },
        escape_html(&completed.schedule.scenario.about),
        escape_html(&summary(completed))
    );
    for (_, chart) in charts(completed)? {
        let _ = write!(body, "<figure>{chart}</figure>");
    }
    let _ = write!(body, "<h2>Classes</h2>{}", html_table(&header, &parts(&outcome.classes)));
    let _ = write!(
        body,
        "<h2>Tenants, within their shares</h2>{}",
        html_table(&header, &parts(&outcome.tenants))
    );
    let _ = write!(body, "<h2>Attempts by end</h2>{}", html_table(&["", "attempts"], &ends));
    if !faults.is_empty() {
        let header = ["", "from s", "until s", "size", "part"];
        let _ = write!(body, "<h2>Troubles</h2>{}", html_table(&header, &faults));
    }
    Ok(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title><style>\
         body{{font:15px/1.45 system-ui,sans-serif;max-width:960px;margin:2em auto;padding:0 1em;color:#222}}\
         h1 small{{font-weight:400;color:#666;font-size:.55em}}pre{{background:#f5f5f2;padding:1em;overflow-x:auto}}\
         figure{{margin:1em 0}}svg{{max-width:100%;height:auto}}table{{border-collapse:collapse;margin:.5em 0}}\
         td,th{{padding:.25em .8em;text-align:right;border-bottom:1px solid #ddd}}\
         td:first-child,th:first-child{{text-align:left}}</style><body>{body}</body></html>\n",
        escape_html(&outcome.day)
    ))
}

/// Writes the HTML report and the charts of a run into a folder.
pub fn write_report(completed: &CompletedRun, out: &Path) -> Result<(), String> {
    for (name, chart) in charts(completed)? {
        write_file(&out.join(name), &chart)?;
    }
    write_file(&out.join("report.html"), &html_page(completed)?)
}

/// A bar chart of one metric: a group for each scenario, a bar with confidence interval for each variant.
pub fn comparison_chart(
    name: &str,
    metric: &str,
    variants: &[&str],
    results: &BTreeMap<(String, String), Vec<serde_json::Value>>,
) -> Result<String, String> {
    let mut scenarios: Vec<&String> = results.keys().map(|(scenario, _)| scenario).collect();
    scenarios.dedup();
    let estimates: BTreeMap<(&str, &str), _> = results
        .iter()
        .map(|((scenario, variant), values)| {
            let metric_values: Vec<f64> = values.iter().filter_map(|v| metric_value(v, metric)).collect();
            ((scenario.as_str(), variant.as_str()), bootstrap(&metric_values, mean))
        })
        .collect();
    let top =
        estimates.values().map(|e| if e.high.is_finite() { e.high } else { e.value }).fold(0.0, f64::max)
            * 1.08;
    let group_width = variants.len() as f64 + 1.0;
    let width = (160 + 14 * scenarios.len() as u32 * (variants.len() as u32 + 1)).clamp(700, 2400);
    render_svg((width, 420), |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(format!("{name}: {metric}"), TITLE_FONT)
            .margin(8)
            .x_label_area_size(40)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..group_width * scenarios.len() as f64, 0.0..top.max(1e-6))?;
        let labels = scenarios.clone();
        chart.configure_mesh().disable_x_mesh().x_labels(0).y_desc(metric).label_style(LABEL_FONT).draw()?;
        for (group, scenario) in labels.iter().enumerate() {
            let at = (group as f64 * group_width + 0.3, -top * 0.02);
            chart.draw_series([Text::new((*scenario).clone(), at, (FONT_FAMILY, 12))])?;
        }
        for (bar, variant) in variants.iter().enumerate() {
            let colour = series_colour(bar);
            let bars = scenarios.iter().enumerate().filter_map(|(group, scenario)| {
                let estimate = estimates.get(&(scenario.as_str(), *variant))?;
                let x = group as f64 * group_width + bar as f64 + 0.5;
                Some(Rectangle::new([(x, 0.0), (x + 0.9, estimate.value)], colour.filled()))
            });
            let drawn = chart.draw_series(bars)?.label(*variant);
            drawn.legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
            let whiskers = scenarios.iter().enumerate().filter_map(|(group, scenario)| {
                let estimate = estimates.get(&(scenario.as_str(), *variant))?;
                let x = group as f64 * group_width + bar as f64 + 0.95;
                let (low, high) = (estimate.low.max(0.0), estimate.high.min(top));
                Some(PathElement::new([(x, low), (x, high)], BLACK))
            });
            chart.draw_series(whiskers)?;
        }
        let mut legend = chart.configure_series_labels();
        let legend = legend.background_style(WHITE.mix(0.85)).label_font(LABEL_FONT);
        legend.position(SeriesLabelPosition::LowerRight).border_style(BLACK.mix(0.3)).draw()?;
        Ok(())
    })
}

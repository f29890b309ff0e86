//! What people look at: one page by itself, and its charts.

use crate::run::{summary, write, Played};
use crate::stats::{bootstrap, figure, mean};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

const SIZE: (u32, u32) = (900, 300);
const FONT: (&str, u32) = ("sans-serif", 13);
const TITLE: (&str, u32) = ("sans-serif", 16);

/// Colours for series, told apart also by who sees no red and green (Okabe and Ito 2008).
const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(90, 90, 90),
    RGBColor(160, 160, 60),
];

fn colour(at: usize) -> RGBColor {
    COLOURS[at % COLOURS.len()]
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Drawn = Result<(), Box<dyn std::error::Error>>;

fn svg(size: (u32, u32), draw: impl FnOnce(&Area) -> Drawn) -> Result<String, String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        draw(&area).map_err(|e| format!("chart: {e}"))?;
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(text)
}

/// Lines over the seconds of a day, with its troubles shaded.
fn lines(
    played: &Played,
    title: &str,
    unit: &str,
    top: Option<f64>,
    series: &[(&str, Vec<f64>)],
) -> Result<String, String> {
    let seconds = played.series.len().max(1) as f64;
    let most = series.iter().flat_map(|(_, v)| v).copied().filter(|v| v.is_finite()).fold(0.0, f64::max);
    let top = top.unwrap_or((most * 1.1).max(1e-3));
    svg(SIZE, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, TITLE)
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..seconds, 0.0..top)?;
        chart.draw_series(played.plan.faults.iter().map(|t| {
            let until = (t.until / 1e3).min(seconds);
            Rectangle::new([(t.from / 1e3, 0.0), (until, top)], RGBColor(120, 120, 120).mix(0.13).filled())
        }))?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_desc("second of the day")
            .y_desc(unit)
            .label_style(FONT)
            .draw()?;
        for (number, (name, values)) in series.iter().enumerate() {
            let colour = colour(number);
            let points = values.iter().enumerate().filter(|(_, v)| v.is_finite());
            let line =
                LineSeries::new(points.map(|(s, v)| (s as f64 + 0.5, v.min(top))), colour.stroke_width(2));
            let drawn = chart.draw_series(line)?.label(*name);
            drawn.legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        if series.len() > 1 && series.len() <= 8 {
            let mut legend = chart.configure_series_labels();
            let legend = legend.background_style(WHITE.mix(0.85)).label_font(FONT);
            legend.position(SeriesLabelPosition::UpperLeft).draw()?;
        }
        for (number, t) in played.plan.faults.iter().enumerate() {
            let at = (t.from / 1e3, top * (0.97 - 0.07 * (number % 4) as f64));
            chart.draw_series([Text::new(format!("{:?}", t.kind), at, ("sans-serif", 12))])?;
        }
        Ok(())
    })
}

/// Bars by name.
fn named_bars(title: &str, unit: &str, values: &[(String, f64)]) -> Result<String, String> {
    let most = values.iter().map(|(_, v)| *v).fold(0.0, f64::max).max(1.0) * 1.15;
    let height = 60 + 24 * values.len().max(1) as u32;
    svg((SIZE.0, height), |area| {
        let area = area.titled(title, TITLE)?;
        let (width, _) = area.dim_in_pixel();
        for (number, (name, value)) in values.iter().enumerate() {
            let y = 10 + 24 * number as i32;
            let from = 290;
            let until = from + ((f64::from(width) - 390.0) * value / most) as i32;
            area.draw(&Text::new(name.clone(), (8, y + 3), FONT))?;
            area.draw(&Rectangle::new([(from, y), (until.max(from + 1), y + 17)], colour(0).filled()))?;
            area.draw(&Text::new(format!("{value:.0} {unit}"), (until + 6, y + 3), FONT))?;
        }
        Ok(())
    })
}

/// A moving mean over so many seconds: single seconds jump.
fn smooth(values: &[f64], over: usize) -> Vec<f64> {
    let at = |n: usize| {
        let some = &values[n.saturating_sub(over - 1)..=n];
        some.iter().sum::<f64>() / some.len() as f64
    };
    (0..values.len()).map(at).collect()
}

/// The charts of a play by file name.
pub fn charts(played: &Played) -> Result<Vec<(&'static str, String)>, String> {
    let s = &played.series;
    let of = |f: &dyn Fn(&roseproxy_emulator::result::Second) -> f64| s.iter().map(f).collect::<Vec<f64>>();
    let (worth, served) = (smooth(&of(&|x| x.worth), 3), smooth(&of(&|x| x.served), 3));
    let service = served.iter().zip(&worth).map(|(a, b)| if *b > 0.0 { a / b } else { f64::NAN }).collect();
    let (tries, refused) = (smooth(&of(&|x| x.tries as f64), 3), smooth(&of(&|x| x.refused as f64), 3));
    let refused = refused.iter().zip(&tries).map(|(a, b)| if *b > 0.0 { a / b } else { 0.0 }).collect();
    let idle = of(&|x| x.fleet.idle);
    let service = [("service", service), ("refused of all tries", refused), ("idle cores", idle)];
    let latency = [("p50", of(&|x| x.p50)), ("p99", of(&|x| x.p99))];
    let count = s.iter().map(|x| x.fleet.held.len()).max().unwrap_or(0);
    let names: Vec<String> = (0..count).map(|n| format!("server {n}")).collect();
    let held: Vec<(&str, Vec<f64>)> = (0..count)
        .map(|n| {
            let at =
                |x: &roseproxy_emulator::result::Second| x.fleet.held.get(n).copied().filter(|h| *h >= 0.0);
            (names[n].as_str(), s.iter().map(|x| at(x).unwrap_or(f64::NAN)).collect())
        })
        .collect();
    let causes: Vec<(String, f64)> =
        played.outcome.refusals.by_cause.iter().map(|(k, v)| (k.clone(), *v as f64)).collect();
    let mut charts = vec![
        ("service.svg", lines(played, "Service and refusals (mean of 3 s)", "share", Some(1.05), &service)?),
        ("latency.svg", lines(played, "Time from the first try to the answer", "ms", None, &latency)?),
        ("load.svg", lines(played, "Requests held by each server", "requests", None, &held)?),
    ];
    if !causes.is_empty() {
        charts.push((
            "refusals.svg",
            named_bars(
                "Refused tries: what was behind them, and what the fleet could have done",
                "",
                &causes,
            )?,
        ));
    }
    Ok(charts)
}

/// Text for a page.
fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let cells = |cells: &[String], tag: &str| -> String {
        cells.iter().map(|c| format!("<{tag}>{}</{tag}>", escaped(c))).collect()
    };
    let head: Vec<String> = head.iter().map(ToString::to_string).collect();
    let rows: String = rows.iter().map(|r| format!("<tr>{}</tr>", cells(r, "td"))).collect();
    format!("<table><tr>{}</tr>{rows}</table>", cells(&head, "th"))
}

/// The page of a play, with everything in it.
pub fn page(played: &Played) -> Result<String, String> {
    let o = &played.outcome;
    let parts = |parts: &BTreeMap<String, roseproxy_emulator::result::Part>| -> Vec<Vec<String>> {
        let row = |(name, p): (&String, &roseproxy_emulator::result::Part)| {
            let f = &p.flows;
            let mut row = vec![name.clone(), format!("{:.3}", p.service)];
            row.extend([f.asked, f.served, f.late, f.refused, f.failed].map(|n| n.to_string()));
            row.extend([p.latency.p50, p.latency.p99].map(|n| format!("{n:.0}")));
            row
        };
        parts.iter().map(row).collect()
    };
    let head = ["", "service", "asked", "served", "late", "refused", "failed", "p50 ms", "p99 ms"];
    let troubles: Vec<Vec<String>> = played
        .plan
        .faults
        .iter()
        .map(|t| {
            let times = [t.from / 1e3, t.until / 1e3, t.size, t.part].map(|v| format!("{v:.2}"));
            [vec![format!("{:?}", t.kind)], times.to_vec()].concat()
        })
        .collect();
    let ends: Vec<Vec<String>> =
        o.attempts.by_end.iter().map(|(k, v)| vec![k.clone(), v.to_string()]).collect();
    let mut body = String::new();
    // Writing to a text cannot fail.
    let _ = write!(
        body,
        "<h1>{} <small>seed {}, by {}, {}</small></h1><p>{}</p><pre>{}</pre>",
        escaped(&o.day),
        o.seed,
        escaped(&o.strategy),
        if played.timing.real { "on real sockets" } else { "in virtual time" },
        escaped(&played.plan.scenario.about),
        escaped(&summary(played))
    );
    for (_, chart) in charts(played)? {
        let _ = write!(body, "<figure>{chart}</figure>");
    }
    let _ = write!(body, "<h2>Classes</h2>{}", table(&head, &parts(&o.classes)));
    let _ = write!(body, "<h2>Tenants, within their shares</h2>{}", table(&head, &parts(&o.tenants)));
    let _ = write!(body, "<h2>Attempts by end</h2>{}", table(&["", "attempts"], &ends));
    if !troubles.is_empty() {
        let head = ["", "from s", "until s", "size", "part"];
        let _ = write!(body, "<h2>Troubles</h2>{}", table(&head, &troubles));
    }
    Ok(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title><style>\
         body{{font:15px/1.45 system-ui,sans-serif;max-width:960px;margin:2em auto;padding:0 1em;color:#222}}\
         h1 small{{font-weight:400;color:#666;font-size:.55em}}pre{{background:#f5f5f2;padding:1em;overflow-x:auto}}\
         figure{{margin:1em 0}}svg{{max-width:100%;height:auto}}table{{border-collapse:collapse;margin:.5em 0}}\
         td,th{{padding:.25em .8em;text-align:right;border-bottom:1px solid #ddd}}\
         td:first-child,th:first-child{{text-align:left}}</style><body>{body}</body></html>\n",
        escaped(&o.day)
    ))
}

/// Writes a play's page and charts into its folder.
pub fn report(played: &Played, out: &Path) -> Result<(), String> {
    for (name, chart) in charts(played)? {
        write(&out.join(name), &chart)?;
    }
    write(&out.join("report.html"), &page(played)?)
}

/// An experiment's first metric as bars: a group for each day, a bar for each variant, with its interval.
pub fn bars(
    name: &str,
    metric: &str,
    variants: &[&str],
    figures: &BTreeMap<(String, String), Vec<serde_json::Value>>,
) -> Result<String, String> {
    let mut days: Vec<&String> = figures.keys().map(|(day, _)| day).collect();
    days.dedup();
    let estimates: BTreeMap<(&str, &str), _> = figures
        .iter()
        .map(|((day, variant), values)| {
            let of: Vec<f64> = values.iter().filter_map(|v| figure(v, metric)).collect();
            ((day.as_str(), variant.as_str()), bootstrap(&of, mean))
        })
        .collect();
    let top =
        estimates.values().map(|e| if e.high.is_finite() { e.high } else { e.value }).fold(0.0, f64::max)
            * 1.08;
    let group = variants.len() as f64 + 1.0;
    let width = (160 + 14 * days.len() as u32 * (variants.len() as u32 + 1)).clamp(700, 2400);
    svg((width, 420), |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(format!("{name}: {metric}"), TITLE)
            .margin(8)
            .x_label_area_size(40)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..group * days.len() as f64, 0.0..top.max(1e-6))?;
        let labels = days.clone();
        chart.configure_mesh().disable_x_mesh().x_labels(0).y_desc(metric).label_style(FONT).draw()?;
        for (d, day) in labels.iter().enumerate() {
            let at = (d as f64 * group + 0.3, -top * 0.02);
            chart.draw_series([Text::new((*day).clone(), at, ("sans-serif", 12))])?;
        }
        for (v, variant) in variants.iter().enumerate() {
            let colour = colour(v);
            let bars = days.iter().enumerate().filter_map(|(d, day)| {
                let e = estimates.get(&(day.as_str(), *variant))?;
                let x = d as f64 * group + v as f64 + 0.5;
                Some(Rectangle::new([(x, 0.0), (x + 0.9, e.value)], colour.filled()))
            });
            let drawn = chart.draw_series(bars)?.label(*variant);
            drawn.legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
            let whiskers = days.iter().enumerate().filter_map(|(d, day)| {
                let e = estimates.get(&(day.as_str(), *variant))?;
                let x = d as f64 * group + v as f64 + 0.95;
                let (low, high) = (e.low.max(0.0), e.high.min(top));
                Some(PathElement::new([(x, low), (x, high)], BLACK))
            });
            chart.draw_series(whiskers)?;
        }
        let mut legend = chart.configure_series_labels();
        let legend = legend.background_style(WHITE.mix(0.85)).label_font(FONT);
        legend.position(SeriesLabelPosition::LowerRight).border_style(BLACK.mix(0.3)).draw()?;
        Ok(())
    })
}

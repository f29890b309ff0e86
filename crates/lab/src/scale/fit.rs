//! Least-squares fits of straight lines and power laws.

use serde::Serialize;

/// How a figure grows with a variable.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Increase of the figure per unit of the variable.
    pub slope: f64,
    /// Fitted figure at a variable of 0.
    pub intercept: f64,
    /// Share of the figure's variance that the line explains.
    pub r_squared: f64,
    /// The figure minus the line, at each point.
    pub residuals: Vec<f64>,
    /// Exponent of the power law through the points; `None` unless all figures and variables are positive.
    pub exponent: Option<f64>,
}

/// Slope and intercept of the least-squares line; `None` if the variable does not vary.
fn line(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let n = points.len() as f64;
    let (mean_x, mean_y) =
        (points.iter().map(|p| p.0).sum::<f64>() / n, points.iter().map(|p| p.1).sum::<f64>() / n);
    let variation: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.len() < 2 || variation == 0.0 {
        return None;
    }
    let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / variation;
    Some((slope, mean_y - slope * mean_x))
}

/// Fits points of a variable and a figure; `None` for fewer than two distinct values of the variable.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let (slope, intercept) = line(points)?;
    let residuals: Vec<f64> = points.iter().map(|(x, y)| y - (intercept + slope * x)).collect();
    let mean = points.iter().map(|p| p.1).sum::<f64>() / points.len() as f64;
    let total: f64 = points.iter().map(|(_, y)| (y - mean).powi(2)).sum();
    let unexplained: f64 = residuals.iter().map(|r| r * r).sum();
    let r_squared = if total > 0.0 { 1.0 - unexplained / total } else { 1.0 };
    let positive = points.iter().all(|(x, y)| *x > 0.0 && *y > 0.0);
    let logarithms: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    let exponent = positive.then(|| line(&logarithms)).flatten().map(|(exponent, _)| exponent);
    Some(Fit { slope, intercept, r_squared, residuals, exponent })
}

//! Straight lines and powers through points, by least squares.

use serde::Serialize;

/// How a figure grows with a variable.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// More of the figure for one more of the variable.
    pub slope: f64,
    /// The figure where the variable is 0.
    pub intercept: f64,
    /// Share of the figure's variance that the line explains.
    pub r_squared: f64,
    /// The figure less the line, at each point.
    pub residuals: Vec<f64>,
    /// The exponent of the power through the points; `None` where a figure or the variable is not above 0.
    pub exponent: Option<f64>,
}

/// Slope and intercept of the least squares line; `None` where the variable does not vary.
fn line(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let n = points.len() as f64;
    let (mean_x, mean_y) =
        (points.iter().map(|p| p.0).sum::<f64>() / n, points.iter().map(|p| p.1).sum::<f64>() / n);
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.len() < 2 || spread == 0.0 {
        return None;
    }
    let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
    Some((slope, mean_y - slope * mean_x))
}

/// Fits points of a variable and a figure; `None` for fewer than two values of the variable.
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

//! Fits of straight lines and power laws to measured points, and the median.

/// A straight line fitted by least squares.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct FittedLine {
    /// Change of y per unit of x.
    pub slope: f64,
    /// y at x = 0.
    pub intercept: f64,
    /// Measured minus fitted y, in the order of the points.
    pub residuals: Vec<f64>,
}

impl FittedLine {
    /// Returns the fitted y at `x`.
    pub fn evaluate(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Fits a straight line, or returns `None` if the points have fewer than two different x.
pub fn least_squares(points: &[(f64, f64)]) -> Option<FittedLine> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    if points.len() < 2 || variance <= 0.0 {
        return None;
    }
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let slope = covariance / variance;
    let intercept = mean_y - slope * mean_x;
    let residuals = points.iter().map(|p| p.1 - (intercept + slope * p.0)).collect();
    Some(FittedLine { slope, intercept, residuals })
}

/// Fits the exponent b of y = a x^b by least squares on the logarithms: 1 for a figure proportional to
/// x, 2 for one that grows with its square. Points without a logarithm are left out; `None` if fewer
/// than two remain.
pub fn power_law_exponent(points: &[(f64, f64)]) -> Option<f64> {
    let positive = points.iter().filter(|p| p.0 > 0.0 && p.1 > 0.0);
    let logarithms: Vec<(f64, f64)> = positive.map(|p| (p.0.ln(), p.1.ln())).collect();
    least_squares(&logarithms).map(|line| line.slope)
}

/// Returns the median, or `None` without figures; NaN sorts as the largest.
pub fn median(figures: &[f64]) -> Option<f64> {
    let mut sorted = figures.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    let middle = sorted.len() / 2;
    match sorted.len() {
        0 => None,
        n if n % 2 == 1 => Some(sorted[middle]),
        _ => Some((sorted[middle - 1] + sorted[middle]) / 2.0),
    }
}

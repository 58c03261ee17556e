//! Least-squares fit of a line.

/// Fits `y = base + slope * x` and formats it with its residuals as a row of a table.
pub fn fit_row(name: &str, unit: &str, points: &[(f64, f64)]) -> String {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let covariance = points
        .iter()
        .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
        .sum::<f64>();
    let variance = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    let slope = covariance / variance;
    let base = mean_y - slope * mean_x;
    let residuals = points
        .iter()
        .map(|p| format!("{:+.2}", p.1 - base - slope * p.0));
    let residuals = residuals.collect::<Vec<_>>().join(", ");
    format!("| {name} | {base:.2} | {slope:.4} | {unit} | {residuals} |")
}

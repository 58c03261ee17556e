//! Least-squares line.

/// Fits `y = base + slope * x` and describes it with its residuals.
pub fn describe(name: &str, unit: &str, points: &[(f64, f64)]) -> String {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let above = points
        .iter()
        .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
        .sum::<f64>();
    let below = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    let slope = above / below;
    let base = mean_y - slope * mean_x;
    let residuals = points
        .iter()
        .map(|p| format!("{:+.2}", p.1 - base - slope * p.0));
    let residuals = residuals.collect::<Vec<_>>().join(", ");
    format!("| {name} | {base:.2} | {slope:.4} | {unit} | {residuals} |")
}

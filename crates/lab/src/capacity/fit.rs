//! Straight lines fitted by least squares, and the rows that show them.

/// Head of the printed table.
pub const TABLE_HEAD: &str = "| quantity | size | sizes | measured | constant | slope | residuals |
|---|---|---|---|---|---|---|";

/// Quantity measured at several sizes.
#[derive(Clone, Debug)]
pub struct Series {
    /// What was measured, with its unit.
    pub name: &'static str,
    /// What the size counts.
    pub size: &'static str,
    /// Pairs of size and value.
    pub points: Vec<(f64, f64)>,
}

/// Line `intercept + slope * size`.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Value at size 0.
    pub intercept: f64,
    /// Growth of the value by each unit of the size.
    pub slope: f64,
}

impl Series {
    /// Measures `value` at each size.
    pub fn new<const N: usize>(
        name: &'static str,
        size: &'static str,
        sizes: [usize; N],
        value: impl FnMut(usize) -> f64,
    ) -> Self {
        let values = sizes.map(value);
        let points = sizes.iter().map(|size| *size as f64).zip(values).collect();
        Self { name, size, points }
    }

    /// Line with the least sum of squared distances from the points.
    pub fn line(&self) -> Line {
        let count = self.points.len() as f64;
        let mean_x = self.points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = self.points.iter().map(|point| point.1).sum::<f64>() / count;
        let numerator = |point: &(f64, f64)| (point.0 - mean_x) * (point.1 - mean_y);
        let denominator = |point: &(f64, f64)| (point.0 - mean_x).powi(2);
        let spread = self.points.iter().map(denominator).sum::<f64>();
        assert!(spread > 0.0, "a line needs at least two sizes");
        let slope = self.points.iter().map(numerator).sum::<f64>() / spread;
        Line {
            intercept: mean_y - slope * mean_x,
            slope,
        }
    }

    /// Distance of each point above the line.
    pub fn residuals(&self) -> Vec<f64> {
        let line = self.line();
        let residual = |point: &(f64, f64)| point.1 - line.intercept - line.slope * point.0;
        self.points.iter().map(residual).collect()
    }

    /// Row of the printed table.
    pub fn row(&self) -> String {
        let Line { intercept, slope } = self.line();
        let sizes = join(self.points.iter().map(|point| format!("{}", point.0)));
        let values = join(self.points.iter().map(|point| format!("{:.2}", point.1)));
        let residuals = join(self.residuals().iter().map(|value| format!("{value:+.2}")));
        format!(
            "| {} | {} | {sizes} | {values} | {intercept:.3} | {slope:.5} | {residuals} |",
            self.name, self.size
        )
    }
}

fn join(values: impl Iterator<Item = String>) -> String {
    values.collect::<Vec<_>>().join(", ")
}

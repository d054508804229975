//! Linear fits of measured points.

use std::fmt;

/// A quantity measured at three or more sizes, with a linear fit.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    name: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
    slope: f64,
    intercept: f64,
    max_residual: f64,
}

impl Line {
    /// Fits a line to (size, value) points by least squares.
    pub(crate) fn fit(name: &'static str, unit: &'static str, points: Vec<(f64, f64)>) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_of_squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_of_products: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = sum_of_products / sum_of_squares.max(f64::MIN_POSITIVE);
        let intercept = mean_y - slope * mean_x;
        let max_residual = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).abs() / y.abs().max(f64::MIN_POSITIVE))
            .fold(0.0, f64::max);
        Self {
            name,
            unit,
            points,
            slope,
            intercept,
            max_residual,
        }
    }
}

/// Prints the header of the table.
pub(crate) fn print_header() {
    println!("| quantity | slope | base | unit | largest residue | points |");
    println!("|---|---|---|---|---|---|");
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let points: Vec<String> = self
            .points
            .iter()
            .map(|(x, y)| format!("{x}: {y:.1}"))
            .collect();
        write!(
            f,
            "| {} | {:.3} | {:.1} | {} | {:.0} % | {} |",
            self.name,
            self.slope,
            self.intercept,
            self.unit,
            self.max_residual * 100.0,
            points.join(", ")
        )
    }
}

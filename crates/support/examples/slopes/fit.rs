//! Straight lines through measured points.

use std::fmt;

/// A quantity measured at three sizes or more, with the line through it.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    name: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
    slope: f64,
    base: f64,
    residue: f64,
}

impl Line {
    /// Fits a line by least squares.
    pub(crate) fn fit(name: &'static str, unit: &'static str, points: Vec<(f64, f64)>) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let together: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = together / spread.max(f64::MIN_POSITIVE);
        let base = mean_y - slope * mean_x;
        let residue = points
            .iter()
            .map(|(x, y)| (y - base - slope * x).abs() / y.abs().max(f64::MIN_POSITIVE))
            .fold(0.0, f64::max);
        Self {
            name,
            unit,
            points,
            slope,
            base,
            residue,
        }
    }
}

/// Prints the head of the table.
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
            self.base,
            self.unit,
            self.residue * 100.0,
            points.join(", ")
        )
    }
}

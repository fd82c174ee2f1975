//! Measured series: samples at growing sizes and a fitted line.

use std::fmt::Write;
use std::path::Path;

/// One measured value at one size.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    pub(crate) size: f64,
    pub(crate) value: f64,
}

/// Samples of one cost.
#[derive(Clone, Debug)]
pub(crate) struct Series {
    pub(crate) name: &'static str,
    /// Objects that `size` counts.
    pub(crate) over: &'static str,
    /// Unit of `value`.
    pub(crate) unit: &'static str,
    pub(crate) samples: Vec<Sample>,
}

/// Least-squares line through samples.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FittedLine {
    pub(crate) base: f64,
    /// Growth of the value per unit of `size`.
    pub(crate) slope: f64,
}

impl Series {
    pub(crate) fn new(name: &'static str, over: &'static str, unit: &'static str) -> Self {
        Self {
            name,
            over,
            unit,
            samples: Vec::new(),
        }
    }

    pub(crate) fn add(&mut self, size: usize, value: f64) {
        let size = size as f64;
        self.samples.push(Sample { size, value });
    }

    pub(crate) fn fit(&self) -> FittedLine {
        let count = self.samples.len() as f64;
        let mean = |of: fn(&Sample) -> f64| self.samples.iter().map(of).sum::<f64>() / count;
        let (size, value) = (mean(|s| s.size), mean(|s| s.value));
        let mut covariance = 0.0;
        let mut variance = 0.0;
        for sample in &self.samples {
            covariance += (sample.size - size) * (sample.value - value);
            variance += (sample.size - size).powi(2);
        }
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        FittedLine {
            base: value - slope * size,
            slope,
        }
    }
}

pub(crate) fn print_table(seed: u64, measured: &[Series]) {
    println!("seed {seed}");
    println!(
        "{:<46} {:<10} {:<14} {:>11} {:>12}  samples (size: value)",
        "series", "over", "unit", "base", "slope/1000"
    );
    for series in measured {
        let line = series.fit();
        let samples: Vec<String> = series
            .samples
            .iter()
            .map(|sample| format!("{}: {:.5}", sample.size, sample.value))
            .collect();
        println!(
            "{:<46} {:<10} {:<14} {:>11.4} {:>12.4}  {}",
            series.name,
            series.over,
            series.unit,
            line.base,
            line.slope * 1e3,
            samples.join(", ")
        );
    }
}

pub(crate) fn write_csv(folder: &Path, measured: &[Series]) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|error| error.to_string())?;
    let mut text = String::from("series,over,unit,size,value\n");
    for series in measured {
        for sample in &series.samples {
            let _ = writeln!(
                text,
                "{},{},{},{},{}",
                series.name, series.over, series.unit, sample.size, sample.value
            );
        }
    }
    std::fs::write(folder.join("series.csv"), text).map_err(|error| error.to_string())
}

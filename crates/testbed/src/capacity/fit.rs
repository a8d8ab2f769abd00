//! A straight line through measured points, by ordinary least squares, with the error of its slope.

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};
use statrs::statistics::Statistics;

/// The probability that the true slope lies within [`Fit::slope_error`] of the fitted one.
const CONFIDENCE: f64 = 0.95;
/// With fewer points nothing is left over from which an error could be told.
pub const FEWEST_POINTS: usize = 3;

/// A size, and what was measured at it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

/// `value = intercept + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    pub intercept: f64,
    pub slope: f64,
    /// Half of the 95 % confidence interval of the slope.
    pub slope_error: f64,
}

/// Points through which no line with an error can be laid.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BadPoints {
    pub points: usize,
}

impl std::fmt::Display for BadPoints {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            f,
            "expected {FEWEST_POINTS} points or more at different sizes, got {}",
            self.points
        )
    }
}

impl std::error::Error for BadPoints {}

impl Fit {
    /// Fits a line. The points need at least three sizes.
    pub fn through(points: &[Point]) -> Result<Fit, BadPoints> {
        let bad = BadPoints {
            points: points.len(),
        };
        let sizes: Vec<f64> = points.iter().map(|point| point.size).collect();
        let values: Vec<f64> = points.iter().map(|point| point.value).collect();
        if points.len() < FEWEST_POINTS {
            return Err(bad);
        }
        let size_variance = sizes.as_slice().variance();
        if size_variance <= 0.0 {
            return Err(bad);
        }
        let slope = sizes.as_slice().covariance(values.as_slice()) / size_variance;
        let intercept = values.as_slice().mean() - slope * sizes.as_slice().mean();
        let fit = Fit {
            intercept,
            slope,
            slope_error: 0.0,
        };

        let freedom = points.len() as f64 - 2.0;
        let squares: f64 = points
            .iter()
            .map(|point| (point.value - fit.at(point.size)).powi(2))
            .sum();
        let size_squares = size_variance * (points.len() as f64 - 1.0);
        let standard_error = (squares / freedom / size_squares).sqrt();
        let student = StudentsT::new(0.0, 1.0, freedom).map_err(|_| bad)?;
        let times = student.inverse_cdf(0.5 + CONFIDENCE / 2.0);
        Ok(Fit {
            slope_error: times * standard_error,
            ..fit
        })
    }

    /// The line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

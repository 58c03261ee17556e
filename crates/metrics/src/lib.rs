//! Latency histograms and outcome counters of requests, by client account (`tenant`) and class.
//!
//! Each process records its own [`Histograms`] and exports them as [`Row`]s. A row contains the
//! percentiles and the encoded histogram, so that the rows of several processes can be merged
//! without loss of precision.

mod histograms;
mod row;

pub use histograms::{Histograms, LATENCY_MAX, Outcome, SERIES_MAX};
pub use row::{OTHER, Row, RowError};

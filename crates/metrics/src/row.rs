//! Exported rows.

use derive_more::{Display, Error};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Tenant and class of the row that takes what exceeds the bound on keys.
pub const OTHER: &str = "other";

/// A row could not be merged.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RowError {
    /// The encoded histogram is not hexadecimal.
    #[display("histogram is not hexadecimal; send the row as exported")]
    Hex,
    /// The decoded bytes are no list of values and counts.
    #[display("histogram cannot be decoded; send rows of the same program version")]
    Encoding,
}

/// Measurements of one tenant and class. Latencies are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Tenant.
    pub tenant: String,
    /// Class.
    pub class: String,
    /// Recorded latencies.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Largest latency, at the precision of the histogram.
    pub max: u64,
    /// Requests answered with the target's response.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
    /// Requests cancelled by the caller.
    pub cancelled: u64,
    /// Recorded values with their counts, see `encode`.
    pub histogram: String,
}

/// Bits of a number in each encoded byte; the highest bit marks that more bytes follow.
const GROUP: u32 = 7;

/// Encodes the recorded values as hexadecimal text: per value its distance to the previous value
/// and its count, each as a variable-length number of 7-bit groups, lowest group first.
pub(crate) fn encode(histogram: &Histogram<u64>) -> String {
    let mut bytes = Vec::new();
    let mut previous = 0;
    for step in histogram.iter_recorded() {
        let value = step.value_iterated_to();
        push_number(&mut bytes, value - previous);
        push_number(&mut bytes, step.count_at_value());
        previous = value;
    }
    let digit = |half: u8| char::from_digit(u32::from(half), 16).unwrap_or('0');
    let digits = |b: &u8| [digit(b >> 4), digit(b & 0xf)];
    bytes.iter().flat_map(digits).collect()
}

/// Decodes the text of [`encode`] into values and counts.
pub(crate) fn decode(text: &str) -> Result<Vec<(u64, u64)>, RowError> {
    let bytes = from_hex(text)?;
    let mut rest = bytes.as_slice();
    let mut steps = Vec::new();
    let mut value = 0_u64;
    while !rest.is_empty() {
        let distance = take_number(&mut rest)?;
        let count = take_number(&mut rest)?;
        value = value.checked_add(distance).ok_or(RowError::Encoding)?;
        steps.push((value, count));
    }
    Ok(steps)
}

fn from_hex(text: &str) -> Result<Vec<u8>, RowError> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return Err(RowError::Hex);
    }
    let value = |d: u8| char::from(d).to_digit(16).ok_or(RowError::Hex);
    let byte = |pair: &[u8]| Ok((value(pair[0])? << 4 | value(pair[1])?) as u8);
    digits.chunks_exact(2).map(byte).collect()
}

fn push_number(bytes: &mut Vec<u8>, mut number: u64) {
    while number >= 1 << GROUP {
        bytes.push(number as u8 | 1 << GROUP);
        number >>= GROUP;
    }
    bytes.push(number as u8);
}

fn take_number(rest: &mut &[u8]) -> Result<u64, RowError> {
    let mut number = 0;
    for shift in (0..u64::BITS).step_by(GROUP as usize) {
        let (&byte, tail) = rest.split_first().ok_or(RowError::Encoding)?;
        *rest = tail;
        number |= u64::from(byte & !(1 << GROUP)) << shift;
        if byte < 1 << GROUP {
            return Ok(number);
        }
    }
    Err(RowError::Encoding)
}

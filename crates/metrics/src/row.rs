//! Rows that a process exports, and the text encoding of their histograms.

use derive_more::{Display, Error};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Client account and class of the series that all pairs beyond [`SERIES_MAX`](crate::SERIES_MAX)
/// share.
pub const OTHER: &str = "other";

/// A row could not be merged.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RowError {
    /// The encoded histogram is not hexadecimal text.
    #[display("the encoded histogram is not hexadecimal; fetch the row again")]
    Hex,
    /// The decoded bytes are not a list of values and counts.
    #[display(
        "the encoded histogram cannot be decoded; check that all processes run the same release"
    )]
    Encoding,
}

/// Exported metrics of one client account and class. Latencies are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Client account, or the service for processes that record by service.
    pub tenant: String,
    /// Request class.
    pub class: String,
    /// Number of recorded latencies.
    pub count: u64,
    /// Median latency.
    pub p50: u64,
    /// 90th percentile of the latencies.
    pub p90: u64,
    /// 99th percentile of the latencies.
    pub p99: u64,
    /// Largest latency, at the precision of the histogram.
    pub max: u64,
    /// Requests answered with the target's response.
    pub answered: u64,
    /// Requests refused without running.
    pub refused: u64,
    /// Requests that may have run, without a response.
    pub unknown: u64,
    /// Requests cancelled by the caller.
    pub cancelled: u64,
    /// Recorded latencies with their counts, as `encode` writes them.
    pub histogram: String,
}

/// Bits of a number in each encoded byte. The highest bit tells that more bytes follow.
const GROUP_BITS: u32 = 7;

/// Encodes the recorded values as hexadecimal text: for each value the difference from the previous
/// value and its count, both as variable-length numbers of 7-bit groups, lowest group first.
pub(crate) fn encode(histogram: &Histogram<u64>) -> String {
    let mut bytes = Vec::new();
    let mut previous = 0;
    for entry in histogram.iter_recorded() {
        let value = entry.value_iterated_to();
        write_number(&mut bytes, value - previous);
        write_number(&mut bytes, entry.count_at_value());
        previous = value;
    }
    let digit = |nibble: u8| char::from_digit(u32::from(nibble), 16).unwrap_or('0');
    let digits = |b: &u8| [digit(b >> 4), digit(b & 0xf)];
    bytes.iter().flat_map(digits).collect()
}

/// Decodes text of [`encode`] into values and their counts.
pub(crate) fn decode(text: &str) -> Result<Vec<(u64, u64)>, RowError> {
    let bytes = from_hex(text)?;
    let mut rest = bytes.as_slice();
    let mut values = Vec::new();
    let mut value = 0_u64;
    while !rest.is_empty() {
        let distance = read_number(&mut rest)?;
        let count = read_number(&mut rest)?;
        value = value.checked_add(distance).ok_or(RowError::Encoding)?;
        values.push((value, count));
    }
    Ok(values)
}

fn from_hex(text: &str) -> Result<Vec<u8>, RowError> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return Err(RowError::Hex);
    }
    let value = |digit: u8| char::from(digit).to_digit(16).ok_or(RowError::Hex);
    let byte = |pair: &[u8]| Ok((value(pair[0])? << 4 | value(pair[1])?) as u8);
    digits.chunks_exact(2).map(byte).collect()
}

fn write_number(bytes: &mut Vec<u8>, mut number: u64) {
    while number >= 1 << GROUP_BITS {
        bytes.push(number as u8 | 1 << GROUP_BITS);
        number >>= GROUP_BITS;
    }
    bytes.push(number as u8);
}

fn read_number(rest: &mut &[u8]) -> Result<u64, RowError> {
    let mut number = 0;
    for shift in (0..u64::BITS).step_by(GROUP_BITS as usize) {
        let (&byte, tail) = rest.split_first().ok_or(RowError::Encoding)?;
        *rest = tail;
        number |= u64::from(byte & !(1 << GROUP_BITS)) << shift;
        if byte < 1 << GROUP_BITS {
            return Ok(number);
        }
    }
    Err(RowError::Encoding)
}

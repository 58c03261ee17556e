//! Numbers of the store and of operators. They are exact decimals, as JSON writes them, because no
//! format says how large they get or that they are integers.
//!
//! A value is `0.d1d2d3... * 10^exponent` with a first digit other than zero. Fields in the order
//! exponent, digits compare like the values, once those of negative values are negated.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};

/// Digits of each of the two parts.
const PART_DIGITS: usize = 18;
/// Value of the last digit of the first part, in units of the last digit of the second one.
const PART: u128 = 10_u128.pow(PART_DIGITS as u32);
/// Limit of significant digits. Every integer of 64 bits has at most 20, and a binary floating-point
/// number of 64 bits is identified by 17.
const MAX_DIGITS: usize = 2 * PART_DIGITS;
/// Limit of the absolute exponent. It keeps `rank` in range; larger exponents do not occur in data.
const MAX_EXPONENT: i64 = 1 << 40;
/// Added to an exponent, so that the result is positive.
const EXPONENT_BIAS: i64 = 1 << 41;
/// Integers of up to this many digits are written without an exponent.
const MAX_PLAIN_DIGITS: i64 = 40;
/// Fractions with up to this many zeros after the point are written without an exponent.
const MAX_PLAIN_ZEROS: i64 = 6;

/// Exact decimal number of at most 36 significant digits.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number {
    /// Biased exponent, negated for a negative value; zero for zero.
    rank: i64,
    /// First digits, negated for a negative value.
    high: i64,
    /// Other digits, negated for a negative value.
    low: i64,
}

/// A text is not a number, or not one that can be held.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum NumberError {
    /// The text is not a JSON number.
    #[display("the value is not a number; write it as a JSON number, without quotes")]
    Syntax,
    /// The number has too many significant digits.
    #[display("the number has {digits} significant digits; use at most {MAX_DIGITS}")]
    Digits {
        /// Significant digits.
        digits: usize,
    },
    /// The exponent is out of range.
    #[display("the exponent of the number is out of range; use one within ±{MAX_EXPONENT}")]
    Exponent,
}

impl Number {
    /// Zero.
    pub const ZERO: Self = Self {
        rank: 0,
        high: 0,
        low: 0,
    };

    /// Less than every number that can be read.
    pub(crate) const LOWEST: Self = Self {
        rank: i64::MIN,
        high: 0,
        low: 0,
    };

    /// Number of an integer.
    pub const fn of(value: u64) -> Self {
        if value == 0 {
            return Self::ZERO;
        }
        let digits = value.ilog10() + 1;
        // At most 20 digits are moved to the left end of 36.
        let aligned = value as u128 * 10_u128.pow(MAX_DIGITS as u32 - digits);
        Self {
            rank: digits as i64 + EXPONENT_BIAS,
            high: (aligned / PART) as i64,
            low: (aligned % PART) as i64,
        }
    }

    /// Integer part, limited to the range of `u64`.
    pub fn saturating_u64(self) -> u64 {
        let exponent = self.rank.saturating_sub(EXPONENT_BIAS);
        if exponent <= 0 {
            return 0;
        }
        // An integer of more digits than the two parts have exceeds 64 bits.
        let Some(fraction) = (MAX_DIGITS as u32).checked_sub(exponent.min(1 << 16) as u32) else {
            return u64::MAX;
        };
        let (high, low) = (self.high.unsigned_abs(), self.low.unsigned_abs());
        let aligned = u128::from(high) * PART + u128::from(low);
        u64::try_from(aligned / 10_u128.pow(fraction)).unwrap_or(u64::MAX)
    }

    /// Whether this is an integer of at least zero that is written without an exponent.
    pub fn is_plain(self) -> bool {
        let exponent = self.rank.saturating_sub(EXPONENT_BIAS);
        self == Self::ZERO
            || self.rank > 0 && exponent <= MAX_PLAIN_DIGITS && exponent >= length(&self.digits())
    }

    /// Significant digits.
    fn digits(self) -> String {
        let (high, low) = (self.high.unsigned_abs(), self.low.unsigned_abs());
        let digits = format!("{high:018}{low:018}");
        digits.trim_end_matches('0').to_owned()
    }
}

impl From<u64> for Number {
    fn from(value: u64) -> Self {
        Self::of(value)
    }
}

impl FromStr for Number {
    type Err = NumberError;

    /// Reads a JSON number.
    fn from_str(text: &str) -> Result<Self, NumberError> {
        let (is_negative, unsigned) = match text.strip_prefix('-') {
            Some(unsigned) => (true, unsigned),
            None => (false, text),
        };
        let (mantissa, exponent) = match unsigned.split_once(['e', 'E']) {
            Some((mantissa, exponent)) => (mantissa, Some(exponent)),
            None => (unsigned, None),
        };
        let (integer, fraction) = match mantissa.split_once('.') {
            Some((integer, fraction)) => (integer, Some(fraction)),
            None => (mantissa, None),
        };
        let is_integer = is_digits(integer) && (integer == "0" || !integer.starts_with('0'));
        if !is_integer || fraction.is_some_and(|fraction| !is_digits(fraction)) {
            return Err(NumberError::Syntax);
        }
        let shift = exponent.map_or(Ok(0), parse_exponent)?;
        let fraction = fraction.unwrap_or_default();
        let all = format!("{integer}{fraction}");
        let digits = all.trim_start_matches('0');
        // Zeros in front of the first digit lower the exponent, those of the integer part included.
        let zeros = &all[..all.len() - digits.len()];
        let digits = digits.trim_end_matches('0');
        if digits.is_empty() {
            return Ok(Self::ZERO);
        }
        if digits.len() > MAX_DIGITS {
            let digits = digits.len();
            return Err(NumberError::Digits { digits });
        }
        let exponent = length(integer) - length(zeros) + shift;
        if exponent.abs() > MAX_EXPONENT {
            return Err(NumberError::Exponent);
        }
        let aligned = format!("{digits:0<MAX_DIGITS$}");
        let (high, low) = aligned.split_at(PART_DIGITS);
        let part = |part: &str| part.parse::<i64>().ok().ok_or(NumberError::Syntax);
        let sign = if is_negative { -1 } else { 1 };
        Ok(Self {
            rank: sign * (exponent + EXPONENT_BIAS),
            high: sign * part(high)?,
            low: sign * part(low)?,
        })
    }
}

fn length(text: &str) -> i64 {
    i64::try_from(text.len()).unwrap_or(i64::MAX)
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

fn parse_exponent(text: &str) -> Result<i64, NumberError> {
    let unsigned = text.strip_prefix(['+', '-']).unwrap_or(text);
    if !is_digits(unsigned) {
        return Err(NumberError::Syntax);
    }
    let exponent = text.parse().ok();
    exponent
        .filter(|exponent: &i64| exponent.unsigned_abs() <= MAX_EXPONENT as u64)
        .ok_or(NumberError::Exponent)
}

/// Writes a JSON number, the same for equal values.
impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if *self == Self::ZERO {
            return f.write_str("0");
        }
        if *self == Self::LOWEST {
            return f.write_str("none");
        }
        let digits = self.digits();
        let exponent = self.rank.abs() - EXPONENT_BIAS;
        let sign = if self.rank < 0 { "-" } else { "" };
        if (length(&digits)..=MAX_PLAIN_DIGITS).contains(&exponent) {
            write!(f, "{sign}{digits:0<0$}", exponent as usize)
        } else if (1..length(&digits)).contains(&exponent) {
            let (integer, fraction) = digits.split_at(exponent as usize);
            write!(f, "{sign}{integer}.{fraction}")
        } else if (-MAX_PLAIN_ZEROS..=0).contains(&exponent) {
            let zeros = exponent.unsigned_abs() as usize;
            write!(f, "{sign}0.{:0<zeros$}{digits}", "")
        } else {
            let (first, rest) = digits.split_at(1);
            let point = if rest.is_empty() { "" } else { "." };
            write!(f, "{sign}{first}{point}{rest}e{}", exponent - 1)
        }
    }
}

impl fmt::Debug for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

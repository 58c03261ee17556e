//! Conversion of TOML values by type.

use toml::de::DeValue;

/// Name of a value's type for messages.
pub fn type_of(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) => "an integer",
        DeValue::Float(_) => "a float",
        DeValue::Boolean(_) => "a boolean",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}

/// The value, if it is a string.
pub fn text_of(value: &DeValue<'_>) -> Option<String> {
    value.as_str().map(str::to_owned)
}

/// The value, if it is an integer that fits into 64 bits.
pub fn integer_of(value: &DeValue<'_>) -> Option<i64> {
    let integer = value.as_integer()?;
    i64::from_str_radix(integer.as_str(), integer.radix()).ok()
}

/// The value, if it is a boolean.
pub fn boolean_of(value: &DeValue<'_>) -> Option<bool> {
    value.as_bool()
}

/// The value as a float, if it is a float or an integer.
pub fn float_of(value: &DeValue<'_>) -> Option<f64> {
    match value {
        DeValue::Float(float) => float.as_str().parse().ok(),
        _ => integer_of(value).map(|integer| integer as f64),
    }
}

//! Parses durations, sizes and numbers of a settings file.

use std::time::Duration;

const DURATION_UNITS: [(&str, u64); 6] = [
    ("us", 1),
    ("ms", 1_000),
    ("s", 1_000_000),
    ("m", 60_000_000),
    ("h", 3_600_000_000),
    ("d", 86_400_000_000),
];

const SIZE_UNITS: [(&str, u64); 5] = [
    ("", 1),
    ("B", 1),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];

/// Largest number that is accepted in decimal or exponent notation: 2^53, the end of the range in
/// which an `f64` represents every whole number.
const MAX_FRACTION: f64 = 9_007_199_254_740_992.0;

/// Parses a number with a unit from microseconds to days, such as `250ms` or `1.5s`.
pub(super) fn parse_duration(text: &str) -> Option<Duration> {
    parse_scaled(text, &DURATION_UNITS).map(Duration::from_micros)
}

/// Parses a number of bytes with an optional binary unit, such as `64KiB`.
pub(super) fn parse_size(text: &str) -> Option<u64> {
    parse_scaled(text, &SIZE_UNITS)
}

/// Parses a whole number in any notation, such as `3`, `3.0` or `3e0`.
pub(super) fn parse_whole(text: &str) -> Option<u64> {
    if let Ok(whole) = text.parse() {
        return Some(whole);
    }
    let number = parse_decimal(text)?;
    (number.fract() == 0.0).then_some(number as u64)
}

/// Parses a non-negative number and rounds it down.
pub(super) fn parse_rounded_down(text: &str) -> Option<u64> {
    parse_whole(text).or_else(|| Some(parse_decimal(text)?.floor() as u64))
}

fn parse_scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let (number, unit) = text.split_at(number_len(text));
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    if let Ok(whole) = number.parse::<u64>() {
        return whole.checked_mul(*factor);
    }
    let scaled = parse_decimal(number)? * *factor as f64;
    (scaled <= MAX_FRACTION).then_some(scaled.round() as u64)
}

fn parse_decimal(text: &str) -> Option<f64> {
    if text.is_empty() || number_len(text) != text.len() {
        return None;
    }
    let number: f64 = text.parse().ok()?;
    (0.0..=MAX_FRACTION).contains(&number).then_some(number)
}

/// Length in bytes of the number at the start of `text`: digits, a decimal point, an exponent.
fn number_len(text: &str) -> usize {
    let bytes = text.as_bytes();
    let is_digit = |at: usize| bytes.get(at).is_some_and(u8::is_ascii_digit);
    let mut end = 0;
    while is_digit(end) || bytes.get(end) == Some(&b'.') {
        end += 1;
    }
    if !matches!(bytes.get(end), Some(b'e' | b'E')) {
        return end;
    }
    let has_sign = matches!(bytes.get(end + 1), Some(b'+' | b'-'));
    let mut exponent = end + 1 + usize::from(has_sign);
    if !is_digit(exponent) {
        return end;
    }
    while is_digit(exponent) {
        exponent += 1;
    }
    exponent
}

#[cfg(test)]
mod tests;

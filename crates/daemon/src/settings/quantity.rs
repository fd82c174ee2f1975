//! Durations and sizes as people write them.

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

/// A whole number with a unit from microseconds to days, such as `250ms`.
pub(super) fn parse_duration(text: &str) -> Option<Duration> {
    scaled(text, &DURATION_UNITS).map(Duration::from_micros)
}

/// A whole number of bytes, with an optional binary unit, such as `64KiB`.
pub(super) fn parse_size(text: &str) -> Option<u64> {
    scaled(text, &SIZE_UNITS)
}

fn scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text
        .find(|letter: char| !letter.is_ascii_digit())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    number.parse::<u64>().ok()?.checked_mul(*factor)
}

#[cfg(test)]
mod tests {
    use super::{parse_duration, parse_size};

    #[test]
    fn quantities_need_a_known_unit_and_must_not_overflow() {
        let durations = [
            "250ms",
            "2s",
            "5m",
            "12h",
            "30d",
            "7",
            "ms",
            "-1s",
            "99999999999999d",
        ]
        .map(|text| format!("{text}: {:?}", parse_duration(text)));
        let sizes = [
            "512",
            "64KiB",
            "8MiB",
            "1GiB",
            "1KB",
            "",
            "99999999999999GiB",
        ]
        .map(|text| format!("{text}: {:?}", parse_size(text)));
        insta::assert_snapshot!(durations.join("\n"), @"
        250ms: Some(250ms)
        2s: Some(2s)
        5m: Some(300s)
        12h: Some(43200s)
        30d: Some(2592000s)
        7: None
        ms: None
        -1s: None
        99999999999999d: None
        ");
        insta::assert_snapshot!(sizes.join("\n"), @"
        512: Some(512)
        64KiB: Some(65536)
        8MiB: Some(8388608)
        1GiB: Some(1073741824)
        1KB: None
        : None
        99999999999999GiB: None
        ");
    }
}

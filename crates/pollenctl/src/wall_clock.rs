//! Parses and formats wall-clock times in UTC.

use pollendrift_coordination::base::WallTime;

use crate::failure::ToolFailure;

const MS_PER_SECOND: u64 = 1_000;
const SECONDS_PER_DAY: u64 = 86_400;
/// Days from 0000-03-01 to 1970-01-01.
const EPOCH_DAYS: u64 = 719_468;
const DAYS_PER_ERA: u64 = 146_097;

/// Parses `2026-03-01T23:15:00Z`, with an optional fraction of a second, or milliseconds since
/// 1970.
pub(crate) fn parse_time(text: &str) -> Result<WallTime, ToolFailure> {
    if let Ok(ms) = text.parse() {
        return Ok(WallTime(ms));
    }
    parse_utc(text).ok_or_else(|| ToolFailure::Refused {
        reason: format!(
            "invalid time {text}: expected 2026-03-01T23:15:00Z or milliseconds since 1970"
        ),
    })
}

/// Formats a time in UTC with milliseconds.
pub(crate) fn format_time(time: WallTime) -> String {
    let seconds = time.0 / MS_PER_SECOND;
    let (year, month, day) = date_from_days(seconds / SECONDS_PER_DAY);
    let clock = seconds % SECONDS_PER_DAY;
    let (hour, minute, second) = (clock / 3_600, clock / 60 % 60, clock % 60);
    let ms = time.0 % MS_PER_SECOND;
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{ms:03}Z")
}

fn parse_utc(text: &str) -> Option<WallTime> {
    let (date, clock) = text.strip_suffix('Z')?.split_once('T')?;
    let (clock, fraction) = clock.split_once('.').unwrap_or((clock, "0"));
    let [year, month, day] = parse_numbers(date, '-', [4, 2, 2])?;
    let [hour, minute, second] = parse_numbers(clock, ':', [2, 2, 2])?;
    let in_range = year >= 1970 && hour < 24 && minute < 60 && second < 60;
    let digits = fraction.len() <= 9 && fraction.bytes().all(|byte| byte.is_ascii_digit());
    if !in_range || !digits {
        return None;
    }
    let days = days_since_epoch(year, month, day);
    if date_from_days(days) != (year, month, day) {
        return None;
    }
    let ms: u64 = format!("{fraction:0<3}").get(..3)?.parse().ok()?;
    let seconds = days * SECONDS_PER_DAY + hour * 3_600 + minute * 60 + second;
    Some(WallTime(seconds * MS_PER_SECOND + ms))
}

fn parse_numbers(text: &str, separator: char, digits: [usize; 3]) -> Option<[u64; 3]> {
    let parts: Vec<&str> = text.split(separator).collect();
    let [first, second, third] = parts.as_slice() else {
        return None;
    };
    let number = |part: &str, digits: usize| {
        let plain = part.len() == digits && part.bytes().all(|byte| byte.is_ascii_digit());
        part.parse().ok().filter(|_| plain)
    };
    Some([
        number(first, digits[0])?,
        number(second, digits[1])?,
        number(third, digits[2])?,
    ])
}

/// Days from 1970 to a date of the Gregorian calendar. Years start in March here, so that the leap
/// day is the last day of its year.
fn days_since_epoch(year: u64, month: u64, day: u64) -> u64 {
    let year = if month <= 2 { year - 1 } else { year };
    let (era, year_of_era) = (year / 400, year % 400);
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day.saturating_sub(1);
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    (era * DAYS_PER_ERA + day_of_era).saturating_sub(EPOCH_DAYS)
}

fn date_from_days(days: u64) -> (u64, u64, u64) {
    let days = days + EPOCH_DAYS;
    let (era, day_of_era) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let leaps = day_of_era / 1_460;
    let year_of_era = (day_of_era - leaps + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}

#[cfg(test)]
mod tests {
    use pollendrift_coordination::base::WallTime;

    use super::{format_time, parse_time};

    // Guards against wrong leap days, ignored fractions of a second and dates that do not exist.
    #[test]
    fn valid_times_are_parsed_and_formatted_and_invalid_ones_refused() {
        let cases = [
            ("1970-01-01T00:00:00Z", Some(0)),
            ("2000-02-29T12:00:00.5Z", Some(951_825_600_500)),
            ("2026-12-02T23:59:59.123456Z", Some(1_796_255_999_123)),
            ("2100-03-01T00:00:00Z", Some(4_107_542_400_000)),
            ("1700000000000", Some(1_700_000_000_000)),
            ("2100-02-29T00:00:00Z", None),
            ("2026-13-01T00:00:00Z", None),
            ("2026-00-10T00:00:00Z", None),
            ("2026-01-01T24:00:00Z", None),
            ("2026-01-01 10:00", None),
            ("1969-12-31T23:59:59Z", None),
            ("+026-01-01T00:00:00Z", None),
        ];
        for (text, expected) in cases {
            let parsed = parse_time(text).ok();
            assert_eq!(parsed, expected.map(WallTime), "{text}");
        }
        assert_eq!(
            format_time(WallTime(951_825_600_500)),
            "2000-02-29T12:00:00.500Z"
        );
    }
}

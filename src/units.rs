//! Text formats of durations and sizes, such as `250ms` and `64KiB`.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

/// Duration units with their length in milliseconds, longest first.
const DURATION_UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];

/// Size units with their size in bytes, largest first.
const SIZE_UNITS: [(&str, u64); 4] =
    [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

/// Parses a duration such as `250ms`, `3s`, `2m` or `24h`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    parse_with_unit(text, &DURATION_UNITS).map(Duration::from_millis)
}

/// Parses a size such as `512B`, `64KiB`, `8MiB` or `1GiB` and returns it in bytes.
pub fn parse_size(text: &str) -> Option<u64> {
    parse_with_unit(text, &SIZE_UNITS)
}

/// Formats a duration in the largest unit that divides it, truncated to whole milliseconds.
pub fn format_duration(duration: Duration) -> String {
    let milliseconds = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    if milliseconds == 0 {
        "0ms".to_owned()
    } else {
        format_with_unit(milliseconds, &DURATION_UNITS)
    }
}

/// Formats a size in the largest unit that divides it.
pub fn format_size(bytes: u64) -> String {
    if bytes == 0 { "0B".to_owned() } else { format_with_unit(bytes, &SIZE_UNITS) }
}

/// Deserializes a duration; for serde's `deserialize_with`.
pub(crate) fn read_duration<'de, D: Deserializer<'de>>(input: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(input)?;
    parse_duration(&text).ok_or_else(|| serde::de::Error::custom("not a duration"))
}

/// Deserializes a duration, or `off` as `None`; for serde's `deserialize_with`.
pub(crate) fn read_duration_or_off<'de, D>(input: D) -> Result<Option<Duration>, D::Error>
where
    D: Deserializer<'de>,
{
    let text = String::deserialize(input)?;
    if text == "off" {
        return Ok(None);
    }
    parse_duration(&text).map(Some).ok_or_else(|| serde::de::Error::custom("not a duration"))
}

/// Deserializes an optional duration; for serde's `deserialize_with`.
pub(crate) fn read_optional_duration<'de, D>(input: D) -> Result<Option<Duration>, D::Error>
where
    D: Deserializer<'de>,
{
    read_duration(input).map(Some)
}

/// Deserializes a size; for serde's `deserialize_with`.
pub(crate) fn read_size<'de, D: Deserializer<'de>>(input: D) -> Result<u64, D::Error> {
    let text = String::deserialize(input)?;
    parse_size(&text).ok_or_else(|| serde::de::Error::custom("not a size"))
}

fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, suffix) = text.split_at(digits);
    let factor = units.iter().find(|(unit, _)| *unit == suffix)?.1;
    number.parse::<u64>().ok()?.checked_mul(factor)
}

fn format_with_unit(value: u64, units: &[(&str, u64)]) -> String {
    for (unit, factor) in units {
        if value.is_multiple_of(*factor) {
            return format!("{}{unit}", value / factor);
        }
    }
    unreachable!("the smallest unit has factor 1")
}

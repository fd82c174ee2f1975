use super::{parse_duration, parse_rounded_down, parse_size, parse_whole};

fn table<T, F>(texts: &[&str], parse: F) -> String
where
    T: std::fmt::Debug,
    F: Fn(&str) -> Option<T>,
{
    let lines = texts
        .iter()
        .map(|text| format!("{text}: {:?}", parse(text)));
    lines.collect::<Vec<_>>().join("\n")
}

// Guards against a daemon that refuses to start on a valid quantity: platforms write limits as
// fractions or with an exponent.
#[test]
fn quantities_require_a_known_unit_and_must_not_overflow() {
    let durations = [
        "250ms",
        "2s",
        "5m",
        "12h",
        "30d",
        "2.5s",
        "3000.25ms",
        "3e3ms",
        "1E-3s",
        ".5s",
        "7",
        "ms",
        "-1s",
        "2.5.5s",
        "e3ms",
        "infs",
        "99999999999999d",
        "1e300s",
    ];
    insta::assert_snapshot!(table(&durations, parse_duration), @r"
    250ms: Some(250ms)
    2s: Some(2s)
    5m: Some(300s)
    12h: Some(43200s)
    30d: Some(2592000s)
    2.5s: Some(2.5s)
    3000.25ms: Some(3.00025s)
    3e3ms: Some(3s)
    1E-3s: Some(1ms)
    .5s: Some(500ms)
    7: None
    ms: None
    -1s: None
    2.5.5s: None
    e3ms: None
    infs: None
    99999999999999d: None
    1e300s: None
    ");
    let sizes = [
        "512",
        "64KiB",
        "8MiB",
        "1GiB",
        "1.5KiB",
        "1e3",
        "1KB",
        "",
        "99999999999999GiB",
    ];
    insta::assert_snapshot!(table(&sizes, parse_size), @r"
    512: Some(512)
    64KiB: Some(65536)
    8MiB: Some(8388608)
    1GiB: Some(1073741824)
    1.5KiB: Some(1536)
    1e3: Some(1000)
    1KB: None
    : None
    99999999999999GiB: None
    ");
}

// Guards against an effective limit above the written one: a fractional retry limit that is rounded
// up allows one retry too many.
#[test]
fn counts_accept_any_notation_of_a_whole_number_and_limits_are_rounded_down() {
    let texts = [
        "3",
        "3.0",
        "3e0",
        "47.166666666666664",
        "0.9",
        "-1",
        "nan",
        "x",
        "18446744073709551615",
    ];
    insta::assert_snapshot!(table(&texts, parse_whole), @r"
    3: Some(3)
    3.0: Some(3)
    3e0: Some(3)
    47.166666666666664: None
    0.9: None
    -1: None
    nan: None
    x: None
    18446744073709551615: Some(18446744073709551615)
    ");
    insta::assert_snapshot!(table(&texts, parse_rounded_down), @r"
    3: Some(3)
    3.0: Some(3)
    3e0: Some(3)
    47.166666666666664: Some(47)
    0.9: Some(0)
    -1: None
    nan: None
    x: None
    18446744073709551615: Some(18446744073709551615)
    ");
}

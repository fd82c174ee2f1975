use super::dropped_lines_line;

// Guards against a changed format of the line that counts dropped lines: with a renamed field,
// operators' tools would no longer detect gaps in the logs.
#[test]
fn the_line_that_counts_dropped_lines_keeps_its_format() {
    let line = dropped_lines_line(3);
    let (time, rest) = line.split_once(',').expect("a time");
    let digits = time.strip_prefix("{\"t\":").expect("a time");
    assert!(digits.parse::<u64>().is_ok(), "{digits}");
    assert_eq!(
        rest,
        "\"l\":\"warn\",\"m\":\"lines left out\",\"lines\":3}\n"
    );
}

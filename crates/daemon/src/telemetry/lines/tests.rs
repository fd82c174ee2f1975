use super::left_out_line;

// A renamed field of the line that counts lines left out would hide from operators that logs have gaps.
#[test]
fn the_line_about_lines_left_out_keeps_its_form() {
    let line = left_out_line(3);
    let (time, rest) = line.split_once(',').expect("a time");
    let digits = time.strip_prefix("{\"t\":").expect("a time");
    assert!(digits.parse::<u64>().is_ok(), "{digits}");
    assert_eq!(
        rest,
        "\"l\":\"warn\",\"m\":\"lines left out\",\"lines\":3}\n"
    );
}

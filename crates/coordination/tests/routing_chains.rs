//! Completeness check of chains that backend servers run themselves.

use pollendrift_coordination::base::LayerRange;
use pollendrift_coordination::routing::is_complete_chain;

// Guards against tokens generated without some layers of the model. An engine leaves while a chain
// is built, its stage is missing from the list, and no later step detects the gap. Engines do not
// report which layers produced a token, so only the list of stages can be checked.
#[test]
fn a_chain_with_a_gap_an_overlap_or_a_missing_end_is_incomplete() {
    type ChainCase<'a> = (&'a str, &'a [(u32, u32)], u32);
    let cases: [ChainCase<'_>; 8] = [
        ("complete", &[(0, 30), (30, 80)], 80),
        ("one stage", &[(0, 80)], 80),
        ("a stage is missing", &[(0, 17), (27, 80)], 80),
        ("stages overlap", &[(0, 30), (29, 80)], 80),
        ("out of order", &[(30, 80), (0, 30)], 80),
        ("the end is missing", &[(0, 30), (30, 79)], 80),
        ("an empty stage", &[(0, 30), (30, 30), (30, 80)], 80),
        ("no stage", &[], 0),
    ];
    let lines = cases.map(|(name, ranges, layers)| {
        let ranges: Vec<LayerRange> = ranges
            .iter()
            .map(|(first, end)| LayerRange {
                first: *first,
                end: *end,
            })
            .collect();
        format!("{name}: {}", is_complete_chain(&ranges, layers))
    });
    insta::assert_snapshot!(lines.join("\n"), @"
    complete: true
    one stage: true
    a stage is missing: false
    stages overlap: false
    out of order: false
    the end is missing: false
    an empty stage: false
    no stage: false
    ");
}

//! Property tests of the settings decoder: any text is either accepted, or refused with line and
//! column.

use std::path::PathBuf;
use std::sync::Arc;

use pollendrift::settings::DaemonSettings;
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, proptest};

const PAGE: &str = include_str!("../../../docs/operators/settings.md");

/// The example of the settings page: an almost valid text covers more of the decoder.
fn example() -> &'static str {
    let example = PAGE.split("```yaml\n").nth(1).unwrap_or_default();
    example.split("```").next().unwrap_or_default()
}

fn is_accepted_or_refused_with_a_place(text: &str) -> bool {
    let file: Arc<str> = "host.yaml".into();
    match DaemonSettings::parse(&file, PathBuf::new(), text) {
        Ok(loaded) => !loaded.warnings.has_errors(),
        Err(findings) => {
            findings.has_errors() && findings.iter().all(|one| &*one.place.file == "host.yaml")
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against a panic on arbitrary text.
    #[test]
    fn arbitrary_text_is_accepted_or_refused_with_a_place(text in any::<String>()) {
        prop_assert!(is_accepted_or_refused_with_a_place(&text));
    }

    // Guards against a panic on YAML punctuation in any order.
    #[test]
    fn yaml_punctuation_is_accepted_or_refused_with_a_place(text in "[ \\n:{}\\[\\],&*!|>'\"#%@-a0]{0,80}") {
        prop_assert!(is_accepted_or_refused_with_a_place(&text));
    }

    // Guards against a panic on almost valid settings: a random piece of the example is replaced.
    #[test]
    fn a_modified_example_is_accepted_or_refused_with_a_place(at in any::<prop::sample::Index>(), piece in "[ \\n:{}\\[\\],&*-9a.]{0,8}") {
        let mut text = example().to_owned();
        let start = at.index(text.len());
        let end = (start + piece.len()).min(text.len());
        text.replace_range(start..end, &piece);
        prop_assert!(is_accepted_or_refused_with_a_place(&text));
    }
}

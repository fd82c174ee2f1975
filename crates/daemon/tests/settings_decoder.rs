//! The settings decoder takes any text: accepted, or refused with a place.

use std::path::PathBuf;
use std::sync::Arc;

use pollendrift::settings::DaemonSettings;
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, proptest};

const PAGE: &str = include_str!("../../../docs/operators/settings.md");

/// The example of the page: a text that is nearly right reaches more of the decoder.
fn example() -> &'static str {
    let example = PAGE.split("```yaml\n").nth(1).unwrap_or_default();
    example.split("```").next().unwrap_or_default()
}

fn is_read_or_refused_with_a_place(text: &str) -> bool {
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

    #[test]
    fn any_text(text in any::<String>()) {
        prop_assert!(is_read_or_refused_with_a_place(&text));
    }

    #[test]
    fn yaml_marks_in_any_order(text in "[ \\n:{}\\[\\],&*!|>'\"#%@-a0]{0,80}") {
        prop_assert!(is_read_or_refused_with_a_place(&text));
    }

    #[test]
    fn an_example_with_a_piece_replaced(at in any::<prop::sample::Index>(), piece in "[ \\n:{}\\[\\],&*-9a.]{0,8}") {
        let mut text = example().to_owned();
        let start = at.index(text.len());
        let end = (start + piece.len()).min(text.len());
        text.replace_range(start..end, &piece);
        prop_assert!(is_read_or_refused_with_a_place(&text));
    }
}

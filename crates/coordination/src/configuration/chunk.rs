//! Splits a YAML stream into its documents without parsing them.

/// The text of one document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TextChunk<'a> {
    /// Line of the stream on which the chunk starts, counted from 1.
    pub(super) first_line: u32,
    pub(super) text: &'a str,
}

/// Splits at lines that start with a `---` marker. YAML allows such a line nowhere inside a
/// document, not even in a quoted or block scalar.
pub(super) fn split_documents(text: &str) -> Vec<TextChunk<'_>> {
    let mut chunks = Vec::new();
    let mut start = 0;
    let mut first_line = 1;
    let mut offset = 0;
    for (index, line) in text.split_inclusive('\n').enumerate() {
        let number = u32::try_from(index).unwrap_or(u32::MAX).saturating_add(1);
        let after = offset + line.len();
        if let Some(rest) = after_marker(line) {
            push(&mut chunks, first_line, &text[start..offset]);
            let is_bare = rest.trim().is_empty() || rest.trim_start().starts_with('#');
            start = if is_bare { after } else { offset };
            first_line = if is_bare { number + 1 } else { number };
        }
        offset = after;
    }
    push(&mut chunks, first_line, &text[start..]);
    chunks
}

fn push<'a>(chunks: &mut Vec<TextChunk<'a>>, first_line: u32, text: &'a str) {
    if !text.trim().is_empty() {
        chunks.push(TextChunk { first_line, text });
    }
}

/// Text after the `---` marker of a line; `None` if the line starts no document.
fn after_marker(line: &str) -> Option<&str> {
    let rest = line.strip_prefix("---")?;
    (rest.is_empty() || rest.starts_with([' ', '\t', '\r', '\n'])).then_some(rest)
}

#[cfg(test)]
mod tests {
    use super::split_documents;

    // Guards against findings on wrong lines: each chunk states its first line in the stream.
    #[test]
    fn chunks_state_their_first_line() {
        let cases: [(&str, &[(u32, &str)]); 6] = [
            ("", &[]),
            ("---\n---\n", &[]),
            ("a: 1\n---\nb: 2\n", &[(1, "a: 1\n"), (3, "b: 2\n")]),
            (
                "--- # first\na: 1\n--- {b: 2}\n",
                &[(2, "a: 1\n"), (3, "--- {b: 2}\n")],
            ),
            ("a: |\n  ---\n---x: 1\n", &[(1, "a: |\n  ---\n---x: 1\n")]),
            ("a: 1\r\n---\r\nb: 2", &[(1, "a: 1\r\n"), (3, "b: 2")]),
        ];
        for (text, expected) in cases {
            let chunks: Vec<(u32, &str)> = split_documents(text)
                .into_iter()
                .map(|chunk| (chunk.first_line, chunk.text))
                .collect();
            assert_eq!(chunks, expected, "{text:?}");
        }
    }
}

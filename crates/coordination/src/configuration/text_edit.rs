//! A text as pieces of an earlier one.
//!
//! Failure: a published source is one document, and each change of one of its routes carried the whole
//! to every host. Symptom: links between data centres and keepers' memory full of copies that differ by
//! a few hundred bytes each. An edit carries just these. Whoever applies one checks the digest of what
//! comes out.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Ends of the pieces in which texts are compared: objects and lines.
const PIECE_ENDS: [char; 2] = ['}', '\n'];
/// Bytes that a step is taken to need besides its text.
const STEP_BYTES: usize = 16;

/// One step of an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum EditStep {
    /// Bytes of the earlier text, from `start` on.
    Keep { start: usize, len: usize },
    /// New text.
    Insert(Arc<str>),
}

/// Steps that build a text from an earlier one, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TextEdit {
    steps: Vec<EditStep>,
}

impl TextEdit {
    /// The edit that leads from `earlier` to `later`; `None` where it saves less than half.
    pub(super) fn between(earlier: &str, later: &str) -> Option<Self> {
        let places = find_places(earlier);
        let mut edit = Self::default();
        for piece in later.split_inclusive(PIECE_ENDS) {
            match edit.next_place(earlier, piece, &places) {
                Some(start) => edit.keep(start, piece.len()),
                None => edit.insert(piece),
            }
        }
        (edit.bytes() * 2 < later.len()).then_some(edit)
    }

    /// The later text; `None` if `earlier` is not the text that the edit was made from.
    pub(super) fn apply(&self, earlier: &str) -> Option<Arc<str>> {
        let mut text = String::with_capacity(earlier.len());
        for step in &self.steps {
            match step {
                EditStep::Keep { start, len } => {
                    text.push_str(earlier.get(*start..start.checked_add(*len)?)?);
                }
                EditStep::Insert(new) => text.push_str(new),
            }
        }
        Some(text.into())
    }

    /// About how many bytes it needs in a frame or in memory.
    pub(super) fn bytes(&self) -> usize {
        let sizes = self.steps.iter().map(|step| match step {
            EditStep::Keep { .. } => STEP_BYTES,
            EditStep::Insert(new) => STEP_BYTES + new.len(),
        });
        sizes.sum()
    }

    /// Where `piece` stands in the earlier text: best right behind the piece before it.
    fn next_place(
        &self,
        earlier: &str,
        piece: &str,
        places: &HashMap<&str, usize>,
    ) -> Option<usize> {
        if let Some(EditStep::Keep { start, len }) = self.steps.last() {
            let next = start + len;
            let follows = earlier.get(next..next + piece.len()) == Some(piece);
            if follows {
                return Some(next);
            }
        }
        places.get(piece).copied()
    }

    fn keep(&mut self, from: usize, more: usize) {
        if let Some(EditStep::Keep { start, len }) = self.steps.last_mut()
            && *start + *len == from
        {
            *len += more;
            return;
        }
        self.steps.push(EditStep::Keep {
            start: from,
            len: more,
        });
    }

    fn insert(&mut self, piece: &str) {
        if let Some(EditStep::Insert(text)) = self.steps.last_mut() {
            *text = format!("{text}{piece}").into();
            return;
        }
        self.steps.push(EditStep::Insert(piece.into()));
    }
}

/// First place of each piece of a text.
fn find_places(text: &str) -> HashMap<&str, usize> {
    let mut places = HashMap::new();
    let mut start = 0;
    for piece in text.split_inclusive(PIECE_ENDS) {
        places.entry(piece).or_insert(start);
        start += piece.len();
    }
    places
}

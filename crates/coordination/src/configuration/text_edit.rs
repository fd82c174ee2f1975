//! Edits that build a text from pieces of an earlier one.
//!
//! A published source is one text. If each change of a route carried the complete source to every
//! host, copies that differ by a few hundred bytes would fill the links between data centres and the
//! memory of keepers. An edit carries only the differences. Code that applies an edit
//! checks the digest of the result.

use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Characters that end a piece, the unit of comparison: the end of a JSON object or of a line.
const PIECE_ENDS: [char; 2] = ['}', '\n'];
/// Estimated encoding overhead of a step, in bytes.
const STEP_BYTES: usize = 16;

/// One step of an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum EditStep {
    /// Copies `len` bytes of the earlier text, from byte `start` on.
    Keep { start: usize, len: usize },
    /// Inserts new text.
    Insert(Arc<str>),
}

impl EditStep {
    /// Number of bytes that the step adds to the later text.
    fn output_len(&self) -> usize {
        match self {
            Self::Keep { len, .. } => *len,
            Self::Insert(new) => new.len(),
        }
    }
}

/// Steps that build a text from an earlier one, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TextEdit {
    steps: Vec<EditStep>,
}

impl TextEdit {
    /// The edit that leads from `earlier` to `later`; `None` unless it takes less than half the
    /// bytes of `later`.
    pub(super) fn between(earlier: &str, later: &str) -> Option<Self> {
        let offsets = index_pieces(earlier);
        let mut builder = EditBuilder::new(later);
        let mut offset = 0;
        for piece in later.split_inclusive(PIECE_ENDS) {
            match builder.find_piece(earlier, piece, &offsets) {
                Some(start) => builder.keep(start, piece.len()),
                None => builder.insert(offset, offset + piece.len()),
            }
            offset += piece.len();
        }
        builder.finish().if_smaller_than(later)
    }

    /// The edit that leads from the later text back to `earlier`, without comparing the two. `None`
    /// if pieces changed their order, or unless it takes less than half the bytes of `earlier`.
    pub(super) fn inverse(&self, earlier: &str) -> Option<Self> {
        let mut builder = EditBuilder::new(earlier);
        let (mut earlier_offset, mut later_offset) = (0, 0);
        for step in &self.steps {
            match step {
                EditStep::Keep { start, len } => {
                    // A step that goes back in the earlier text would lose the text in between.
                    let is_ahead = earlier_offset <= *start;
                    let end = start.checked_add(*len).filter(|_| is_ahead)?;
                    builder.insert(earlier_offset, *start);
                    builder.keep(later_offset, *len);
                    earlier_offset = end;
                    later_offset += len;
                }
                EditStep::Insert(new) => later_offset += new.len(),
            }
        }
        builder.insert(earlier_offset, earlier.len());
        builder.finish().if_smaller_than(earlier)
    }

    /// The edit that has the effect of this one followed by `next`, without any of the texts; `None` if
    /// `next` refers to bytes that this edit does not produce.
    pub(super) fn then(&self, next: &Self) -> Option<Self> {
        let ends = self.output_ends()?;
        let mut steps = Vec::new();
        for step in &next.steps {
            match step {
                EditStep::Insert(_) => steps.push(step.clone()),
                EditStep::Keep { start, len } => {
                    let end = start.checked_add(*len)?;
                    self.push_output(&ends, *start..end, &mut steps)?;
                }
            }
        }
        Some(Self { steps })
    }

    /// Offset in the later text at which the output of each step ends.
    fn output_ends(&self) -> Option<Vec<usize>> {
        let mut end = 0_usize;
        self.steps
            .iter()
            .map(|step| {
                end = end.checked_add(step.output_len())?;
                Some(end)
            })
            .collect()
    }

    /// Appends the steps that produce `range` of the later text; `None` if it ends outside of the text.
    fn push_output(
        &self,
        ends: &[usize],
        range: Range<usize>,
        steps: &mut Vec<EditStep>,
    ) -> Option<()> {
        let mut offset = range.start;
        let mut index = ends.partition_point(|end| *end <= offset);
        while offset < range.end {
            let (step, step_end) = (self.steps.get(index)?, *ends.get(index)?);
            let skipped = offset - (step_end - step.output_len());
            let len = step_end.min(range.end) - offset;
            steps.push(match step {
                EditStep::Keep { start, .. } => EditStep::Keep {
                    start: start.checked_add(skipped)?,
                    len,
                },
                EditStep::Insert(new) if len == new.len() => step.clone(),
                EditStep::Insert(new) => EditStep::Insert(new.get(skipped..skipped + len)?.into()),
            });
            offset += len;
            index += 1;
        }
        Some(())
    }

    /// Builds the later text; `None` if a step refers to bytes that `earlier` does not contain.
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

    /// Approximate size in a frame or in memory, in bytes.
    pub(super) fn bytes(&self) -> usize {
        let sizes = self.steps.iter().map(|step| match step {
            EditStep::Keep { .. } => STEP_BYTES,
            EditStep::Insert(new) => STEP_BYTES + new.len(),
        });
        sizes.sum()
    }

    fn if_smaller_than(self, text: &str) -> Option<Self> {
        (self.bytes() * 2 < text.len()).then_some(self)
    }
}

/// A step whose new text is a byte range of the later text.
enum BuilderStep {
    Keep { start: usize, len: usize },
    Insert { start: usize, end: usize },
}

/// Builds an edit. It merges adjacent steps of the same kind by extending their ranges:
/// concatenating texts piece by piece took quadratic time for a thousand new routes in a row.
struct EditBuilder<'later> {
    later: &'later str,
    steps: Vec<BuilderStep>,
}

impl<'later> EditBuilder<'later> {
    fn new(later: &'later str) -> Self {
        Self {
            later,
            steps: Vec::new(),
        }
    }

    /// Offset of `piece` in the earlier text, preferably directly after the last kept range.
    fn find_piece(
        &self,
        earlier: &str,
        piece: &str,
        offsets: &HashMap<&str, usize>,
    ) -> Option<usize> {
        if let Some(BuilderStep::Keep { start, len }) = self.steps.last() {
            let next = start + len;
            let follows = earlier.get(next..next + piece.len()) == Some(piece);
            if follows {
                return Some(next);
            }
        }
        offsets.get(piece).copied()
    }

    fn keep(&mut self, from: usize, added: usize) {
        if let Some(BuilderStep::Keep { start, len }) = self.steps.last_mut()
            && *start + *len == from
        {
            *len += added;
            return;
        }
        let (start, len) = (from, added);
        self.steps.push(BuilderStep::Keep { start, len });
    }

    fn insert(&mut self, from: usize, to: usize) {
        if from == to {
            return;
        }
        if let Some(BuilderStep::Insert { end, .. }) = self.steps.last_mut()
            && *end == from
        {
            *end = to;
            return;
        }
        let (start, end) = (from, to);
        self.steps.push(BuilderStep::Insert { start, end });
    }

    fn finish(self) -> TextEdit {
        let steps = self.steps.into_iter().map(|step| match step {
            BuilderStep::Keep { start, len } => EditStep::Keep { start, len },
            BuilderStep::Insert { start, end } => {
                EditStep::Insert(self.later.get(start..end).unwrap_or_default().into())
            }
        });
        TextEdit {
            steps: steps.collect(),
        }
    }
}

/// Byte offset of the first occurrence of each piece of a text.
fn index_pieces(text: &str) -> HashMap<&str, usize> {
    let mut offsets = HashMap::new();
    let mut start = 0;
    for piece in text.split_inclusive(PIECE_ENDS) {
        offsets.entry(piece).or_insert(start);
        start += piece.len();
    }
    offsets
}

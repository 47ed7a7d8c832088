//! Converts byte offsets in a text to line numbers.

/// Byte offsets at which the lines of a text start.
#[derive(Debug)]
pub(super) struct LineIndex {
    line_starts: Vec<usize>,
}

impl LineIndex {
    pub(super) fn new(text: &str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts = std::iter::once(0).chain(breaks.map(|(offset, _)| offset + 1));
        Self {
            line_starts: line_starts.collect(),
        }
    }

    /// Returns the line number, starting at 1, of the byte at `offset`.
    pub(super) fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }
}

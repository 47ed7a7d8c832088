//! Finds the line of a place in a text.

/// Starts of the lines of a text.
#[derive(Debug)]
pub(super) struct LineIndex {
    starts: Vec<usize>,
}

impl LineIndex {
    pub(super) fn new(text: &str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let starts = std::iter::once(0).chain(breaks.map(|(place, _)| place + 1));
        Self {
            starts: starts.collect(),
        }
    }

    /// Returns the line, from 1, of the byte at `place`.
    pub(super) fn line(&self, place: usize) -> usize {
        self.starts.partition_point(|start| *start <= place)
    }
}

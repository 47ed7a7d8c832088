//! Subjects of one request.

use super::{CrashSubject, RequestHash};
use crate::engine::PromptShape;

/// Depth of a whole request, which is more specific than any of its parts.
const REQUEST_DEPTH: u8 = u8::MAX;

/// Subjects of one request: the whole of it, and the shared parts of its prompt.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::crash::RequestSubjects;
/// use teaselglade_routing::engine::PromptShape;
///
/// let prompt = PromptShape::new(900, 40, [(1, 400), (2, 300)]);
/// assert!(RequestSubjects::from(&prompt).request.is_none());
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestSubjects<'a> {
    /// Hash of the whole request, if it is known.
    pub request: Option<RequestHash>,
    /// Prompt of the request, if it has one.
    pub prompt: Option<&'a PromptShape>,
}

impl<'a> RequestSubjects<'a> {
    /// Returns the subjects, each with its depth; deeper ones are more specific.
    pub(super) fn with_depths(self) -> impl Iterator<Item = (CrashSubject, u8)> + use<'a> {
        let parts = self.prompt.into_iter().flat_map(PromptShape::shared_ids);
        let parts = parts.enumerate().map(|(depth, part)| {
            let depth = u8::try_from(depth).unwrap_or(REQUEST_DEPTH - 1);
            (CrashSubject::Part(part), depth.min(REQUEST_DEPTH - 1))
        });
        let request = self.request.map(CrashSubject::Request);
        parts.chain(request.map(|request| (request, REQUEST_DEPTH)))
    }

    /// Returns the subjects.
    pub(super) fn subjects(self) -> impl Iterator<Item = CrashSubject> + use<'a> {
        self.with_depths().map(|(subject, _depth)| subject)
    }
}

impl<'a> From<&'a PromptShape> for RequestSubjects<'a> {
    fn from(prompt: &'a PromptShape) -> Self {
        Self {
            request: None,
            prompt: Some(prompt),
        }
    }
}

impl From<RequestHash> for RequestSubjects<'_> {
    fn from(request: RequestHash) -> Self {
        Self {
            request: Some(request),
            prompt: None,
        }
    }
}

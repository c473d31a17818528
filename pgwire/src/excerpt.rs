//! Excerpts of what a client has sent, for error texts that quote it. A message may have megabytes.

/// Maximum length of a quoted text.
const MAX_QUOTED_BYTES: usize = 64;

/// Returns the beginning of a text that an error quotes.
pub fn excerpt(text: &str) -> &str {
    let mut end = text.len().min(MAX_QUOTED_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

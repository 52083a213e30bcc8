//! Derives a prompt's token count and shared prefix.

use umberglade_wire::caller::ChatMessage;

/// Bytes of text per token, the usual approximation for English text.
const BYTES_PER_TOKEN: usize = 4;

/// The properties of a prompt that the router uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptShape {
    /// Estimated tokens in the whole prompt, at least 1.
    pub tokens: u32,
    /// Digest of the shared prefix (the system messages); 0 if there is none.
    pub prefix_hash: u64,
    /// Estimated tokens in the shared prefix.
    pub prefix_tokens: u32,
    /// Digest of the whole prompt.
    pub digest: u64,
}

/// Estimates the tokens in `text`: a quarter of its bytes, at least 1.
pub fn estimate_tokens(text: &str) -> u32 {
    (text.len().div_ceil(BYTES_PER_TOKEN)).max(1) as u32
}

/// Returns the shape of a chat, whose leading system messages form the shared prefix.
pub fn chat_shape(messages: &[ChatMessage]) -> PromptShape {
    let prefix: String = messages
        .iter()
        .take_while(|message| message.role == "system")
        .map(|message| message.content.as_str())
        .collect();
    let whole: String = messages.iter().map(|message| message.content.as_str()).collect();
    shape(&prefix, &whole)
}

/// Returns the shape of a plain prompt, which has no known prefix.
pub fn text_shape(prompt: &str) -> PromptShape {
    shape("", prompt)
}

fn shape(prefix: &str, whole: &str) -> PromptShape {
    let prefix_hash =
        if prefix.is_empty() { 0 } else { umberglade_wire::digest(prefix.as_bytes()) };
    PromptShape {
        tokens: estimate_tokens(whole),
        prefix_hash,
        prefix_tokens: if prefix.is_empty() { 0 } else { estimate_tokens(prefix) },
        digest: umberglade_wire::digest(whole.as_bytes()),
    }
}

//! What a peer did against the protocol; its connection is closed for it.

use magpiewick_node_protocol::{DecodeError, Frames, Message};

/// Why a peer's connection cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ProtocolError {
    /// Bytes that are not a frame.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    #[error("a message that a client does not send")]
    UnexpectedFromClient,
    #[error("a message that a node does not send")]
    UnexpectedFromNode,
    #[error("a message that a list service does not send")]
    UnexpectedFromListService,
    #[error("a greeting that this host cannot answer")]
    UnusableClientGreeting,
    #[error("a message before the greeting")]
    MessageBeforeGreeting,
    #[error("it speaks versions {min_version} to {max_version}")]
    UnsupportedVersion { min_version: u16, max_version: u16 },
    #[error("it is no storage node")]
    NotANode,
    #[error("another process than the listed one answers")]
    WrongProcess,
    #[error("an outcome that a node cannot know")]
    ImpossibleOutcome,
}

/// Calls `handle` for each whole frame until it fails; returns the bytes consumed, and the error. The frame that
/// `handle` fails at is not consumed.
pub(crate) fn for_each_frame<E: From<DecodeError>>(
    bytes: &[u8],
    mut handle: impl FnMut(Message<'_>) -> Result<(), E>,
) -> (usize, Option<E>) {
    let mut frames = Frames::new(bytes);
    loop {
        let consumed_before = frames.consumed();
        match frames.next() {
            None => return (frames.consumed(), None),
            Some(Err(error)) => return (frames.consumed(), Some(error.into())),
            Some(Ok(message)) => {
                if let Err(error) = handle(message) {
                    return (consumed_before, Some(error));
                }
            }
        }
    }
}

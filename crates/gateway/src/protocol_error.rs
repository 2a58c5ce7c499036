//! Protocol violations of peers; each closes the peer's connection.

use magpiewick_node_protocol::{DecodeError, Frames, Message};

/// Reason why the input of a peer's connection cannot be processed further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ProtocolError {
    /// Bytes that are not a frame.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    #[error("unexpected message from a client")]
    UnexpectedFromClient,
    #[error("unexpected message from a node")]
    UnexpectedFromNode,
    #[error("unexpected message from the list service")]
    UnexpectedFromListService,
    #[error("the client's greeting has an unsupported version or role")]
    UnusableClientGreeting,
    #[error("a message before the greeting")]
    MessageBeforeGreeting,
    #[error("unsupported protocol versions {min_version} to {max_version}")]
    UnsupportedVersion { min_version: u16, max_version: u16 },
    #[error("the peer is not a storage node")]
    NotANode,
    #[error("the peer is not the listed process of the node")]
    WrongProcess,
    #[error("a node reported an outcome that only a host can determine")]
    ImpossibleOutcome,
}

/// Calls `handle` for each complete frame until a call fails; returns the number of bytes consumed, and the
/// error. The frame that `handle` fails on is not consumed.
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

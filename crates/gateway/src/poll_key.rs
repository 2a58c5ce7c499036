//! Keys under which sources are registered at the poller: the kind of source, and its index among sources of
//! that kind.

/// Kind of a registered source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    Listener,
    ShutdownSignal,
    Client,
    Node,
    ListService,
    Gossip,
}

const SOURCES: [Source; 6] = [
    Source::Listener,
    Source::ShutdownSignal,
    Source::Client,
    Source::Node,
    Source::ListService,
    Source::Gossip,
];

/// Number of bits of a key that contain the index; the source is in the bits above.
const INDEX_BITS: u32 = 32;

/// Returns the key of a source.
pub(crate) fn poll_key(source: Source, index: usize) -> usize {
    (source as usize) << INDEX_BITS | index
}

/// Returns the kind of a key's source.
pub(crate) fn source_of(key: usize) -> Source {
    SOURCES[(key >> INDEX_BITS) % SOURCES.len()]
}

/// Returns the index of a key's source among sources of its kind.
pub(crate) fn index_of(key: usize) -> usize {
    key & ((1 << INDEX_BITS) - 1)
}

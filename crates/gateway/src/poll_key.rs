//! The keys under which sources are registered at the poller: what a source is, and its index among its kind.

/// What a registered source is.
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

/// Bits of a key that hold the index; the source stands above them.
const INDEX_BITS: u32 = 32;

/// The key of a source.
pub(crate) fn poll_key(source: Source, index: usize) -> usize {
    (source as usize) << INDEX_BITS | index
}

/// What the source of a key is.
pub(crate) fn source_of(key: usize) -> Source {
    SOURCES[(key >> INDEX_BITS) % SOURCES.len()]
}

/// The index of a key's source among its kind.
pub(crate) fn index_of(key: usize) -> usize {
    key & ((1 << INDEX_BITS) - 1)
}

//! Merging and splitting of commands along the extent map: which held writes travel with one that leaves
//! ([`Company`]), in what order overlapping writes go ([`Gate`]), and how a large read is cut and put together
//! again ([`cut`], [`Gather`]). Free of I/O; when a command leaves and where to is the module's to decide.

mod company;
mod gate;
mod split;

pub use company::{Bounds, Company, Piece};
pub use gate::{Gate, Write};
pub use split::{cut, Gather, Progress};

//! The decision module of magpiewick and the plain types of its interface.

mod brain;
mod queues;
mod terms;

pub use brain::Brain;
pub use terms::*;

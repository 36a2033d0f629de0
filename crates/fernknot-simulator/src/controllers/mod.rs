//! Simulated machines with disks, and the production controllers that run on them.

mod actions;
mod disk;
mod inputs;
pub(crate) mod machine;
mod process;
mod timeline;

//! Fronts: what clients speak. Each turns its protocol into requests for the core and final answers into its protocol.

pub mod entry;
pub mod pg;

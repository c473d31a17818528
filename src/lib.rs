#![doc = include_str!("../README.md")]

mod api;
mod balance;

pub use api::*;
pub use balance::*;

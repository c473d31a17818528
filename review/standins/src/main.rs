//! The cases of the review. `review-standins NAME FOLDER` plays one; it exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

#![allow(dead_code)]

mod agent;
mod client;
mod common;
mod link;
mod node;
mod settings;
mod wire;

mod budget;
mod gone;
mod memory;
mod restart;
mod second_copy;

use common::Case;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: review-standins NAME FOLDER");
        std::process::exit(2);
    };
    let played = Case::open(folder).and_then(|case| match name.as_str() {
        "second-copy" => second_copy::play(&case),
        "gone" => gone::play(&case),
        "restart" => restart::play(&case),
        "memory" => memory::play(&case),
        "budget" => budget::play(&case),
        _ => Err(std::io::Error::other("no such case")),
    });
    std::process::exit(match played {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            2
        }
    });
}

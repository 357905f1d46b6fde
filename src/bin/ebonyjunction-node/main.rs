//! Entry point of `ebonyjunction-node`.

fn main() {}

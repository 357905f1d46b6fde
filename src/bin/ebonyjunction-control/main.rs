//! Entry point of `ebonyjunction-control`.

fn main() {}

//! Entry point of `ebonyjunction`.

fn main() {}

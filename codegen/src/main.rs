//! Generates the committed message types and service stubs from `proto/`.

use std::error::Error;
use std::fs;

const OUTPUT_DIRECTORY: &str = "src/generated";
const PROTO_DIRECTORY: &str = "proto";
const PROTO_FILES: [&str; 1] = ["control.proto"];

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(PROTO_FILES, [PROTO_DIRECTORY])?;
    fs::create_dir_all(OUTPUT_DIRECTORY)?;
    tonic_prost_build::configure()
        .out_dir(OUTPUT_DIRECTORY)
        .bytes(".")
        .btree_map(".")
        .compile_fds(descriptors)?;
    Ok(())
}

//! Operators' command line of pollendrift.
fn main() {}

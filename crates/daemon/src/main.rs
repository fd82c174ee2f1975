//! Router daemon of pollendrift.
fn main() {}

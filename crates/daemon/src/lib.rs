//! Router daemon of pollendrift.

pub mod settings;

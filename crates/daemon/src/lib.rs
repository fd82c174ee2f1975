//! Router daemon of pollendrift.

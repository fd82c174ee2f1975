//! Daemons under failure, over loopback connections with stand-in backend servers.
#![allow(clippy::unwrap_used, reason = "a helper that fails is a failed test")]

mod bad_input;
mod claims;
mod configuration;
mod copies;
mod demand;
mod drafts;
mod ends;
mod evidence;
mod metrics;
mod narrow_links;
mod placement;
mod resumes;
mod stops;
mod support;
mod tls;

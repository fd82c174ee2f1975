//! Addresses of daemons.

use std::str::FromStr;

use derive_more::Display;

/// Address of the operator interface of a daemon.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{}://{host}:{port}", if *secure { "https" } else { "http" })]
pub struct ServerAddress {
    /// Whether the connection is TLS.
    pub secure: bool,
    /// Name or IP address, without the brackets of IPv6.
    pub host: String,
    /// Port.
    pub port: u16,
}

impl FromStr for ServerAddress {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let invalid = || {
            format!("invalid address {text}: expected HOST:PORT with optional http:// or https://")
        };
        let (secure, rest) = match text.split_once("://") {
            None => (false, text),
            Some(("http", rest)) => (false, rest),
            Some(("https", rest)) => (true, rest),
            Some(_) => return Err(invalid()),
        };
        let rest = rest.strip_suffix('/').unwrap_or(rest);
        let (host, port) = rest.rsplit_once(':').ok_or_else(invalid)?;
        let host = host.trim_start_matches('[').trim_end_matches(']');
        let port = port.parse().map_err(|_| invalid())?;
        if host.is_empty() || host.contains(['/', '@', '?']) || port == 0 {
            return Err(invalid());
        }
        Ok(Self {
            secure,
            host: host.to_owned(),
            port,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::ServerAddress;

    // Guards against an address that is parsed with a wrong scheme, host or port.
    #[test]
    fn valid_addresses_are_parsed_and_invalid_ones_refused() {
        let cases = [
            ("127.0.0.1:7000", Some("http://127.0.0.1:7000")),
            ("https://k1.example:7443/", Some("https://k1.example:7443")),
            ("http://[::1]:7000", Some("http://::1:7000")),
            ("k1", None),
            ("k1:0", None),
            ("ftp://k1:1", None),
            ("http://k1:70000", None),
            ("http://k1/x:1", None),
        ];
        for (text, expected) in cases {
            let parsed = text.parse::<ServerAddress>().ok();
            let parsed = parsed.map(|address| address.to_string());
            assert_eq!(parsed.as_deref(), expected, "{text}");
        }
    }
}

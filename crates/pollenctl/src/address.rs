//! Addresses of daemons.

use std::str::FromStr;

use derive_more::Display;

/// Where a daemon serves operators.
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
        let expected = || format!("{text} is no address; HOST:PORT, http:// or https:// is");
        let (secure, rest) = match text.split_once("://") {
            None => (false, text),
            Some(("http", rest)) => (false, rest),
            Some(("https", rest)) => (true, rest),
            Some(_) => return Err(expected()),
        };
        let rest = rest.strip_suffix('/').unwrap_or(rest);
        let (host, port) = rest.rsplit_once(':').ok_or_else(expected)?;
        let host = host.trim_start_matches('[').trim_end_matches(']');
        let port = port.parse().map_err(|_| expected())?;
        if host.is_empty() || host.contains(['/', '@', '?']) || port == 0 {
            return Err(expected());
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

    #[test]
    fn addresses_are_read_or_refused() {
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
            let read = text.parse::<ServerAddress>().ok();
            let read = read.map(|address| address.to_string());
            assert_eq!(read.as_deref(), expected, "{text}");
        }
    }
}

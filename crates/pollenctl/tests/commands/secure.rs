//! Commands over TLS: the token is sent only to a daemon with a trusted certificate.

use std::fmt::Write;
use std::sync::{Arc, Mutex};

use rcgen::{CertifiedKey, KeyPair, generate_simple_self_signed};
use rustls::ServerConfig;
use rustls_pki_types::PrivateKeyDer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio_rustls::TlsAcceptor;

use crate::support::{TestFile, pollenctl};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"up\": true}";

fn certificate(name: &str) -> CertifiedKey<KeyPair> {
    generate_simple_self_signed(vec![name.to_owned()]).unwrap()
}

/// Starts a TLS daemon that records requests and answers one on each connection.
async fn secure_daemon(own: &CertifiedKey<KeyPair>) -> (String, Arc<Mutex<Vec<String>>>) {
    let key = PrivateKeyDer::try_from(own.signing_key.serialize_der()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_no_client_auth()
        .with_single_cert(vec![own.cert.der().clone()], key)
        .unwrap();
    let acceptor = TlsAcceptor::from(Arc::new(config));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = format!("https://{}", listener.local_addr().unwrap());
    let requests = Arc::new(Mutex::new(Vec::new()));
    let shared = requests.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let Ok(mut stream) = acceptor.accept(stream).await else {
                continue;
            };
            let mut bytes = vec![0; 4_096];
            let length = stream.read(&mut bytes).await.unwrap();
            let text = String::from_utf8_lossy(&bytes[..length]).into_owned();
            shared.lock().unwrap().push(text);
            stream.write_all(ANSWER).await.unwrap();
            stream.shutdown().await.unwrap();
        }
    });
    (address, requests)
}

// Guards against sending the operator's token to an impostor: a daemon whose certificate is signed
// by another authority or issued for another name.
#[tokio::test]
async fn the_token_is_sent_only_to_a_daemon_with_a_trusted_certificate() {
    let token = TestFile::new("token", "secret-token\n");
    let cases = [
        ("signed as it must be", "127.0.0.1", true),
        ("signed by another", "127.0.0.1", false),
        ("for another name", "k1.example", true),
    ];
    let mut report = String::new();
    for (name, subject, known) in cases {
        let own = certificate(subject);
        let other = certificate(subject);
        let trusted = if known { &own } else { &other };
        let ca = TestFile::new("ca.pem", &trusted.cert.pem());
        let (address, requests) = secure_daemon(&own).await;
        let result = pollenctl(&[
            "--servers",
            &address,
            "--token-file",
            &token.path,
            "--ca-file",
            &ca.path,
            "status",
        ])
        .await;
        let requests = requests.lock().unwrap().clone();
        let tokens = requests
            .iter()
            .filter(|request| request.contains("authorization: Bearer secret-token\r\n"))
            .count();
        let out = result.out.replace('\n', "");
        let _ = writeln!(
            report,
            "{name}: exit {}, {tokens} tokens seen {out}",
            result.exit
        );
    }
    insta::assert_snapshot!(report, @r#"
    signed as it must be: exit 0, 1 tokens seen {  "up": true}
    signed by another: exit 1, 0 tokens seen 
    for another name: exit 1, 0 tokens seen
    "#);
}

//! Tests of hosts with TLS: which credentials are accepted, and key replacement at run time.

use std::path::{Path, PathBuf};

use pollendrift::access::{AccessControl, CertificateRequest, FaceStream, KeyFolder, Validity};
use pollendrift::settings::{DaemonSettings, KeyFiles};
use pollendrift_coordination::base::{Revision, WallTime};
use pollendrift_standins::harness::{CUSTOMER_TOKEN, HostBuilder, OPERATOR_TOKEN};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{HostGroup, SELECTORS, wait_until};

const YEAR: u64 = 365 * 86_400_000;
const VALID: Validity = Validity {
    from: WallTime(30 * YEAR),
    until: WallTime(130 * YEAR),
};
const EXPIRED: Validity = Validity {
    from: WallTime(30 * YEAR),
    until: WallTime(31 * YEAR),
};
const STATUS: &str = "/operator/v1/status";
const PORTAL: &str = "/services/portal/dossiers/7";

/// Three hosts with TLS certificates, and the folder of their keys.
struct SecureGroup {
    group: HostGroup,
    keys: tempfile::TempDir,
}

fn host_keys(folder: &Path, name: &str, validity: Validity) -> KeyFiles {
    let request = CertificateRequest::Host {
        name: name.into(),
        addresses: vec!["127.0.0.1".parse().unwrap()],
    };
    let authority = KeyFolder::open(folder, VALID).unwrap();
    authority.issue(&request, validity).unwrap()
}

fn operator_keys(folder: &Path, name: &str, validity: Validity) -> KeyFiles {
    let request = CertificateRequest::Operator { name: name.into() };
    let authority = KeyFolder::open(folder, VALID).unwrap();
    authority.issue(&request, validity).unwrap()
}

fn tls_section(files: &KeyFiles) -> String {
    format!(
        "tls: {{certificate: {}, key: {}, authority: {}}}\n",
        files.certificate.display(),
        files.key.display(),
        files.authority.display()
    )
}

impl SecureGroup {
    async fn start() -> Self {
        let keys = tempfile::tempdir().unwrap();
        let mut group = HostGroup::stopped(3, 3);
        group.builder = group.builder.clone().with_certified_operator("nolwenn");
        for index in 0..3 {
            let files = host_keys(keys.path(), &HostBuilder::name(index), VALID);
            group.add_settings(index, &tls_section(&files));
        }
        let group = group.start_all().await;
        Self { group, keys }
    }

    /// A client that presents the certificate of `files` and trusts its authority.
    fn client(&self, files: KeyFiles) -> AccessControl {
        let text = self.group.builder.settings(0, self.keys.path());
        let parsed = DaemonSettings::parse(&"visitor".into(), PathBuf::new(), &text);
        let mut settings = parsed.unwrap().settings;
        settings.tls.files = Some(files);
        AccessControl::new(&settings).unwrap()
    }

    /// Status of host 0's answer to `client` with a bearer token, or how the connection failed.
    async fn get_status(&self, client: &AccessControl, path: &str, token: &str) -> String {
        match self.connect(client, "host-0").await {
            Ok(stream) => exchange(stream, path, token).await,
            Err(_) => "no connection".to_owned(),
        }
    }

    async fn connect(&self, client: &AccessControl, expected: &str) -> Result<FaceStream, String> {
        let stream = TcpStream::connect(self.group.entry(0)).await.unwrap();
        let connected = client.connect(&expected.into(), stream).await;
        connected.map_err(|error| error.to_string())
    }
}

async fn exchange(mut stream: FaceStream, path: &str, token: &str) -> String {
    let bearer = match token {
        "" => String::new(),
        token => format!("authorization: Bearer {token}\r\n"),
    };
    let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\n{bearer}connection: close\r\n\r\n");
    let mut answer = Vec::new();
    // After a refused certificate, a write or a read fails.
    let _ = stream.write_all(request.as_bytes()).await;
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer.split(' ').nth(1);
    status.map_or("closed without an answer".to_owned(), str::to_owned)
}

// Guards against hosts that accept a wrong credential or are disturbed by one. The hosts identify
// each other by certificates only and agree on a change over mutual TLS. Clients then send requests
// to the first host with every kind of credential; only valid ones are accepted.
#[tokio::test(flavor = "multi_thread")]
async fn each_wrong_credential_is_refused_by_running_hosts() {
    let secure = SecureGroup::start().await;
    let foreign = tempfile::tempdir().unwrap();
    let own = secure.keys.path();
    let operator = operator_keys(own, "nolwenn", VALID);
    let forged = KeyFiles {
        authority: operator.authority.clone(),
        ..operator_keys(foreign.path(), "nolwenn", VALID)
    };
    let clients = [
        ("a certificate of the authority", operator),
        (
            "an expired certificate",
            operator_keys(own, "late", EXPIRED),
        ),
        ("a certificate of a foreign authority", forged),
        (
            "another operator's certificate",
            operator_keys(own, "gwen", VALID),
        ),
        ("a host's certificate", host_keys(own, "nolwenn", VALID)),
    ];
    let mut table = Vec::new();
    for (name, files) in clients {
        let client = secure.client(files);
        for (path, token) in [
            (PORTAL, CUSTOMER_TOKEN),
            (PORTAL, "wrong"),
            (PORTAL, ""),
            (STATUS, OPERATOR_TOKEN),
            (STATUS, CUSTOMER_TOKEN),
            (STATUS, ""),
        ] {
            let seen = secure.get_status(&client, path, token).await;
            table.push(format!("{name}, token `{token}`: GET {path}: {seen}"));
        }
    }
    let client = secure.client(operator_keys(own, "again", VALID));
    let wrong_name = secure.connect(&client, "host-1").await;
    table.push(format!(
        "another host's name expected: {}",
        wrong_name.is_err()
    ));
    let plain = TcpStream::connect(secure.group.entry(0)).await.unwrap();
    let seen = exchange(FaceStream::Plain(plain), PORTAL, CUSTOMER_TOKEN).await;
    table.push(format!("plain text: {seen}"));
    let answer = secure
        .group
        .change(2, "later", Revision(1), SELECTORS)
        .await;
    table.push(format!("still agreed: {}", answer.is_some()));
    insta::assert_snapshot!(table.join("\n"), @r"
    a certificate of the authority, token `customer-token`: GET /services/portal/dossiers/7: 503
    a certificate of the authority, token `wrong`: GET /services/portal/dossiers/7: 401
    a certificate of the authority, token ``: GET /services/portal/dossiers/7: 401
    a certificate of the authority, token `operator-token`: GET /operator/v1/status: 200
    a certificate of the authority, token `customer-token`: GET /operator/v1/status: 401
    a certificate of the authority, token ``: GET /operator/v1/status: 200
    an expired certificate, token `customer-token`: GET /services/portal/dossiers/7: closed without an answer
    an expired certificate, token `wrong`: GET /services/portal/dossiers/7: closed without an answer
    an expired certificate, token ``: GET /services/portal/dossiers/7: closed without an answer
    an expired certificate, token `operator-token`: GET /operator/v1/status: closed without an answer
    an expired certificate, token `customer-token`: GET /operator/v1/status: closed without an answer
    an expired certificate, token ``: GET /operator/v1/status: closed without an answer
    a certificate of a foreign authority, token `customer-token`: GET /services/portal/dossiers/7: closed without an answer
    a certificate of a foreign authority, token `wrong`: GET /services/portal/dossiers/7: closed without an answer
    a certificate of a foreign authority, token ``: GET /services/portal/dossiers/7: closed without an answer
    a certificate of a foreign authority, token `operator-token`: GET /operator/v1/status: closed without an answer
    a certificate of a foreign authority, token `customer-token`: GET /operator/v1/status: closed without an answer
    a certificate of a foreign authority, token ``: GET /operator/v1/status: closed without an answer
    another operator's certificate, token `customer-token`: GET /services/portal/dossiers/7: 503
    another operator's certificate, token `wrong`: GET /services/portal/dossiers/7: 401
    another operator's certificate, token ``: GET /services/portal/dossiers/7: 401
    another operator's certificate, token `operator-token`: GET /operator/v1/status: 200
    another operator's certificate, token `customer-token`: GET /operator/v1/status: 401
    another operator's certificate, token ``: GET /operator/v1/status: 401
    a host's certificate, token `customer-token`: GET /services/portal/dossiers/7: 503
    a host's certificate, token `wrong`: GET /services/portal/dossiers/7: 401
    a host's certificate, token ``: GET /services/portal/dossiers/7: 401
    a host's certificate, token `operator-token`: GET /operator/v1/status: 200
    a host's certificate, token `customer-token`: GET /operator/v1/status: 401
    a host's certificate, token ``: GET /operator/v1/status: 401
    another host's name expected: true
    plain text: closed without an answer
    still agreed: true
    ");
}

// Guards against a key replacement that needs a restart or closes connections. The host's
// certificate is replaced on disk while it serves: new connections get the new one, and an open
// connection continues.
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_replaced_without_a_restart() {
    let secure = SecureGroup::start().await;
    let client = secure.client(operator_keys(secure.keys.path(), "visitor", VALID));
    let open = secure.connect(&client, "host-0").await.unwrap();
    let before = open.certificate().unwrap();
    let folder = secure.keys.path();
    std::fs::remove_file(folder.join("host-0.key")).unwrap();
    std::fs::remove_file(folder.join("host-0.pem")).unwrap();
    host_keys(folder, "host-0", VALID);
    let access = secure.group.host(0).access();
    wait_until(|| access.refresh_keys().is_ok() && access.status().generation > 1).await;
    let new = secure.connect(&client, "host-0").await.unwrap();
    assert_ne!(new.certificate().unwrap(), before);
    assert_eq!(exchange(open, STATUS, OPERATOR_TOKEN).await, "200");
    assert_eq!(exchange(new, STATUS, OPERATOR_TOKEN).await, "200");
}

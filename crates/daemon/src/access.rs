//! Who may come in: tokens, certificates, TLS on every face, and keys that change while running.
//!
//! Callers prove a customer by token. Operators prove a name by token or certificate. Hosts prove
//! themselves to each other by certificates of one authority, each bound to the name that the
//! settings give the host. No secret is kept: of tokens only digests are known.

mod acceptor;
mod control;
mod credentials;
mod identity;
mod keys;
mod material;
mod stream;

pub use acceptor::FaceAcceptor;
pub use control::{AccessControl, AccessStatus, FaceKind};
pub use credentials::{CredentialTable, bearer_token};
pub use identity::{CertificateIdentity, HOST_DOMAIN, OPERATOR_DOMAIN, OperatorIdentity};
pub use keys::{CertificateRequest, KeyFolder, KeysError, Validity};
pub use material::{AccessError, KeyMaterial};
pub use stream::FaceStream;

//! Authentication: tokens, certificates, TLS on all faces, and reload of keys without a restart.
//!
//! A face is an interface of the daemon for one kind of client. Callers authenticate as a customer
//! by token, operators by token or certificate. Hosts authenticate to each other by certificates of
//! one authority, each bound to the host name in the settings. Only digests of tokens are stored.

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

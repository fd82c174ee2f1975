//! Accepts connections on the HTTP faces.

use std::io;
use std::sync::Arc;

use http::Extensions;
use pollendrift_http::{AcceptedStream, StreamAcceptor, StreamFuture};
use tokio::net::TcpStream;

use super::control::{AccessControl, FaceKind};

/// Accepts connections on one face and adds the client certificate, if there is one, to the
/// extensions of each request.
#[derive(Debug)]
pub struct FaceAcceptor {
    control: Arc<AccessControl>,
    face: FaceKind,
}

impl FaceAcceptor {
    /// Creates an acceptor for `face`.
    pub fn new(control: Arc<AccessControl>, face: FaceKind) -> Self {
        Self { control, face }
    }
}

impl StreamAcceptor for FaceAcceptor {
    fn accept(&self, stream: TcpStream) -> StreamFuture {
        let control = Arc::clone(&self.control);
        let face = self.face;
        Box::pin(async move {
            let stream = control
                .accept(face, stream)
                .await
                .map_err(io::Error::other)?;
            let mut extensions = Extensions::new();
            if let Some(count) = control.count_connection(face) {
                // All requests of the connection share the guard; dropping the last one decrements
                // the count.
                extensions.insert(Arc::new(count));
            }
            if let Some(certificate) = stream.certificate() {
                extensions.insert(certificate);
            }
            Ok(AcceptedStream {
                stream: Box::new(stream),
                extensions,
            })
        })
    }
}

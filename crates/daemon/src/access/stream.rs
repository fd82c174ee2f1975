//! Connection on a face with or without TLS.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_rustls::TlsStream;

use super::identity::CertificateIdentity;

/// Connection on a face after the handshake.
#[derive(Debug)]
pub enum FaceStream {
    /// Plain text, if the settings contain no keys.
    Plain(TcpStream),
    /// TLS connection, as server or client.
    Tls(Box<TlsStream<TcpStream>>),
}

impl FaceStream {
    /// Returns the verified certificate of the other side; `None` if it sent none.
    pub fn certificate(&self) -> Option<CertificateIdentity> {
        let Self::Tls(stream) = self else { return None };
        let (_, session) = stream.get_ref();
        let chain = session.peer_certificates()?;
        let leaf = chain.first()?;
        Some(CertificateIdentity::new(leaf.clone().into_owned()))
    }
}

impl AsyncRead for FaceStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Tls(stream) => Pin::new(stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for FaceStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_write(context, bytes),
            Self::Tls(stream) => Pin::new(stream).poll_write(context, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_flush(context),
            Self::Tls(stream) => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_shutdown(context),
            Self::Tls(stream) => Pin::new(stream).poll_shutdown(context),
        }
    }
}

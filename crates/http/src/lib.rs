//! HTTP server with limits, HTTP client, connection pool and bodies, built on hyper.

mod answer_head;
mod body;
mod body_buffer;
mod body_memory;
mod checked_body;
mod client;
mod client_connection;
mod connections;
mod dialer;
mod guarded_stream;
mod new_connections;
mod pool;
mod served_stream;
mod server;
mod start_probe;

pub use answer_head::is_final_status;
pub use body::{
    BodyError, BodySender, ReadFailure, ReaderWatch, RequestLimits, ResponseBody, channel_body,
    empty_body, full_body, json_response, leaving_body, read_bounded, read_json, read_json_request,
    read_request, read_shared, read_within, text_response,
};
pub use body_buffer::BodyBuffer;
pub use body_memory::{BodyMemory, BodyReservation, OverflowPolicy};
pub use checked_body::{CheckedBody, send_once};
pub use client::{ClientError, HttpClient, LineReader, UnreadResponse};
pub use connections::ConnectionHandle;
pub use dialer::{DialFuture, ServerDialer, TcpDialer};
pub use pool::{ConnectionPool, PoolClock, PoolSettings, PooledAnswer};
pub use server::{
    AcceptedStream, BoxedStream, ByteStream, ConnectionGate, ConnectionObserver, DynHandler,
    HandlerFuture, HttpHandler, HttpServer, ServerHooks, ServerLimits, StreamAcceptor,
    StreamFuture,
};

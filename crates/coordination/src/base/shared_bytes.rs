//! Serde functions that encode shared bytes as one byte string. A list of numbers would take twice
//! the size on the wire and on disk.

use std::sync::Arc;

use serde::{Deserializer, Serializer};
use serde_bytes::ByteBuf;

pub(crate) fn serialize<S>(bytes: &Arc<[u8]>, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serde_bytes::serialize(bytes.as_ref(), serializer)
}

pub(crate) fn deserialize<'de, D>(deserializer: D) -> Result<Arc<[u8]>, D::Error>
where
    D: Deserializer<'de>,
{
    let buffer: ByteBuf = serde_bytes::deserialize(deserializer)?;
    Ok(Arc::from(buffer.into_vec()))
}

//! Shared bytes as one byte string instead of a list of numbers: half the size on wire and disk.

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

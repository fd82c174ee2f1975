//! Encoded values as text: diagnostic notation, then the bytes.

use std::fmt::{Debug, Write};

use ciborium::Value;
use serde::Serialize;
use serde::de::DeserializeOwned;

const HEX_COLUMNS: usize = 96;

/// Encodes a value as CBOR, in diagnostic notation and bytes, and checks that decoding returns the
/// same value.
pub(crate) fn cbor<T>(value: &T) -> String
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let bytes = encode(value);
    let read: T = ciborium::from_reader(bytes.as_slice()).expect("decodes");
    assert_eq!(read, *value);
    bytes_as_text(&bytes)
}

/// Writes CBOR bytes in diagnostic notation and hexadecimal.
pub(crate) fn bytes_as_text(bytes: &[u8]) -> String {
    let value: Value = ciborium::from_reader(bytes).expect("CBOR");
    let mut text = diagnostic(&value);
    for line in bytes.chunks(HEX_COLUMNS / 2) {
        text.push_str("\n  ");
        text.push_str(&hex(line));
    }
    text
}

/// Encodes a value as JSON and checks that decoding returns the same value.
pub(crate) fn json<T>(value: &T) -> String
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let text = write_json(value);
    let read: T = serde_json::from_str(&text).expect("decodes");
    assert_eq!(read, *value);
    text
}

/// Encodes a value as JSON that no process of this project decodes.
pub(crate) fn write_json<T>(value: &T) -> String
where
    T: Serialize,
{
    serde_json::to_string(value).expect("JSON")
}

pub(crate) fn encode<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("CBOR");
    bytes
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn diagnostic(value: &Value) -> String {
    match value {
        Value::Integer(number) => i128::from(*number).to_string(),
        Value::Bytes(bytes) => format!("h'{}'", hex(bytes)),
        Value::Float(number) => format!("{number:?}"),
        Value::Text(text) => format!("{text:?}"),
        Value::Bool(flag) => flag.to_string(),
        Value::Null => "null".to_owned(),
        Value::Tag(tag, value) => format!("{tag}({})", diagnostic(value)),
        Value::Array(values) => {
            let values: Vec<String> = values.iter().map(diagnostic).collect();
            format!("[{}]", values.join(", "))
        }
        Value::Map(entries) => {
            let entry = |(key, value): &(Value, Value)| {
                format!("{}: {}", diagnostic(key), diagnostic(value))
            };
            let entries: Vec<String> = entries.iter().map(entry).collect();
            format!("{{{}}}", entries.join(", "))
        }
        other => panic!("unknown kind of CBOR: {other:?}"),
    }
}

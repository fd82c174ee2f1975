//! Chain of a token: the engines of the pipeline that produced it, and the check that it is
//! complete.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::base::{LayerRange, ServerName, VersionName};

/// One engine of a chain, with the layers that it ran and their version.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{server}[{layers}@{version}]")]
pub struct ChainLink {
    /// Engine that ran the layers.
    pub server: ServerName,
    /// Layers that it ran.
    pub layers: LayerRange,
    /// Version of the weights.
    pub version: VersionName,
}

/// Why a chain does not cover the model's layers once, in order, in one version.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChainError {
    /// The chain names no engine.
    #[display("the chain is empty")]
    Empty,
    /// The layers starting at `layer` did not run.
    #[display("layer {layer} did not run")]
    Gap {
        /// First missing layer.
        layer: u32,
    },
    /// A layer ran twice, or after a later layer.
    #[display("layer {layer} ran twice or out of order")]
    Overlap {
        /// First layer of the link that overlaps or is out of order.
        layer: u32,
    },
    /// A link has an empty range or a range beyond the model's layers.
    #[display("range {layers} does not fit a model of {count} layers")]
    OutOfModel {
        /// Layers of the link.
        layers: LayerRange,
        /// Number of layers of the model.
        count: u32,
    },
    /// The version of a link differs from the version of the answer.
    #[display("version {found} in an answer made with {expected}")]
    WrongVersion {
        /// Version of the answer.
        expected: VersionName,
        /// Version of the link.
        found: VersionName,
    },
}

/// Checks that `chain` covers `0..layers` once, in order, in `version`.
///
/// # Errors
/// The first error along the chain.
pub fn check_chain(
    chain: &[ChainLink],
    layers: u32,
    version: &VersionName,
) -> Result<(), ChainError> {
    if chain.is_empty() {
        return Err(ChainError::Empty);
    }
    let mut next = 0;
    for link in chain {
        check_link(link, next, layers, version)?;
        next = link.layers.end;
    }
    if next < layers {
        return Err(ChainError::Gap { layer: next });
    }
    Ok(())
}

fn check_link(
    link: &ChainLink,
    next: u32,
    count: u32,
    version: &VersionName,
) -> Result<(), ChainError> {
    let layers = link.layers;
    if link.version != *version {
        return Err(ChainError::WrongVersion {
            expected: version.clone(),
            found: link.version.clone(),
        });
    }
    if layers.is_empty() || layers.end > count {
        return Err(ChainError::OutOfModel { layers, count });
    }
    if layers.first > next {
        return Err(ChainError::Gap { layer: next });
    }
    if layers.first < next {
        return Err(ChainError::Overlap {
            layer: layers.first,
        });
    }
    Ok(())
}

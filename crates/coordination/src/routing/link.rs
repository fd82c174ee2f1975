//! Network links between data centres, with their rate and latency.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::unit::ByteRate;
use crate::base::DataCentreName;

/// Index of a data centre's name within one table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub(crate) struct DataCentreIndex(pub(crate) u16);

/// Rate and latency of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkProperties {
    /// Rate in bytes per second, in each direction.
    pub rate: ByteRate,
    /// One-way latency.
    pub latency: Duration,
}

/// Links between data centres; pairs without their own setting use the default link.
#[derive(Clone, Debug)]
pub(crate) struct LinkTable {
    default: LinkProperties,
    /// Link within one data centre. Only its latency applies; the rate is limited by the engines.
    local: LinkProperties,
    names: Vec<DataCentreName>,
    links: BTreeMap<(DataCentreIndex, DataCentreIndex), LinkProperties>,
}

impl LinkTable {
    pub(crate) fn new(default: LinkProperties, local_latency: Duration) -> Self {
        Self {
            default,
            local: LinkProperties {
                rate: ByteRate(u64::MAX),
                latency: local_latency,
            },
            names: Vec::new(),
            links: BTreeMap::new(),
        }
    }

    /// Returns the index of a data centre, and adds the data centre if it is unknown.
    pub(crate) fn intern(&mut self, name: &DataCentreName) -> DataCentreIndex {
        if let Some(index) = self.find(name) {
            return index;
        }
        let index = u16::try_from(self.names.len()).unwrap_or(u16::MAX);
        self.names.push(name.clone());
        DataCentreIndex(index)
    }

    /// Sets the link between two data centres in both directions; returns false if nothing changed.
    pub(crate) fn set(
        &mut self,
        one: &DataCentreName,
        other: &DataCentreName,
        figures: LinkProperties,
    ) -> bool {
        let one = self.intern(one);
        let other = self.intern(other);
        let previous = self.links.insert((one, other), figures);
        self.links.insert((other, one), figures);
        previous != Some(figures)
    }

    pub(crate) fn get(&self, from: DataCentreIndex, to: DataCentreIndex) -> LinkProperties {
        if from == to {
            return self.local;
        }
        self.links.get(&(from, to)).copied().unwrap_or(self.default)
    }

    pub(crate) fn find(&self, name: &DataCentreName) -> Option<DataCentreIndex> {
        let position = self.names.iter().position(|known| known == name)?;
        u16::try_from(position).ok().map(DataCentreIndex)
    }
}

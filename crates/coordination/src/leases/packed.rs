//! Renewals by number: which leases a host heard of lately, in two or three bytes each.
//!
//! A named renewal takes some forty bytes, and every server is renewed once a second on every host.
//! The sender numbers its leases, tells number and content once, and from then on only the number
//! and the age of the last heartbeat.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Unit in which ages travel.
const AGE_UNIT: Duration = Duration::from_millis(10);
/// Bits of a number in one byte; the eighth says that another byte follows.
const GROUP_BITS: u32 = 7;
/// Most bytes of one number.
const MAX_GROUPS: u32 = 5;

/// Number of a lease in the table of the host that tells of it; never reused in one process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LeaseNumber(pub u32);

/// One lease that was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NumberedRenewal {
    /// Its number at the sender.
    pub number: LeaseNumber,
    /// Time since its server was heard by any host; travels rounded up to 10 ms.
    pub age: Duration,
}

/// Packed bytes are no list of leases.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("renewals by number can't be read")]
pub struct RenewalDecodeError;

/// Leases that were heard of, packed: the step from the number before and the age, each in groups of
/// seven bits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PackedRenewals {
    #[serde(with = "serde_bytes")]
    bytes: Vec<u8>,
}

impl PackedRenewals {
    /// Packs `leases`; of one number the youngest counts.
    pub fn pack(mut leases: Vec<NumberedRenewal>) -> Self {
        leases.sort_unstable();
        leases.dedup_by_key(|lease| lease.number);
        let mut bytes = Vec::with_capacity(leases.len() * 3);
        let mut last = 0;
        for lease in leases {
            push_number(&mut bytes, lease.number.0 - last);
            let units = lease.age.as_millis().div_ceil(AGE_UNIT.as_millis());
            push_number(&mut bytes, u32::try_from(units).unwrap_or(u32::MAX));
            last = lease.number.0;
        }
        Self { bytes }
    }

    /// The leases, by number.
    ///
    /// # Errors
    /// The bytes are no such list; any bytes are safe.
    pub fn unpack(&self) -> Result<Vec<NumberedRenewal>, RenewalDecodeError> {
        let mut rest = self.bytes.as_slice();
        let mut leases = Vec::with_capacity(rest.len() / 2);
        let mut last = 0_u32;
        while !rest.is_empty() {
            let step = take_number(&mut rest)?;
            let units = take_number(&mut rest)?;
            last = last.checked_add(step).ok_or(RenewalDecodeError)?;
            leases.push(NumberedRenewal {
                number: LeaseNumber(last),
                age: AGE_UNIT.saturating_mul(units),
            });
        }
        Ok(leases)
    }

    /// Whether no lease is in it.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

fn push_number(bytes: &mut Vec<u8>, mut number: u32) {
    while number >= 1 << GROUP_BITS {
        bytes.push((number & 0x7f) as u8 | 0x80);
        number >>= GROUP_BITS;
    }
    bytes.push(number as u8);
}

fn take_number(rest: &mut &[u8]) -> Result<u32, RenewalDecodeError> {
    let mut number = 0_u64;
    for group in 0..MAX_GROUPS {
        let (byte, tail) = rest.split_first().ok_or(RenewalDecodeError)?;
        *rest = tail;
        number |= u64::from(byte & 0x7f) << (GROUP_BITS * group);
        if byte & 0x80 == 0 {
            return u32::try_from(number).map_err(|_| RenewalDecodeError);
        }
    }
    Err(RenewalDecodeError)
}

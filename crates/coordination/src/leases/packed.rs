//! Renewals by lease number, encoded in two or three bytes each.
//!
//! A renewal by name takes about forty bytes, and every server is renewed once a second on every
//! host. The sender therefore numbers its leases, sends number and content once, and afterwards
//! sends only the number and the age of the last heartbeat.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Unit of encoded ages.
const AGE_UNIT: Duration = Duration::from_millis(10);
/// Bits of a number in one byte. The eighth bit is set if another byte follows.
const GROUP_BITS: u32 = 7;
/// Maximum number of bytes of one number.
const MAX_GROUPS: u32 = 5;

/// Number of a lease in the sender's table. One process never reuses a number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LeaseNumber(pub u32);

/// Renewal of one lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NumberedRenewal {
    /// Number of the lease in the sender's table.
    pub number: LeaseNumber,
    /// Time since any host received the server's last heartbeat; encoded rounded up to 10 ms.
    pub age: Duration,
}

/// The packed bytes are not a valid list of renewals.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("renewals by number can't be read")]
pub struct RenewalDecodeError;

/// Packed list of renewals. Each entry is the difference from the previous number and the age, both
/// in groups of seven bits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PackedRenewals {
    #[serde(with = "serde_bytes")]
    bytes: Vec<u8>,
}

impl PackedRenewals {
    /// Packs `leases`. For a repeated number it keeps the renewal with the smallest age.
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

    /// Decodes the renewals, in the order of their numbers. It accepts untrusted bytes.
    ///
    /// # Errors
    /// If the bytes end within an entry or a number does not fit into 32 bits.
    pub fn unpack(&self) -> Result<Vec<NumberedRenewal>, RenewalDecodeError> {
        let mut rest = self.bytes.as_slice();
        let mut leases = Vec::with_capacity(rest.len() / 2);
        let mut last = 0_u32;
        while !rest.is_empty() {
            let step = read_number(&mut rest)?;
            let units = read_number(&mut rest)?;
            last = last.checked_add(step).ok_or(RenewalDecodeError)?;
            leases.push(NumberedRenewal {
                number: LeaseNumber(last),
                age: AGE_UNIT.saturating_mul(units),
            });
        }
        Ok(leases)
    }

    /// Whether the list contains no renewal.
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

fn read_number(rest: &mut &[u8]) -> Result<u32, RenewalDecodeError> {
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

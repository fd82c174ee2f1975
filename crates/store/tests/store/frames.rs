//! The frame decoder on bytes from anywhere.

use pollendrift_store::{FrameScan, scan_frame};
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::{prop_assert, prop_assert_eq, proptest};

proptest! {
    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in vec(any::<u8>(), 0..2_000), offset in 0usize..2_100) {
        if let FrameScan::Complete { payload, next } = scan_frame(&bytes, offset) {
            prop_assert!(next <= bytes.len());
            prop_assert!(payload.len() < next - offset);
        }
    }

    #[test]
    fn sparse_bytes_are_torn_or_damaged(mut bytes in vec(any::<u8>(), 16..600), zero_from in 0usize..600) {
        let from = zero_from.min(bytes.len());
        bytes[from..].fill(0);
        let scan = scan_frame(&bytes, 0);
        let whole = matches!(scan, FrameScan::Complete { .. });
        prop_assert!(!whole, "read as whole");
    }

    #[test]
    fn reading_is_the_same_twice(bytes in vec(any::<u8>(), 0..300)) {
        prop_assert_eq!(scan_frame(&bytes, 0), scan_frame(&bytes, 0));
    }
}

//! The frame decoder on arbitrary bytes.

use pollendrift_store::{FrameScan, scan_frame};
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::{prop_assert, prop_assert_eq, proptest};

proptest! {
    // Guards against a panic, or a frame beyond the end of the file, on arbitrary bytes.
    #[test]
    fn arbitrary_bytes_are_read_without_a_panic(bytes in vec(any::<u8>(), 0..2_000), offset in 0usize..2_100) {
        if let FrameScan::Complete { payload, next } = scan_frame(&bytes, offset) {
            prop_assert!(next <= bytes.len());
            prop_assert!(payload.len() < next - offset);
        }
    }

    // Guards against accepting bytes with a zeroed end, as a crash leaves them, as a complete
    // frame.
    #[test]
    fn bytes_with_a_zeroed_end_are_torn_or_damaged(mut bytes in vec(any::<u8>(), 16..600), zero_from in 0usize..600) {
        let from = zero_from.min(bytes.len());
        bytes[from..].fill(0);
        let scan = scan_frame(&bytes, 0);
        let is_complete = matches!(scan, FrameScan::Complete { .. });
        prop_assert!(!is_complete, "read as a complete frame");
    }

    // Guards against a decoder whose result depends on more than its input.
    #[test]
    fn reading_the_same_bytes_twice_gives_the_same_result(bytes in vec(any::<u8>(), 0..300)) {
        prop_assert_eq!(scan_frame(&bytes, 0), scan_frame(&bytes, 0));
    }
}

use super::{MAX_DECOMPRESSED, MIN_COMPRESSED, compress, decompress};

fn document(routes: usize) -> Vec<u8> {
    let route = |route: usize| {
        let name = route.wrapping_mul(0x9E37_79B9);
        format!(r#"{{"name":"r-{name:x}","kind":"streaming","timeoutMs":20000,"priority":1}},"#)
    };
    (0..routes).map(route).collect::<String>().into_bytes()
}

// Guards against a configuration of thousands of routes that delays streams on a shared link of
// 20 Mbit/s: compressed, it takes a fraction of the time. Decompression must restore every byte.
#[test]
fn long_document_shrinks_and_decompresses_to_the_same_bytes() {
    for (routes, is_enabled) in [(1, true), (2_000, true), (2_000, false)] {
        let frame = document(routes);
        let sent = compress(&frame, is_enabled);
        let is_compressed = is_enabled && frame.len() >= MIN_COMPRESSED;
        assert_eq!(sent.len() < frame.len() / 3, is_compressed, "{routes}");
        assert_eq!(decompress(&sent).expect("valid frame"), frame, "{routes}");
    }
}

// Guards against exhausted memory: a faulty or hostile peer sends invalid bytes, or bytes that
// claim to decompress to gigabytes.
#[test]
fn invalid_bytes_are_refused_in_bounded_memory() {
    let four_gigabytes = [&[1][..], &u32::MAX.to_be_bytes(), b"xyz"].concat();
    let over_limit = u32::try_from(MAX_DECOMPRESSED + 1)
        .expect("fits")
        .to_be_bytes();
    let over_limit = [&[1][..], &over_limit, b"xyz"].concat();
    let truncated = compress(&document(2_000), true).slice(..900);
    let too_short = [&[1][..], &9_u32.to_be_bytes(), b"\x10a"].concat();
    let cases: [(&str, &[u8]); 7] = [
        ("empty", b""),
        ("unknown mark", b"\x02abc"),
        ("no length", b"\x01\0\0"),
        ("length of four gigabytes", &four_gigabytes),
        ("over the limit", &over_limit),
        ("truncated", &truncated),
        ("shorter than its length", &too_short),
    ];
    for (name, bytes) in cases {
        assert!(decompress(bytes).is_err(), "{name}");
    }
}

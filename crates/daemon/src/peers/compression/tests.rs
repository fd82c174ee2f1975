use super::{COMPRESS_FROM, MAX_DECOMPRESSED, compress, decompress};

fn document(routes: usize) -> Vec<u8> {
    let route = |route: usize| {
        let name = route.wrapping_mul(0x9E37_79B9);
        format!(r#"{{"name":"r-{name:x}","kind":"streaming","timeoutMs":20000,"priority":1}},"#)
    };
    (0..routes).map(route).collect::<String>().into_bytes()
}

// Thousands of routes come at once on a link of 20 Mbit/s that streams use too: packed they take a
// fraction of its time, and they come out to the letter.
#[test]
fn a_long_document_shrinks_and_comes_out_to_the_letter() {
    for (routes, is_worth_it) in [(1, true), (2_000, true), (2_000, false)] {
        let frame = document(routes);
        let sent = compress(&frame, is_worth_it);
        let is_packed = is_worth_it && frame.len() >= COMPRESS_FROM;
        assert_eq!(sent.len() < frame.len() / 3, is_packed, "{routes}");
        assert_eq!(decompress(&sent).expect("unpacks"), frame, "{routes}");
    }
}

// A peer that is broken or hostile sends bytes that claim to unpack to gigabytes, or to nothing.
#[test]
fn foreign_bytes_are_refused_in_bounded_memory() {
    let huge = [&[1][..], &u32::MAX.to_be_bytes(), b"xyz"].concat();
    let over = u32::try_from(MAX_DECOMPRESSED + 1)
        .expect("fits")
        .to_be_bytes();
    let over = [&[1][..], &over, b"xyz"].concat();
    let cut = compress(&document(2_000), true).slice(..900);
    let longer = [&[1][..], &9_u32.to_be_bytes(), b"\x10a"].concat();
    let cases: [(&str, &[u8]); 7] = [
        ("nothing", b""),
        ("unknown mark", b"\x02abc"),
        ("no length", b"\x01\0\0"),
        ("huge", &huge),
        ("over the bound", &over),
        ("cut", &cut),
        ("shorter than it says", &longer),
    ];
    for (name, bytes) in cases {
        assert!(decompress(bytes).is_err(), "{name}");
    }
}

//! Framing of bodies.

use bytes::BytesMut;
use proptest::prelude::*;
use trefoil_http::h1::{Decoded, Decoder, Framing, HeadError, parse_request};

fn request_framing(fields: &str) -> Option<Framing> {
    let mut input = BytesMut::from(format!("POST / HTTP/1.1\r\n{fields}\r\n").as_bytes());
    let head = parse_request(&mut input, 4096).ok()??;
    Framing::of_request(&head).ok()
}

/// Guards against request smuggling: every head whose length could be interpreted in two ways is
/// refused.
#[test]
fn a_request_with_two_readings_is_refused() {
    let refused = [
        "content-length: 5\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 5\r\n",
        "content-length: 5\r\ncontent-length: 6\r\n",
        "content-length: 5, 6\r\n",
        "content-length: +5\r\n",
        "content-length: 0x5\r\n",
        "content-length: -1\r\n",
        "content-length:\r\n",
        "content-length: 99999999999999999999999\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: chunked, identity\r\n",
        "transfer-encoding: xchunked\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding : chunked\r\n",
        "content-length: 5\r\n folded: x\r\n",
    ];
    for fields in refused {
        assert_eq!(request_framing(fields), None, "{fields:?}");
    }
    assert_eq!(request_framing(""), Some(Framing::Empty));
    assert_eq!(
        request_framing("content-length: 5\r\n"),
        Some(Framing::Length(5))
    );
    let twice = "content-length: 5\r\ncontent-length: 5\r\n";
    assert_eq!(request_framing(twice), Some(Framing::Length(5)));
    let chunked = "Transfer-Encoding: Chunked\r\n";
    assert_eq!(request_framing(chunked), Some(Framing::Chunked));
}

/// Decodes pieces as they arrive. Returns the body and the remaining input, or nothing if the body
/// is truncated or invalid.
fn decode(framing: Framing, pieces: &[&[u8]], closed: bool) -> Option<(Vec<u8>, Vec<u8>)> {
    let mut decoder = Decoder::new(framing);
    let (mut input, mut body) = (BytesMut::new(), Vec::new());
    for piece in pieces.iter().copied().chain([&[][..]]) {
        input.extend_from_slice(piece);
        loop {
            match decoder.decode(&mut input, false).ok()? {
                Decoded::Data(data) => body.extend_from_slice(&data),
                Decoded::Incomplete => break,
                Decoded::End => return Some((body, input.to_vec())),
            }
        }
    }
    loop {
        match decoder.decode(&mut input, closed).ok()? {
            Decoded::Data(data) => body.extend_from_slice(&data),
            Decoded::Incomplete => return None,
            Decoded::End => return Some((body, input.to_vec())),
        }
    }
}

fn encode_chunked(chunks: &[Vec<u8>]) -> Vec<u8> {
    let mut out = Vec::new();
    for chunk in chunks.iter().filter(|c| !c.is_empty()) {
        out.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        out.extend(chunk);
        out.extend(b"\r\n");
    }
    out.extend(b"0\r\n\r\n");
    out
}

proptest! {
    /// Guards against a decoded body that depends on how the network splits the input, and against
    /// bytes of the next message that are consumed with it.
    #[test]
    fn a_body_does_not_depend_on_segmentation(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..20), 0..6),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..5),
        rest in prop::collection::vec(any::<u8>(), 0..8),
    ) {
        let body = chunks.concat();
        let length = u64::try_from(body.len()).expect("small");
        let cases = [
            (Framing::Length(length), [&*body, &rest].concat()),
            (Framing::Chunked, [&*encode_chunked(&chunks), &rest].concat()),
        ];
        for (framing, sent) in cases {
            let mut at: Vec<usize> = cuts.iter().map(|c| c.index(sent.len() + 1)).collect();
            at.extend([0, sent.len()]);
            at.sort_unstable();
            let pieces: Vec<&[u8]> = at.windows(2).map(|w| &sent[w[0]..w[1]]).collect();
            let (found, mut left) = decode(framing, &pieces, false).expect("a whole body");
            prop_assert_eq!(&found, &body);
            // Bytes that had not arrived when the body was complete belong to the next message too.
            let used = sent.len() - rest.len();
            let arrived = pieces.iter().scan(0, |sum, p| { *sum += p.len(); Some(*sum) });
            let seen = arrived.into_iter().find(|n| *n >= used).unwrap_or(sent.len());
            left.extend_from_slice(&sent[seen..]);
            prop_assert_eq!(&left, &rest);
        }
    }

    /// Guards against a truncated body that looks complete.
    #[test]
    fn a_truncated_body_is_an_error(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..20), 1..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let body = chunks.concat();
        let length = u64::try_from(body.len()).expect("small");
        let encoded = encode_chunked(&chunks);
        for (framing, sent) in [(Framing::Length(length), &body), (Framing::Chunked, &encoded)] {
            let cut = cut.index(sent.len());
            prop_assert_eq!(decode(framing, &[&sent[..cut]], true), None);
        }
        let (found, left) = decode(Framing::UntilClose, &[&body], true).expect("whole");
        prop_assert_eq!((found, left), (body, Vec::new()));
    }
}

/// Guards against a refusal of a request that is within the limit on its head, and against a process
/// that ends because of a head with very many fields.
#[test]
fn the_number_of_fields_is_limited_by_the_size_of_the_head_only() {
    let head = |count: usize| {
        let fields: Vec<String> = (0..count).map(|n| format!("f{n}: {n}\r\n")).collect();
        let fields = fields.concat();
        BytesMut::from(format!("GET / HTTP/1.1\r\n{fields}\r\n").as_str())
    };
    for count in [1, 100, 101, 1000] {
        let mut input = head(count);
        let size = input.len();
        let parsed = parse_request(&mut input, size).expect("valid");
        assert_eq!(parsed.expect("complete").headers.len(), count);
        let mut input = head(count);
        let parsed = parse_request(&mut input, size - 1);
        assert_eq!(parsed, Err(HeadError::TooLarge), "{count} fields");
    }
    let parsed = parse_request(&mut head(40_000), usize::MAX);
    assert_eq!(parsed, Err(HeadError::TooLarge));
}

/// Guards against a body in chunks that looks complete although the last chunk is missing, and
/// against data that is skipped with an extension of a chunk.
#[test]
fn a_chunk_without_a_size_is_invalid() {
    for line in ["", " ", "\t", ";x", " ;x", "5;\nhello", "0;\n", "0;x\ny"] {
        let sent = format!("3\r\nabc\r\n{line}\r\n\r\n");
        let decoded = decode(Framing::Chunked, &[sent.as_bytes()], true);
        assert_eq!(decoded, None, "{line:?}");
    }
    for line in ["0", "00", "0 ", "0;x", "0 ; x=\"y\""] {
        let sent = format!("3;x\r\nabc\r\n{line}\r\n\r\n");
        let decoded = decode(Framing::Chunked, &[sent.as_bytes()], true);
        assert_eq!(decoded, Some((b"abc".to_vec(), Vec::new())), "{line:?}");
    }
}

/// Guards against bytes that are skipped as trailer fields although they are none, such as the head
/// of another answer.
#[test]
fn a_trailer_that_is_no_field_is_invalid() {
    for line in [
        "HTTP/1.1 200 OK",
        "no field",
        "x y: 1",
        "x : 1",
        " x: 1",
        "x\0y: 1",
        "x\x7f: 1",
        "x: a\0b",
        "x: 1\ny",
        "\nx: 1",
        "\n",
        ": 1",
    ] {
        let sent = format!("3\r\nabc\r\n0\r\nx: 1\r\n{line}\r\n\r\n");
        let decoded = decode(Framing::Chunked, &[sent.as_bytes()], true);
        assert_eq!(decoded, None, "{line:?}");
    }
    let sent = b"3\r\nabc\r\n0\r\nx: 1\r\ny:\r\nx-z:a b\t\r\n\r\nrest";
    let decoded = decode(Framing::Chunked, &[sent], true);
    assert_eq!(decoded, Some((b"abc".to_vec(), b"rest".to_vec())));
}

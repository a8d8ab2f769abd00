//! Tests of the HTTP response parser: arbitrary input, bodies that arrive in pieces, and the evaluated headers.

mod property;

use bellsill_net::http::{self, Body};
use bellsill_net::ring_buffer::RingBuffer;
use property::check;
use std::time::{Duration, Instant};

#[test]
fn arbitrary_bytes_do_not_panic_the_parser() {
    fn property(arbitrary: Vec<u8>, mut patterned: Vec<u8>) -> bool {
        // Repeated RESP commands in which about one byte in eight stays random, meant to get the parser past the first
        // bytes.
        for (i, pattern) in b"*2\r\n$3\r\nabc\r\n$1\r\n"
            .iter()
            .cycle()
            .take(patterned.len())
            .enumerate()
        {
            if !patterned[i].is_multiple_of(8) {
                patterned[i] = *pattern;
            }
        }
        for bytes in [&arbitrary, &patterned] {
            let mut buffer = RingBuffer::new(64 * 1024);
            buffer.push(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n");
            buffer.push(bytes);
            if let Ok(Some(mut head)) = http::take_response_head(&mut buffer) {
                head.body.take(&mut buffer, |_| {}).ok();
            }
            let mut buffer = RingBuffer::new(64 * 1024);
            buffer.push(bytes);
            Body::Chunked(0).take(&mut buffer, |_| {}).ok();
        }
        true
    }
    check(500, property as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn a_body_decodes_the_same_for_any_chunk_sizes_and_read_sizes() {
    fn property(chunks: Vec<Vec<u8>>, read_sizes: Vec<u8>, chunked: bool) -> bool {
        let content: Vec<u8> = chunks.concat();
        let mut wire = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n".to_vec();
        if chunked {
            wire.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            for chunk in chunks.iter().filter(|chunk| !chunk.is_empty()) {
                wire.extend(
                    format!("{:x};x=y\r\n", chunk.len())
                        .bytes()
                        .chain(chunk.iter().copied())
                        .chain(*b"\r\n"),
                );
            }
            wire.extend(b"0\r\nTrailer: t\r\n\r\n");
        } else {
            wire.extend(format!("Content-Length: {}\r\n\r\n", content.len()).bytes());
            wire.extend(&content);
        }
        wire.extend(b"NEXT");
        let (mut buffer, mut head, mut decoded) =
            (RingBuffer::new(1 << 20), None, Vec::<u8>::new());
        let mut sizes = read_sizes.iter().cycle();
        let mut unread = wire.as_slice();
        while !unread.is_empty() {
            let n = sizes
                .next()
                .map_or(1, |n| usize::from(*n) + 1)
                .min(unread.len());
            buffer.push(&unread[..n]);
            unread = &unread[n..];
            if head.is_none() {
                head = http::take_response_head(&mut buffer).unwrap();
            }
            if let Some(head) = &mut head {
                head.body
                    .take(&mut buffer, |bytes| decoded.extend(bytes))
                    .unwrap();
            }
        }
        let head = head.unwrap();
        head.body == Body::Done
            && !head.closes_connection
            && decoded == content
            && buffer.make_contiguous() == b"NEXT"
    }
    check(200, property as fn(Vec<Vec<u8>>, Vec<u8>, bool) -> bool);
}

#[test]
fn retry_after_accepts_fractional_seconds() {
    let mut buffer = RingBuffer::new(1000);
    buffer.push(
        b"HTTP/1.1 429 Busy\r\nretry-after: 0.25\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    );
    let head = http::take_response_head(&mut buffer).unwrap().unwrap();
    assert_eq!(
        (
            head.status,
            head.retry_after,
            head.closes_connection,
            head.no_capacity
        ),
        (429, Some(250_000_000), true, false)
    );
}

#[test]
fn a_load_report_has_a_limit_or_is_invalid() {
    let parse = |headers: &str| {
        let mut buffer = RingBuffer::new(1000);
        buffer.push(format!("HTTP/1.1 503 Busy\r\n{headers}Content-Length: 0\r\n\r\n").as_bytes());
        http::take_response_head(&mut buffer)
            .unwrap()
            .unwrap()
            .load_report
    };
    let report = |value: &str| parse(&format!("endpoint-load-metrics: {value}\r\n"));
    assert_eq!(parse(""), None);
    assert_eq!(
        (report("x0=0.4,x1=25"), report("x1=0")),
        (Some(Ok(25.0)), Some(Ok(0.0)))
    );
    for invalid in [
        "", "x0=0.4", "x1=", "x1=-1", "x1=NaN", "x1=inf", "x1=2e9", "x11=3", "x1:25",
    ] {
        assert_eq!(
            report(invalid),
            Some(Err(http::InvalidLoadReport)),
            "{invalid}"
        );
    }
}

/// Feeds a head to the parser in pieces of this length. Returns the first result other than "incomplete".
fn parse_in_pieces(
    head: &[u8],
    piece_bytes: usize,
) -> Result<Option<http::ResponseHead>, http::MalformedResponse> {
    let mut buffer = RingBuffer::new(64 * 1024);
    for piece in head.chunks(piece_bytes) {
        assert!(buffer.push(piece));
        match http::take_response_head(&mut buffer) {
            Ok(None) => {}
            result => return result,
        }
    }
    Ok(None)
}

/// Guards against a head that is read differently because of where its pieces end.
#[test]
fn a_head_in_pieces_is_the_same_head() {
    let heads: [&[u8]; 7] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
        b"HTTP/1.1 200 OK\nContent-Length: 5\n\n",
        b"\r\n\n\r\nHTTP/1.1 429 Full\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nbad header\r\n\r\n",
        b"HTTP/1.1 2x0 OK\r\n\r\n",
        b"\x01\r\n\r\n",
    ];
    for head in heads {
        let whole = parse_in_pieces(head, head.len());
        assert_ne!(whole, Ok(None));
        for piece_bytes in 1..head.len() {
            assert_eq!(parse_in_pieces(head, piece_bytes), whole, "{piece_bytes}");
        }
    }
}

/// Guards against a head whose reading costs time quadratic in its pieces.
#[test]
fn heads_and_chunk_lines_that_arrive_byte_by_byte_are_read_in_linear_time() {
    // A reader that begins anew for each byte looks at 130 million bytes and more for each of the inputs.
    const ROUNDS: usize = 20;
    const TIME_LIMIT: Duration = Duration::from_secs(2);
    const LENGTH: usize = 16 * 1024 - 100;
    let started = Instant::now();
    let short_fields = "a: b\r\n".repeat(60);
    let long_field = format!("a: {}", "b".repeat(LENGTH));
    let many_line_ends = "\r\n".repeat(LENGTH / 2);
    let many_heads = "HTTP/1.1 102 Wait\r\n\r\n".repeat(LENGTH / 21);
    for head in [
        format!("HTTP/1.1 200 {}\r\n\r\n", "x".repeat(LENGTH)),
        format!("HTTP/1.1 200 OK\r\n{long_field}\r\n\r\n"),
        format!(
            "HTTP/1.1 200 OK\r\n{short_fields}{}\r\n\r\n",
            &long_field[..LENGTH - short_fields.len()]
        ),
        format!("{many_line_ends}HTTP/1.1 200 OK\r\n\r\n"),
        format!("{many_heads}HTTP/1.1 200 OK\r\n\r\n"),
    ] {
        for _ in 0..ROUNDS {
            let parsed = parse_in_pieces(head.as_bytes(), 1).unwrap().unwrap();
            assert_eq!(parsed.status, 200);
        }
    }
    let chunk_lines = format!("0;{}\r\n\r\n", "x".repeat(LENGTH));
    for _ in 0..ROUNDS {
        let mut buffer = RingBuffer::new(64 * 1024);
        let mut body = Body::Chunked(0);
        for byte in chunk_lines.bytes() {
            assert!(buffer.push(&[byte]));
            body.take(&mut buffer, |_| {}).unwrap();
        }
        assert_eq!(body, Body::Done);
    }
    assert!(started.elapsed() < TIME_LIMIT, "{:?}", started.elapsed());
}

//! The parser of HTTP responses: random input in random pieces, and the headers that it reads.

mod property;

use bellsill_net::http::{self, Body};
use bellsill_net::ring_buffer::RingBuffer;
use property::check;

#[test]
fn arbitrary_bytes_do_not_panic_the_parser() {
    fn property(bytes: Vec<u8>, mut similar: Vec<u8>) -> bool {
        // Like commands but for a few bytes, so that the parser gets past the first ones.
        for (i, pattern) in b"*2\r\n$3\r\nabc\r\n$1\r\n"
            .iter()
            .cycle()
            .take(similar.len())
            .enumerate()
        {
            if !similar[i].is_multiple_of(8) {
                similar[i] = *pattern;
            }
        }
        for bytes in [&bytes, &similar] {
            let mut ring = RingBuffer::new(64 * 1024);
            ring.push(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n");
            ring.push(bytes);
            if let Ok(Some(mut head)) = http::take_response_head(&mut ring) {
                head.body.take(&mut ring, |_| {}).ok();
            }
            let mut ring = RingBuffer::new(64 * 1024);
            ring.push(bytes);
            Body::Chunked(0).take(&mut ring, |_| {}).ok();
        }
        true
    }
    check(500, property as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn a_body_is_read_the_same_however_it_is_chunked_and_split() {
    fn property(parts: Vec<Vec<u8>>, pieces: Vec<u8>, chunked: bool) -> bool {
        let content: Vec<u8> = parts.concat();
        let mut wire = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n".to_vec();
        if chunked {
            wire.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            for part in parts.iter().filter(|p| !p.is_empty()) {
                wire.extend(
                    format!("{:x};x=y\r\n", part.len())
                        .bytes()
                        .chain(part.iter().copied())
                        .chain(*b"\r\n"),
                );
            }
            wire.extend(b"0\r\nTrailer: t\r\n\r\n");
        } else {
            wire.extend(format!("Content-Length: {}\r\n\r\n", content.len()).bytes());
            wire.extend(&content);
        }
        wire.extend(b"NEXT");
        let (mut ring, mut head, mut read) = (RingBuffer::new(1 << 20), None, Vec::<u8>::new());
        let mut sizes = pieces.iter().cycle();
        let mut rest = wire.as_slice();
        while !rest.is_empty() {
            let n = sizes
                .next()
                .map_or(1, |n| usize::from(*n) + 1)
                .min(rest.len());
            ring.push(&rest[..n]);
            rest = &rest[n..];
            if head.is_none() {
                head = http::take_response_head(&mut ring).unwrap();
            }
            if let Some(head) = &mut head {
                head.body
                    .take(&mut ring, |bytes| read.extend(bytes))
                    .unwrap();
            }
        }
        let head = head.unwrap();
        head.body == Body::Done
            && !head.closes_connection
            && read == content
            && ring.make_contiguous() == b"NEXT"
    }
    check(200, property as fn(Vec<Vec<u8>>, Vec<u8>, bool) -> bool);
}

#[test]
fn retry_after_is_read_with_its_decimals() {
    let mut ring = RingBuffer::new(1000);
    ring.push(
        b"HTTP/1.1 429 Busy\r\nretry-after: 0.25\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    );
    let head = http::take_response_head(&mut ring).unwrap().unwrap();
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
    let report = |text: &str| {
        let mut ring = RingBuffer::new(1000);
        ring.push(format!("HTTP/1.1 503 Busy\r\n{text}Content-Length: 0\r\n\r\n").as_bytes());
        http::take_response_head(&mut ring)
            .unwrap()
            .unwrap()
            .load_report
    };
    let named = |value: &str| report(&format!("endpoint-load-metrics: {value}\r\n"));
    assert_eq!(report(""), None);
    assert_eq!(
        (named("x0=0.4,x1=25"), named("x1=0")),
        (Some(Ok(25.0)), Some(Ok(0.0)))
    );
    for bad in [
        "", "x0=0.4", "x1=", "x1=-1", "x1=NaN", "x1=inf", "x1=2e9", "x11=3", "x1:25",
    ] {
        assert_eq!(named(bad), Some(Err(http::InvalidLoadReport)), "{bad}");
    }
}

//! Heads of responses that follow one that does not match its request.

use hyper::StatusCode;
use teaselglade_host::upstream::ResponseScanner;

const REFUSAL: &str = "HTTP/1.1 503 Full\r\nretry-after: 20\r\ncontent-length: 0\r\n\r\n";

/// Responses that a server may write before its refusal.
const EXTRA: [&str; 5] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\r\n\r\n\r\na;x=1\r\n0123456789\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: 1\r\n\r\n",
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nno",
];

fn heads(bytes: &[u8], part: usize) -> Vec<(StatusCode, bool)> {
    let mut scanner = ResponseScanner::default();
    let mut heads = Vec::new();
    for part in bytes.chunks(part) {
        scanner.push(part);
        while let Some((status, headers)) = scanner.next_head() {
            heads.push((status, headers.contains_key("retry-after")));
        }
    }
    heads
}

#[test]
fn a_refusal_behind_any_extra_response_is_found_however_its_bytes_arrive() {
    for extra in EXTRA {
        let bytes = format!("{extra}{REFUSAL}");
        for part in 1..=bytes.len() {
            let heads = heads(bytes.as_bytes(), part);
            assert_eq!(heads.len(), 2, "{extra:?} in parts of {part}");
            assert_eq!(heads[1], (StatusCode::SERVICE_UNAVAILABLE, true));
        }
    }
}

#[test]
fn nothing_is_read_behind_bytes_that_are_no_response() {
    for extra in [
        "garbage\r\n\r\n",
        "HTTP/1.1 abc\r\n\r\n",
        "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 700 Odd\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nOdd Header: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno header\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
    ] {
        let mut scanner = ResponseScanner::default();
        scanner.push(format!("{extra}{REFUSAL}").as_bytes());
        while let Some((status, _)) = scanner.next_head() {
            assert_eq!(status, StatusCode::OK, "{extra:?}");
        }
        assert!(scanner.has_ended(), "{extra:?}");
    }
}

#[test]
fn responses_with_any_spoiled_byte_are_scanned_to_an_end() {
    for extra in EXTRA {
        let bytes = format!("{extra}{REFUSAL}").into_bytes();
        for place in 0..bytes.len() {
            for spoiled in [0, b'\r', b'\n', b'9', b':', 0xff] {
                let mut bytes = bytes.clone();
                bytes[place] = spoiled;
                assert!(heads(&bytes, 7).len() <= 2, "{extra:?} at {place}");
            }
        }
    }
}

/// Guards against time spent on a server that writes a head without an end.
#[test]
fn a_head_or_a_line_without_an_end_ends_the_scan() {
    for start in [
        "HTTP/1.1 200 OK\r\nX-Odd: ",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    ] {
        let mut scanner = ResponseScanner::default();
        scanner.push(start.as_bytes());
        let mut parts = 0;
        while !scanner.has_ended() {
            scanner.push(&[b'1'; 4_096]);
            let _head_of_the_chunks = scanner.next_head();
            parts += 1;
            assert!(parts <= 17, "{start:?}");
        }
    }
}

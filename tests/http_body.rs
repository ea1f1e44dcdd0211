//! Body decoding and encoding: chunk syntax, limits, and the same result for any split of the
//! input.

use curranthollow::http::{
    BodyDecoder, BodyFraming, HttpLimits, RequestHead, ResponseHead, encode_chunk,
    encode_last_chunk,
};

/// Result of decoding an input.
#[derive(Debug, PartialEq, Eq)]
struct Decoded {
    data: Vec<u8>,
    /// Number of bytes after the end of the body, or the error; `None` if the body is incomplete.
    end: Option<Result<usize, String>>,
}

/// Decodes `input` split into pieces of the given sizes; the last size repeats.
fn decode(framing: BodyFraming, input: &[u8], piece_sizes: &[usize]) -> Decoded {
    let mut decoder = BodyDecoder::new(framing);
    let mut data = Vec::new();
    let mut start = 0;
    let mut available = 0;
    let mut next_sizes = piece_sizes.iter().copied();
    loop {
        let unread = &input[start..available];
        let step = match decoder.decode(unread) {
            Ok(step) => step,
            Err(error) => return Decoded { data, end: Some(Err(error.to_string())) },
        };
        assert!(step.data.end <= step.consumed && step.consumed <= unread.len());
        data.extend_from_slice(&unread[step.data]);
        start += step.consumed;
        if decoder.is_complete() {
            return Decoded { data, end: Some(Ok(input.len() - start)) };
        }
        if step.consumed > 0 {
            continue;
        }
        if available == input.len() {
            return Decoded { data, end: None };
        }
        let size =
            next_sizes.next().unwrap_or(*piece_sizes.last().expect("there is a size")).max(1);
        available = (available + size).min(input.len());
    }
}

/// Guards against accepting chunk syntax that servers interpret differently (request smuggling).
#[yare::parameterized(
    simple = { b"3\r\nabc\r\n0\r\n\r\n", "abc", Ok(0) },
    two_chunks = { b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "abcde", Ok(0) },
    upper_case = { b"A\r\n0123456789\r\n0\r\n\r\n", "0123456789", Ok(0) },
    leading_zeros = { b"0003\r\nabc\r\n000\r\n\r\n", "abc", Ok(0) },
    extension = { b"3;a=b\r\nabc\r\n0;c\r\n\r\n", "abc", Ok(0) },
    trailer = { b"3\r\nabc\r\n0\r\nA: b\r\nC: d\r\n\r\n", "abc", Ok(0) },
    bytes_after_body = { b"3\r\nabc\r\n0\r\n\r\nGET /", "abc", Ok(5) },
    overflow = { b"10000000000000003\r\nabc\r\n", "", Err("invalid body framing: invalid chunk size") },
    negative = { b"-3\r\nabc\r\n", "", Err("invalid body framing: invalid chunk size") },
    plus = { b"+3\r\nabc\r\n", "", Err("invalid body framing: invalid chunk size") },
    prefix = { b"0x3\r\nabc\r\n", "", Err("invalid body framing: invalid chunk size") },
    empty_size = { b"\r\nabc\r\n", "", Err("invalid body framing: invalid chunk size") },
    only_extension = { b";a\r\nabc\r\n", "", Err("invalid body framing: invalid chunk size") },
    leading_space = { b" 3\r\nabc\r\n", "", Err("invalid body framing: invalid chunk size") },
    form_feed = { b"3\x0c\r\nabc\r\n", "", Err("invalid body framing: invalid chunk size") },
    bare_lf = { b"3\nabc\r\n", "", Err("invalid body framing: chunk line ends without CR") },
    two_cr = { b"3\r\r\nabc\r\n", "", Err("invalid body framing: CR inside a chunk line or trailer") },
    cr_in_extension = { b"3;a\rb\r\nabc\r\n", "", Err("invalid body framing: CR inside a chunk line or trailer") },
    bare_lf_in_extension = { b"3;a\nb\r\nabc\r\n", "", Err("invalid body framing: chunk line ends without CR") },
    too_long = { b"3\r\nabcd\r\n0\r\n\r\n", "abc", Err("invalid body framing: chunk is longer than its size") },
    missing_crlf = { b"3\r\nabc0\r\n\r\n", "abc", Err("invalid body framing: chunk is longer than its size") },
    lf_after_data = { b"3\r\nabc\n0\r\n\r\n", "abc", Err("invalid body framing: chunk is longer than its size") },
    bare_lf_in_trailer = { b"0\r\nA: b\n\r\n", "", Err("invalid body framing: chunk line ends without CR") },
)]
fn chunked_bodies_decode(input: &[u8], data: &str, end: Result<usize, &str>) {
    let expected =
        Decoded { data: data.as_bytes().to_vec(), end: Some(end.map_err(str::to_owned)) };
    assert_eq!(decode(BodyFraming::Chunked, input, &[input.len()]), expected);
    assert_eq!(decode(BodyFraming::Chunked, input, &[1]), expected);
}

/// Guards against reporting a truncated body as complete.
#[test]
fn truncated_bodies_are_incomplete() {
    let input = b"3;x\r\nabc\r\n0\r\nA: b\r\n\r\n";
    for length in 0..input.len() {
        let decoded = decode(BodyFraming::Chunked, &input[..length], &[length.max(1)]);
        assert_eq!(decoded.end, None, "after {length} bytes");
    }
    assert_eq!(decode(BodyFraming::Length(4), b"abc", &[3]).end, None);
    let unsplit = Decoded { data: b"abc".to_vec(), end: Some(Ok(2)) };
    assert_eq!(decode(BodyFraming::Length(3), b"abcde", &[5]), unsplit);
}

/// Guards against unlimited buffering of chunk lines and trailers.
#[yare::parameterized(
    long_line = { format!("3;{}\r\nabc\r\n0\r\n\r\n", "x".repeat(300)) },
    endless_line = { "3".to_owned() + &" ".repeat(300) },
    long_trailer = { format!("0\r\nA: {}\r\n\r\n", "x".repeat(9000)) },
    many_trailers = { format!("0\r\n{}\r\n", "A:b\r\n".repeat(1700)) },
    tiny_trailers = { format!("0\r\n{}\r\n", "A\r\n".repeat(2800)) },
)]
fn oversized_chunk_lines_are_rejected(input: String) {
    let error = "invalid body framing: chunk line or trailer too long".to_owned();
    for piece_size in [1, 7, input.len()] {
        let decoded = decode(BodyFraming::Chunked, input.as_bytes(), &[piece_size]);
        assert_eq!(decoded.end, Some(Err(error.clone())), "pieces of {piece_size}");
    }
}

/// Guards against encoded chunks that do not decode to the original data.
#[test]
fn encoded_chunks_decode() {
    let mut output = Vec::new();
    encode_chunk(b"", &mut output);
    encode_chunk(b"hello", &mut output);
    encode_chunk(&[7; 70_000], &mut output);
    encode_last_chunk(&mut output);
    let decoded = decode(BodyFraming::Chunked, &output, &[1000]);
    assert_eq!(decoded.end, Some(Ok(0)));
    assert_eq!(decoded.data.len(), 70_005);
}

const REQUESTS: [&[u8]; 4] = [
    b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nsome bodyGET / HTTP/1.1\r\n",
    b"POST /a?b=c HTTP/1.1\r\nHost: a:1\r\nTransfer-Encoding: chunked\r\nX: \xe4\r\n\r\n\
      4\r\nsome\r\n5;x=y\r\n body\r\n0\r\nT: u\r\n\r\nGET ",
    b"GET http://b/c HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    b"PUT / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
];

const RESPONSES: [&[u8]; 3] = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome bodyHTTP/1.1 ",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nsome body\r\n0\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\nA: b\r\n\r\n",
];

/// Bytes with a meaning in the message syntax or at the borders of character classes.
const SPECIAL_BYTES: &[u8] = b"\r\n\r\n\0 \t:;,+-0129aAfF\x7f\x80\xff/";

/// Applies up to three random changes to a valid message.
fn mutate(random: &mut fastrand::Rng, valid: &[u8]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for _ in 0..random.usize(0..4) {
        if bytes.is_empty() {
            break;
        }
        let position = random.usize(0..bytes.len());
        let special_byte = SPECIAL_BYTES[random.usize(0..SPECIAL_BYTES.len())];
        match random.u8(0..6) {
            0 => bytes[position] = special_byte,
            1 => bytes[position] = random.u8(..),
            2 => bytes.insert(position, special_byte),
            3 => drop(bytes.remove(position)),
            4 => bytes.truncate(position.max(1)),
            _ => {
                let end = (position + random.usize(1..40)).min(bytes.len());
                let copy = bytes[position..end].to_vec();
                bytes.extend_from_slice(&copy);
            }
        }
    }
    bytes
}

/// Parses a message from input that arrives in pieces; describes the head and the body, or the
/// error.
fn parse_message(input: &[u8], piece_sizes: &[usize], is_request: bool) -> String {
    let limits = HttpLimits::default();
    let mut next_sizes = piece_sizes.iter().copied();
    let mut available = 0;
    loop {
        let size = next_sizes.next().unwrap_or(*piece_sizes.last().expect("there is a size"));
        available = (available + size).min(input.len());
        let parsed = if is_request {
            RequestHead::parse(&input[..available], &limits).map(|parsed| {
                parsed.map(|(head, length)| (format!("{head:?}"), head.framing, length))
            })
        } else {
            ResponseHead::parse(&input[..available], &limits).and_then(|parsed| {
                let Some((head, length)) = parsed else {
                    return Ok(None);
                };
                let framing = BodyFraming::of_response("GET", &head)?;
                Ok(Some((format!("{head:?}"), framing, length)))
            })
        };
        match parsed {
            Err(error) => return error.to_string(),
            Ok(None) if available == input.len() => return "incomplete".into(),
            Ok(None) => continue,
            Ok(Some((head, framing, length))) => {
                let decoded = decode(framing, &input[length..], piece_sizes);
                if let Some(size) = framing.declared_size() {
                    assert!(decoded.data.len() as u64 <= size);
                }
                assert!(decoded.data.len() <= input.len() - length);
                return format!("{head} {decoded:?}");
            }
        }
    }
}

/// Guards against panics on malformed input, against body data beyond the declared size, and
/// against a result that depends on how the network splits the input.
#[test]
fn mutated_messages_parse_the_same_for_any_split() {
    let mut random = fastrand::Rng::with_seed(20_261_204);
    for iteration in 0..20_000 {
        let is_request = iteration % 2 == 0;
        let valid = if is_request {
            REQUESTS[random.usize(0..REQUESTS.len())]
        } else {
            RESPONSES[random.usize(0..RESPONSES.len())]
        };
        let input = mutate(&mut random, valid);
        let unsplit = parse_message(&input, &[input.len()], is_request);
        let piece_sizes: Vec<usize> = (0..8).map(|_| random.usize(1..30)).collect();
        let split = parse_message(&input, &piece_sizes, is_request);
        assert_eq!(unsplit, split, "iteration {iteration}: {:?}", input.escape_ascii().to_string());
        if iteration % 10 == 0 {
            assert_eq!(unsplit, parse_message(&input, &[1], is_request), "iteration {iteration}");
        }
    }
}

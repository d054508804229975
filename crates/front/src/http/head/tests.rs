use yare::parameterized;

use super::{RequestHead, ResponseHead};

// Guards against ORDER: any three digits passed for a status.
#[parameterized(
    zero = { "000", "", false },
    below = { "099", "", false },
    interim = { "103", "", true },
    final_interim = { "103", "Content-Length: 0\r\n", false },
    chunked_interim = { "100", "Transfer-Encoding: chunked\r\n", false },
    switching = { "101", "", false },
    highest = { "599", "", true },
    above = { "600", "", false },
    far_above = { "999", "", false },
)]
fn only_statuses_that_exist_are_parsed(status: &str, header: &str, is_valid: bool) {
    let text = format!("HTTP/1.1 {status} X\r\n{header}\r\n");

    let parsed = ResponseHead::parse(text.as_bytes(), false);

    assert_eq!(parsed.is_ok_and(|head| head.is_some()), is_valid);
}

/// Whether heads of a request, a response and an interim response that have a line among others are rejected.
fn are_rejected(line: &[u8], is_first: bool) -> [bool; 3] {
    let other = b"Other: 1\r\n";
    let (before, after): (&[u8], &[u8]) = if is_first { (b"", other) } else { (other, b"") };
    let head = |start: &str| [start.as_bytes(), before, line, b"\r\n", after, b"\r\n"].concat();
    [
        RequestHead::parse(&head("GET /x HTTP/1.1\r\n")).is_err(),
        ResponseHead::parse(&head("HTTP/1.1 200 OK\r\n"), false).is_err(),
        ResponseHead::parse(&head("HTTP/1.1 103 Early Hints\r\n"), false).is_err(),
    ]
}

// Guards against MIXED: a name of a header with a space or a control character passed on to a caller.
#[test]
fn header_name_with_a_space_or_a_control_character_is_malformed() {
    let bytes = (0..=b' ').chain([0x7f]);
    for byte in bytes.filter(|byte| *byte != b'\n') {
        for (before, after) in [(&b""[..], &b"Odd"[..]), (b"Od", b"d"), (b"Odd", b"")] {
            let line = [before, &[byte], after, b": 1"].concat();
            for is_first in [true, false] {
                assert_eq!(are_rejected(&line, is_first), [true; 3], "{line:?}");
            }
        }
    }
}

#[parameterized(
    empty = { b": 1" },
    without_colon = { b"Odd" },
    line_feed = { b"O\ndd: 1" },
    bare_carriage_return_in_value = { b"Odd: 1\r2" },
    separator = { b"Od(d: 1" },
    beyond_ascii = { b"Od\xc3\xa9: 1" },
    folded_value = { b"Odd: 1\r\n 2" },
    folded_value_by_tab = { b"Odd: 1\r\n\t2" },
    control_character_in_value = { b"Odd: 1\x002" },
)]
fn malformed_header_line_is_rejected(line: &[u8]) {
    for is_first in [true, false] {
        assert_eq!(are_rejected(line, is_first), [true; 3]);
    }
}

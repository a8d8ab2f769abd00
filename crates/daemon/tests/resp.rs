//! Property tests of the parser of client commands.

mod property;

use bellsill_daemon::client::resp;
use property::check;

#[test]
fn a_command_is_parsed_once_it_is_complete() {
    fn property(arguments: Vec<Vec<u8>>, cut: usize, rest: Vec<u8>) -> bool {
        let arguments = &arguments[..arguments.len().min(64)];
        let mut bytes = format!("*{}\r\n", arguments.len()).into_bytes();
        for argument in arguments {
            bytes.extend(
                format!("${}\r\n", argument.len())
                    .bytes()
                    .chain(argument.iter().copied())
                    .chain(*b"\r\n"),
            );
        }
        let complete = bytes.len();
        assert_eq!(resp::parse_command(&bytes[..cut % complete]), Ok(None));
        bytes.extend(rest);
        let (ranges, consumed) = resp::parse_command(&bytes).unwrap().unwrap();
        consumed == complete
            && ranges
                .iter()
                .map(|r| &bytes[r.clone()])
                .eq(arguments.iter().map(Vec::as_slice))
    }
    check(200, property as fn(Vec<Vec<u8>>, usize, Vec<u8>) -> bool);
}

#[test]
fn arbitrary_bytes_do_not_panic_the_parser() {
    fn property(bytes: Vec<u8>, mut similar: Vec<u8>) -> bool {
        // A command with a few bytes changed, so that the parser gets past the first line.
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
            resp::parse_command(bytes).ok();
        }
        true
    }
    check(500, property as fn(Vec<u8>, Vec<u8>) -> bool);
}

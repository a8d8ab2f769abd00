//! Reads header fields of HTTP requests for the simulated servers.

/// Returns the value of the first header with this name, compared without regard to case.
pub(crate) fn header<'b>(head: &httparse::Request<'_, 'b>, name: &str) -> Option<&'b [u8]> {
    head.headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case(name))
        .map(|h| h.value)
}

/// Returns the value of `Content-Length`; `None` if it is missing or not a number.
pub(crate) fn content_length(head: &httparse::Request) -> Option<usize> {
    std::str::from_utf8(header(head, "content-length")?)
        .ok()?
        .trim()
        .parse()
        .ok()
}

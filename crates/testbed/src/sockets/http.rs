//! What the stand-ins read of HTTP heads.

/// The value of a header of this name.
pub(crate) fn header<'b>(head: &httparse::Request<'_, 'b>, name: &str) -> Option<&'b [u8]> {
    head.headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case(name))
        .map(|h| h.value)
}

/// The length of the body; none where it is missing or no number.
pub(crate) fn content_length(head: &httparse::Request) -> Option<usize> {
    std::str::from_utf8(header(head, "content-length")?)
        .ok()?
        .trim()
        .parse()
        .ok()
}

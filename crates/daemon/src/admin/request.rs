//! The codec of admin requests.

/// The longest endpoint id taken.
pub const MAX_ENDPOINT_ID_BYTES: usize = 256;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    Ready,
    ShowStat,
    Disable(String),
    Enable(String),
    Drain,
    Resume,
}

/// Reads one call, without its line end. What is wrong is said in words for the `FAILURE` line.
pub fn parse(line: &[u8]) -> Result<Request, String> {
    let text = std::str::from_utf8(line).map_err(|_| "the call is not UTF-8".to_string())?;
    let mut words = text.split_ascii_whitespace();
    let Some(name) = words.next() else {
        return Err("an empty call".into());
    };
    let id = words.next();
    if let Some(extra) = words.next() {
        return Err(format!("`{name}` takes no word `{}`", extra.escape_debug()));
    }
    let needs_id = |id: Option<&str>| match id {
        None => Err(format!("`{name}` needs an endpoint id")),
        Some(id) if id.len() > MAX_ENDPOINT_ID_BYTES => Err(format!(
            "an endpoint id is {MAX_ENDPOINT_ID_BYTES} bytes at most"
        )),
        Some(id) => Ok(id.to_string()),
    };
    let plain = |call: Request| match id {
        Some(extra) => Err(format!("`{name}` takes no word `{}`", extra.escape_debug())),
        None => Ok(call),
    };
    match name {
        "ready" => plain(Request::Ready),
        "show-stat" => plain(Request::ShowStat),
        "drain" => plain(Request::Drain),
        "resume" => plain(Request::Resume),
        "disable-server" => needs_id(id).map(Request::Disable),
        "enable-server" => needs_id(id).map(Request::Enable),
        _ => Err(format!("unknown call `{}`", name.escape_debug())),
    }
}

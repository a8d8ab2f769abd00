//! Listeners that stand in for external systems, and a reader for HTTP requests.

use crate::wait::wait_for;
use std::io::{BufRead, BufReader, Read};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Reads one HTTP request, and returns the lines of its head and its body, or `None` if the connection is closed.
pub fn request(from: &mut BufReader<TcpStream>) -> Option<(Vec<String>, Vec<u8>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => break,
            text => lines.push(text.to_string()),
        }
    }
    let length = lines
        .iter()
        .find_map(|l| l.strip_prefix("Content-Length: "))
        .map_or(0, |n| n.parse().unwrap());
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((lines, body))
}

/// Listens on a free loopback port, runs `serve` in a new thread for each connection, and returns the address.
pub fn stand_in(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    addr
}

/// Returns a listener with a full backlog, and the connection that fills it. Further connections are established only
/// when the backlog has room.
pub fn full_backlog() -> (TcpListener, TcpStream) {
    let listener = listen_with_backlog(1);
    let pending = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener, pending)
}

/// Returns a listener whose backlog holds this many connections that have not been accepted.
pub fn listen_with_backlog(connections: i32) -> TcpListener {
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    listener
        .bind(
            &"127.0.0.1:0"
                .parse::<std::net::SocketAddr>()
                .unwrap()
                .into(),
        )
        .unwrap();
    listener.listen(connections - 1).unwrap();
    listener.into()
}

/// Waits for the next connection, and sets its read timeout to one minute.
pub fn accept(listener: &TcpListener) -> BufReader<TcpStream> {
    listener.set_nonblocking(true).unwrap();
    let mut next = None;
    wait_for("a connection", || {
        next = listener.accept().ok();
        next.is_some()
    });
    let stream = next.unwrap().0;
    stream.set_nonblocking(false).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(60)))
        .unwrap();
    BufReader::new(stream)
}

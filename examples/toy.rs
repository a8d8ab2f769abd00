//! A stub environment for a dispatcher started with `examples/config.json`: the platform, which serves discovery and
//! receives notifications, and three endpoints.
//!
//!     cargo run --example toy                        runs the stub servers and prints the requests they receive
//!     cargo run --example toy put notice 7 hello     submits one message: queue class, destination, body
//!
//! The first word of the body selects the endpoint's response: `refuse` 429, `fail` 500, `hang` no response, `break` a
//! closed connection, anything else 200.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const DISPATCHER_ADDR: &str = "127.0.0.1:6379";
const PLATFORM_ADDR: &str = "127.0.0.1:7100";
const ENDPOINT_ADDRS: [&str; 3] = ["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"];

/// The request line, the headers and the body of an HTTP request.
type Request = (String, Vec<String>, Vec<u8>);

fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        match line.trim_end() {
            "" => break,
            text => lines.push(text.to_string()),
        }
    }
    let content_length = |header: &String| {
        header
            .to_ascii_lowercase()
            .strip_prefix("content-length:")
            .map(|value| value.trim().parse())
    };
    let length = lines
        .iter()
        .find_map(content_length)
        .and_then(Result::ok)
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((lines.remove(0), lines, body)))
}

fn serve_endpoint(name: &str, stream: TcpStream) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((_, headers, body)) = read_request(&mut reader)? {
        let body = String::from_utf8_lossy(&body).into_owned();
        println!(
            "endpoint {name} received {body:?} with headers {}",
            headers.join(", ")
        );
        let response = match body.split(' ').next() {
            Some("refuse") => "429 Too Many Requests\r\nRetry-After: 0.5",
            Some("fail") => "500 Internal Server Error",
            Some("hang") => continue,
            Some("break") => return Ok(()),
            _ => "200 OK",
        };
        write!(writer, "HTTP/1.1 {response}\r\nContent-Length: 0\r\n\r\n")?;
    }
    Ok(())
}

fn serve_platform(stream: TcpStream) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((request_line, _, body)) = read_request(&mut reader)? {
        if request_line.starts_with("POST /v2/finals") {
            print!(
                "platform received notification {}",
                String::from_utf8_lossy(&body)
            );
            write!(writer, "HTTP/1.1 204 No Content\r\n\r\n")?;
            continue;
        }
        // Any other request starts a watch. It carries only heartbeats, so the dispatcher keeps the endpoint list from
        // its configuration.
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        loop {
            write!(writer, "1\r\n\n\r\n")?;
            std::thread::sleep(Duration::from_secs(2));
        }
    }
    Ok(())
}

fn listen(addr: &str, serve: impl Fn(TcpStream) -> std::io::Result<()> + Clone + Send + 'static) {
    let listener =
        TcpListener::bind(addr).unwrap_or_else(|error| panic!("cannot listen on {addr}: {error}"));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            // An error ends only the connection on which it occurs.
            std::thread::spawn(move || drop(serve(stream)));
        }
    });
}

fn put_message(class: &str, destination: &str, body: &str) -> std::io::Result<()> {
    let id = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos() as u64;
    let fields = format!("c={class},d=8000,k={id:016x},dest={destination}");
    let args = [
        "MSG.PUT",
        "0000000000000000",
        &format!("{id:016x}"),
        &fields,
        body,
    ];
    let mut command = format!("*{}\r\n", args.len());
    args.iter()
        .for_each(|arg| command += &format!("${}\r\n{arg}\r\n", arg.len()));
    let mut stream = TcpStream::connect(DISPATCHER_ADDR)?;
    stream.write_all(command.as_bytes())?;
    let mut reply = String::new();
    BufReader::new(stream).read_line(&mut reply)?;
    println!("{}", reply.trim_end());
    Ok(())
}

fn main() -> std::io::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args[..] {
        [] => {
            listen(PLATFORM_ADDR, serve_platform);
            ENDPOINT_ADDRS
                .iter()
                .for_each(|addr| listen(addr, move |stream| serve_endpoint(addr, stream)));
            println!(
                "stub servers are listening; submit messages with: cargo run --example toy put notice 7 hello"
            );
            loop {
                std::thread::park();
            }
        }
        ["put", class, destination, body] => put_message(class, destination, body),
        _ => {
            eprintln!("usage: toy [put CLASS DESTINATION BODY]");
            std::process::exit(2);
        }
    }
}

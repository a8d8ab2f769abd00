//! A toy world for a dispatcher started with `examples/config.json`: discovery, notices and three endpoints.
//!
//!     cargo run --example toy                        plays the world and prints what comes
//!     cargo run --example toy put notice 7 hello     hands in one message: queue class, destination, body
//!
//! An endpoint answers by what the body begins with: `refuse` 429, `fail` 500, `hang` nothing, `break` the end of the
//! connection, anything else 200.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const DISPATCHER: &str = "127.0.0.1:6379";
const PLATFORM: &str = "127.0.0.1:7100";
const ENDPOINTS: [&str; 3] = ["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"];

/// A request's first line, its headers and its body.
type Request = (String, Vec<String>, Vec<u8>);

fn request(from: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        match line.trim_end() {
            "" => break,
            text => lines.push(text.to_string()),
        }
    }
    let length = |l: &String| {
        l.to_ascii_lowercase()
            .strip_prefix("content-length:")
            .map(|n| n.trim().parse())
    };
    let length = lines
        .iter()
        .find_map(length)
        .and_then(Result::ok)
        .unwrap_or(0);
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    Ok(Some((lines.remove(0), lines, body)))
}

fn endpoint(name: &str, stream: TcpStream) -> std::io::Result<()> {
    let mut to = stream.try_clone()?;
    let mut from = BufReader::new(stream);
    while let Some((_, headers, body)) = request(&mut from)? {
        let body = String::from_utf8_lossy(&body).into_owned();
        println!("{name} gets {body:?} with {}", headers.join(", "));
        let answer = match body.split(' ').next() {
            Some("refuse") => "429 Too Many Requests\r\nRetry-After: 0.5",
            Some("fail") => "500 Internal Server Error",
            Some("hang") => continue,
            Some("break") => return Ok(()),
            _ => "200 OK",
        };
        write!(to, "HTTP/1.1 {answer}\r\nContent-Length: 0\r\n\r\n")?;
    }
    Ok(())
}

fn platform(stream: TcpStream) -> std::io::Result<()> {
    let mut to = stream.try_clone()?;
    let mut from = BufReader::new(stream);
    while let Some((line, _, body)) = request(&mut from)? {
        if line.starts_with("POST /v2/finals") {
            print!("platform is told {}", String::from_utf8_lossy(&body));
            write!(to, "HTTP/1.1 204 No Content\r\n\r\n")?;
            continue;
        }
        // A watch on which nothing ever changes: the list is the one in the configuration.
        write!(to, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        loop {
            write!(to, "1\r\n\n\r\n")?;
            std::thread::sleep(Duration::from_secs(2));
        }
    }
    Ok(())
}

fn listen(at: &str, serve: impl Fn(TcpStream) -> std::io::Result<()> + Clone + Send + 'static) {
    let listener = TcpListener::bind(at).unwrap_or_else(|e| panic!("{at}: {e}"));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            // A connection that breaks is none of the others' business.
            std::thread::spawn(move || drop(serve(stream)));
        }
    });
}

fn put(class: &str, destination: &str, body: &str) -> std::io::Result<()> {
    let id = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos() as u64;
    let fields = format!("c={class},d=8000,k={id:016x},dest={destination}");
    let words = [
        "MSG.PUT",
        "0000000000000000",
        &format!("{id:016x}"),
        &fields,
        body,
    ];
    let mut command = format!("*{}\r\n", words.len());
    words
        .iter()
        .for_each(|word| command += &format!("${}\r\n{word}\r\n", word.len()));
    let mut stream = TcpStream::connect(DISPATCHER)?;
    stream.write_all(command.as_bytes())?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer)?;
    println!("{}", answer.trim_end());
    Ok(())
}

fn main() -> std::io::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args[..] {
        [] => {
            listen(PLATFORM, platform);
            ENDPOINTS
                .iter()
                .for_each(|at| listen(at, move |stream| endpoint(at, stream)));
            println!(
                "the toy world stands; hand in messages with: cargo run --example toy put notice 7 hello"
            );
            loop {
                std::thread::park();
            }
        }
        ["put", class, destination, body] => put(class, destination, body),
        _ => {
            eprintln!("usage: toy [put CLASS DESTINATION BODY]");
            std::process::exit(2);
        }
    }
}

//! Stand-ins for endpoints and for discovery, in a thread of their own on loopback.

use crate::sockets::{content_length, header};
use anyhow::{Context, Result, ensure};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, oneshot};

/// Endpoints that take messages; several, so that no address runs out of ports.
const SERVING: usize = 8;
/// Lines that may wait for a watch.
const LINES_MOST: usize = 4_096;
const EMPTY_LINE: Duration = Duration::from_millis(500);
const REQUEST_MOST: usize = 80 * 1024;
const WATCH_WITHIN: Duration = Duration::from_secs(30);

const TAKEN: &[u8] = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// What a destination answers that is down for as long as a run lasts.
const DOWN: &[u8] =
    b"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 3600\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// A loopback address of this process alone: no two runs meet.
pub fn own_address() -> Ipv4Addr {
    const FIRST_NET: u32 = 225;
    const NETS: u32 = 25;
    let id = std::process::id();
    Ipv4Addr::new(
        127,
        (FIRST_NET + (id >> 16) % NETS) as u8,
        (id >> 8) as u8,
        id as u8,
    )
}

#[derive(Default)]
struct Counters {
    watches: AtomicUsize,
    line_bytes: AtomicU64,
}

/// The running stand-ins; they end when this is dropped.
pub struct Peers {
    /// Discovery, which also takes notices.
    pub platform: SocketAddr,
    /// Endpoints that take every message and close the connection: with even traffic none is used twice in time.
    pub serving: Vec<SocketAddr>,
    /// An endpoint that refuses every message with a long wait.
    pub down: SocketAddr,
    counters: Arc<Counters>,
    lines: broadcast::Sender<Arc<str>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Peers {
    /// Starts the stand-ins.
    pub fn start() -> Result<Peers> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let listeners: Vec<TcpListener> = (0..SERVING + 2)
            .map(|_| listener(&runtime))
            .collect::<Result<_>>()?;
        let addresses: Vec<SocketAddr> = listeners
            .iter()
            .map(|l| l.local_addr().context("a bound address"))
            .collect::<Result<_>>()?;
        let counters = Arc::new(Counters::default());
        let (lines, _) = broadcast::channel(LINES_MOST);
        let (stop, stopped) = oneshot::channel();
        let (platform_lines, platform_counters) = (lines.clone(), Arc::clone(&counters));
        let thread = std::thread::spawn(move || {
            runtime.block_on(async move {
                for (place, listener) in listeners.into_iter().enumerate() {
                    match place {
                        0 => drop(tokio::spawn(platform(
                            listener,
                            platform_lines.clone(),
                            Arc::clone(&platform_counters),
                        ))),
                        1 => drop(tokio::spawn(endpoint(listener, DOWN))),
                        _ => drop(tokio::spawn(endpoint(listener, TAKEN))),
                    }
                }
                // Told to stop, or the owner is gone: either ends it.
                let _ = stopped.await;
            });
        });
        Ok(Peers {
            platform: addresses[0],
            down: addresses[1],
            serving: addresses[2..].to_vec(),
            counters,
            lines,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Waits until a dispatcher watches.
    pub fn watched(&self) -> Result<()> {
        let until = Instant::now() + WATCH_WITHIN;
        while self.counters.watches.load(Ordering::SeqCst) == 0 {
            ensure!(
                Instant::now() < until,
                "no dispatcher asked for the watch within {WATCH_WITHIN:?}"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// Says a line to every watch.
    pub fn say(&self, line: &str) {
        // With nobody there it is lost, as on the wire.
        let _ = self.lines.send(format!("{line}\n").into());
    }

    /// The bytes of lines that watches were sent until now, with their framing, empty lines apart.
    pub fn line_bytes(&self) -> u64 {
        self.counters.line_bytes.load(Ordering::SeqCst)
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn listener(runtime: &tokio::runtime::Runtime) -> Result<TcpListener> {
    let listener = std::net::TcpListener::bind((own_address(), 0)).context("a loopback address")?;
    listener.set_nonblocking(true)?;
    let _inside = runtime.enter();
    Ok(TcpListener::from_std(listener)?)
}

/// A request as far as it is of interest: its path and its length.
struct Request {
    path: String,
    length: usize,
}

/// Reads the head of a request. None: more must come.
fn request(bytes: &[u8]) -> Result<Option<Request>> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(length) = head.parse(bytes)? else {
        return Ok(None);
    };
    let body = header(&head, "content-length")
        .and_then(|_| content_length(&head))
        .unwrap_or(0);
    let path = head.path.unwrap_or_default().to_string();
    let length = length + body;
    Ok((bytes.len() >= length).then_some(Request { path, length }))
}

/// Reads the next whole request. None: the connection has ended.
async fn next_request(stream: &mut TcpStream, input: &mut Vec<u8>) -> Result<Option<Request>> {
    loop {
        if let Some(request) = request(input)? {
            input.drain(..request.length);
            return Ok(Some(request));
        }
        ensure!(input.len() < REQUEST_MOST, "a request that is too long");
        if stream.read_buf(input).await? == 0 {
            return Ok(None);
        }
    }
}

async fn endpoint(listener: TcpListener, answer: &'static [u8]) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(async move { drop(answer_one(stream, answer).await) });
    }
}

async fn answer_one(mut stream: TcpStream, answer: &'static [u8]) -> Result<()> {
    if next_request(&mut stream, &mut Vec::new()).await?.is_some() {
        stream.write_all(answer).await?;
    }
    Ok(())
}

async fn platform(
    listener: TcpListener,
    lines: broadcast::Sender<Arc<str>>,
    counters: Arc<Counters>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (lines, counters) = (lines.clone(), Arc::clone(&counters));
        tokio::spawn(async move { drop(serve(stream, lines, counters).await) });
    }
}

async fn serve(
    mut stream: TcpStream,
    lines: broadcast::Sender<Arc<str>>,
    counters: Arc<Counters>,
) -> Result<()> {
    let mut input = Vec::new();
    while let Some(request) = next_request(&mut stream, &mut input).await? {
        if request.path.starts_with("/api/targets") {
            let from = lines.subscribe();
            let watched = watch(&mut stream, from, &counters).await;
            counters.watches.fetch_sub(1, Ordering::SeqCst);
            return watched;
        }
        stream
            .write_all(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")
            .await?;
    }
    Ok(())
}

async fn watch(
    stream: &mut TcpStream,
    mut lines: broadcast::Receiver<Arc<str>>,
    counters: &Counters,
) -> Result<()> {
    counters.watches.fetch_add(1, Ordering::SeqCst);
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await?;
    chunk(stream, "\n").await?;
    let mut unasked = [0; 64];
    loop {
        tokio::select! {
            line = lines.recv() => {
                let sent = chunk(stream, &line?).await?;
                counters.line_bytes.fetch_add(sent, Ordering::SeqCst);
            }
            () = tokio::time::sleep(EMPTY_LINE) => drop(chunk(stream, "\n").await?),
            read = stream.read(&mut unasked) => if read? == 0 { return Ok(()) },
        }
    }
}

/// Writes a chunk; tells the bytes that it took.
async fn chunk(stream: &mut TcpStream, text: &str) -> Result<u64> {
    let bytes = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(bytes.as_bytes()).await?;
    Ok(bytes.len() as u64)
}

//! Simulated endpoints: HTTP/1.1 servers with one listener each, which all take their behavior from the world.

use super::http::{content_length, header};
use super::state::{EndpointReply, Listening, Shared, SubmittedMessage};
use crate::record::{CallNumber, Observation};
use crate::world::{Answer, CallRequest, ConnId, ConnectResult, Reachability};
use anyhow::Result;
use bellsill_core::interface::{EndpointId, MessageId, Nanos};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const BACKLOG: i32 = 1_024;
/// Limit on the body of a call; the input buffer of a connection may hold twice as much.
const MAX_CALL_BYTES: usize = 80 * 1024;

fn new_socket() -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

fn bind(at: SocketAddr) -> Result<TcpListener> {
    let socket = new_socket()?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into())?)
}

/// Makes the listener of an endpoint match its reachability in the world: open, refusing or silent.
pub(super) fn update_listener(shared: &Rc<Shared>, endpoint: EndpointId) -> Result<()> {
    let (reach, at, old) = {
        let mut s = shared.state.borrow_mut();
        let at = s.net.endpoint(endpoint);
        let reach = s.world.reach(endpoint);
        if s.listeners[endpoint.0 as usize]
            .as_ref()
            .is_some_and(|l| l.reach == reach)
        {
            return Ok(());
        }
        (reach, at, s.listeners[endpoint.0 as usize].take())
    };
    let listener = || match &old {
        Some(old) => Ok(Rc::clone(&old.socket)),
        None => bind(at).map(Rc::new),
    };
    let new = match reach {
        Reachability::Refusing => None,
        Reachability::Open => {
            let socket = listener()?;
            SockRef::from(&*socket).listen(BACKLOG)?;
            let accept_task =
                tokio::task::spawn_local(accept(Rc::clone(shared), endpoint, Rc::clone(&socket)));
            Some(Listening {
                reach,
                accept_task: Some(accept_task),
                socket,
                _queue_fillers: vec![],
            })
        }
        Reachability::Silent => {
            let socket = listener()?;
            drop(old);
            // With a backlog of zero, one connection fills the accept queue; the kernel then leaves all others unanswered.
            SockRef::from(&*socket).listen(0)?;
            let mut queue_fillers = vec![];
            for _ in 0..2 {
                let filler = new_socket()?;
                // The connection may be established or still in progress; both serve the purpose.
                let _ = filler.connect(&at.into());
                queue_fillers.push(filler);
            }
            Some(Listening {
                reach,
                accept_task: None,
                socket,
                _queue_fillers: queue_fillers,
            })
        }
    };
    shared.state.borrow_mut().listeners[endpoint.0 as usize] = new;
    Ok(())
}

async fn accept(shared: Rc<Shared>, endpoint: EndpointId, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                tokio::task::spawn_local(serve(Rc::clone(&shared), endpoint, stream));
            }
            Err(e) => {
                shared.with(|s| {
                    s.fault(format!(
                        "endpoint {}: a connection could not be accepted: {e}",
                        endpoint.0
                    ))
                });
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// A parsed call.
struct Request {
    message: Option<MessageId>,
    tag: Vec<u8>,
    body: Vec<u8>,
    /// Length of the request in the input, in bytes.
    length_in_input: usize,
}

/// Parses one call from the start of the input. Returns `None` if it is incomplete.
fn parse_request(bytes: &[u8]) -> Result<Option<Request>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(e) => return Err(format!("invalid HTTP request head: {e}")),
    };
    let value = |name: &str| header(&head, name);
    let size = content_length(&head).ok_or("a call without a valid Content-Length")?;
    if size > MAX_CALL_BYTES {
        return Err(format!(
            "a call of {size} bytes exceeds the limit of {MAX_CALL_BYTES}"
        ));
    }
    if bytes.len() < length + size {
        return Ok(None);
    }
    if (head.method, head.path) != (Some("POST"), Some("/events")) {
        return Err(format!(
            "unexpected request {:?} {:?}; expected POST /events",
            head.method, head.path
        ));
    }
    let id = value("x-trace-id").and_then(|v| std::str::from_utf8(v).ok());
    Ok(Some(Request {
        message: id
            .and_then(|id| u64::from_str_radix(id, 16).ok())
            .map(MessageId),
        tag: value("idempotency-key").unwrap_or_default().to_vec(),
        body: bytes[length..length + size].to_vec(),
        length_in_input: length + size,
    }))
}

fn response_text(answer: Answer) -> String {
    match answer {
        Answer::Delivered => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".into(),
        Answer::ServerError => {
            "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n".into()
        }
        Answer::RateLimited(Some(wait)) => {
            let seconds = wait as f64 / 1e9;
            format!(
                "HTTP/1.1 429 Too Many Requests\r\nRetry-After: {seconds:.6}\r\nContent-Length: 0\r\n\r\n"
            )
        }
        Answer::RateLimited(None) => {
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".into()
        }
        Answer::Malformed => "HTP/one 2x0 \u{1}\r\n\r\n\r\n".into(),
    }
}

fn reset(stream: TcpStream) {
    // With a linger time of zero, closing the socket sends a reset.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Serves one connection to an endpoint until either side closes it.
async fn serve(shared: Rc<Shared>, endpoint: EndpointId, mut stream: TcpStream) {
    let opened = shared.with(|s| {
        let now = s.now();
        let opened = s.world.open(usize::MAX, endpoint);
        if matches!(opened, ConnectResult::Connected(_)) {
            s.ledger.measure.opened(now);
        }
        opened
    });
    let conn = match opened {
        ConnectResult::Connected(conn) => conn,
        ConnectResult::Refused | ConnectResult::NoResponse => return reset(stream),
    };
    let (to, mut from) = mpsc::unbounded_channel();
    shared.state.borrow_mut().conns.insert(conn, to);
    let mut input: Vec<u8> = Vec::with_capacity(1_024);
    let (mut started_at, mut call): (Option<Nanos>, Option<CallNumber>) = (None, None);
    let by_endpoint = loop {
        tokio::select! {
            biased;
            reply = from.recv() => match reply {
                Some(EndpointReply::Answer(answer)) => {
                    call = None;
                    if stream.write_all(response_text(answer).as_bytes()).await.is_err() {
                        break false;
                    }
                }
                Some(EndpointReply::Disconnect) | None => break true,
            },
            read = stream.read_buf(&mut input) => {
                if !matches!(read, Ok(n) if n > 0) || input.len() > 2 * MAX_CALL_BYTES {
                    break false;
                }
                let now = shared.now();
                started_at.get_or_insert(now);
                if call.is_some() {
                    shared.with(|s| s.fault(format!("endpoint {}: data received while a call was waiting for its response", endpoint.0)));
                    break true;
                }
                match parse_request(&input) {
                    Ok(None) => {}
                    Ok(Some(request)) => {
                        input.drain(..request.length_in_input);
                        let started_at = started_at.take().unwrap_or(now);
                        match call_received(&shared, endpoint, conn, &request, started_at) {
                            Ok(no) => call = Some(no),
                            Err(no) => {
                                call = no;
                                break true;
                            }
                        }
                    }
                    Err(why) => {
                        shared.with(|s| s.fault(format!("endpoint {}: {why}", endpoint.0)));
                        break true;
                    }
                }
            }
        }
    };
    shared.with(|s| {
        s.conns.remove(&conn);
        s.world.close(conn);
        if let Some(call) = call {
            s.observe(Observation::ConnectionClosed { call, by_endpoint });
        }
    });
    if by_endpoint {
        reset(stream);
    }
}

/// Passes a complete call to the world and the ledger. On `Err` the connection must be closed; the error holds the call's
/// number, if it got one.
fn call_received(
    shared: &Rc<Shared>,
    endpoint: EndpointId,
    conn: ConnId,
    request: &Request,
    started_at: Nanos,
) -> Result<CallNumber, Option<CallNumber>> {
    shared.with(|s| {
        let known: Option<SubmittedMessage> = request
            .message
            .and_then(|message| s.messages.get(&message))
            .cloned();
        let (Some(message), Some(known)) = (request.message, known) else {
            s.fault(format!(
                "endpoint {}: a call with a missing or unknown message id",
                endpoint.0
            ));
            return Err(None);
        };
        let (tag, body) = super::clients::content(&s.world.plan, &known.arrival);
        if request.tag != tag.as_bytes() || request.body != body {
            s.fault(format!(
                "endpoint {}: message {:016x} arrived with a tag or body that differs from the submission",
                endpoint.0, message.0
            ));
        }
        if s.world.endpoint(endpoint).destination != known.arrival.destination {
            s.fault(format!(
                "endpoint {}: message {:016x} was sent to the wrong destination",
                endpoint.0, message.0
            ));
        }
        let (no, dispatcher) = (s.ledger.next_call_number(), known.dispatcher);
        let new = CallRequest {
            message,
            class: known.arrival.class,
            dispatcher,
            idempotency_key: known.arrival.no,
        };
        let id = s.world.call(conn, new);
        s.observe(Observation::Call {
            call: no,
            message,
            endpoint,
            dispatcher,
            started_at,
            fresh: id.is_some(),
        });
        match id {
            Some(id) => {
                s.calls.insert(id, no);
                Ok(no)
            }
            None => Err(Some(no)),
        }
    })
}

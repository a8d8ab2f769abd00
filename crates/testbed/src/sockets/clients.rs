//! Simulated clients: RESP2, open loop. A submission starts at its scheduled time and doesn't wait for replies to others.

use super::state::{Shared, SubmittedMessage};
use crate::load::{Arrival, RetryReason, deadline, message_id, next_submission};
use crate::record::{Observation, Submission};
use crate::spec::Repeat;
use crate::world::plan::Plan;
use crate::world::time::{MS, ms};
use bellsill_core::interface::Nanos;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Returns the tag and body that a message is submitted with; its calls must carry the same.
pub(super) fn content(plan: &Plan, arrival: &Arrival) -> (String, Vec<u8>) {
    let tagged = plan.spec.classes[arrival.class].repeat == Repeat::Tagged;
    let tag = if tagged {
        format!("{:016x}", arrival.no + 1)
    } else {
        String::new()
    };
    let mut body = format!("mail {} ", arrival.no).into_bytes();
    body.resize(plan.spec.load.body_bytes.max(body.len()), b'.');
    (tag, body)
}

/// Submits each arrival as soon as the schedule sends it, and records how late that is.
pub(super) async fn submit_arrivals(
    shared: Rc<Shared>,
    mut arrivals: mpsc::UnboundedReceiver<Arrival>,
) {
    while let Some(arrival) = arrivals.recv().await {
        {
            let mut s = shared.state.borrow_mut();
            let late = s.now().saturating_sub(arrival.at);
            s.late.saturating_record((late / 1_000).max(1));
            s.ledger.arrived(&arrival);
            s.pending += 1;
        }
        let dispatcher = arrival.dispatcher;
        tokio::task::spawn_local(submit(shared.clone(), Rc::new(arrival), 0, dispatcher));
    }
}

/// Submits a message again at time `at`.
pub(super) fn submit_later(
    shared: &Rc<Shared>,
    arrival: Rc<Arrival>,
    attempts: u32,
    at: Nanos,
    dispatcher: usize,
) {
    shared.state.borrow_mut().pending += 1;
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        tokio::time::sleep_until(shared.instant(at)).await;
        submit(shared, arrival, attempts, dispatcher).await;
    });
}

enum SubmissionResult {
    Accepted,
    Rejected(Option<Nanos>),
    Failed(String),
    /// The connection could not be opened, or closed before a complete reply.
    Disconnected,
    TimedOut,
}

async fn submit(shared: Rc<Shared>, arrival: Rc<Arrival>, attempts: u32, dispatcher: usize) {
    let reason = submit_once(&shared, &arrival, attempts, dispatcher).await;
    let next = shared.with(|s| {
        s.pending -= 1;
        let now = s.now();
        reason.and_then(|reason| next_submission(&s.world.plan, &arrival, attempts, reason, now))
    });
    if let Some((at, to)) = next.filter(|_| !*shared.finished.borrow()) {
        submit_later(&shared, arrival, attempts + 1, at, to);
    }
}

/// Submits a message once. Returns the reason for a retry, or `None` if it must not be submitted again.
async fn submit_once(
    shared: &Rc<Shared>,
    arrival: &Rc<Arrival>,
    attempts: u32,
    dispatcher: usize,
) -> Option<RetryReason> {
    let scheduled = if attempts == 0 {
        arrival.at
    } else {
        shared.now()
    };
    let message = message_id(arrival.no, attempts);
    let mut stream = match pooled(shared, dispatcher) {
        Some(stream) => (stream, true),
        None => match connect(shared, dispatcher).await {
            Some(stream) => (stream, false),
            None => return Some(RetryReason::NoAnswer),
        },
    };
    let (command, reply_timeout) = {
        let mut s = shared.state.borrow_mut();
        let now = s.now();
        let left = deadline(&s.world.plan, arrival).saturating_sub(now) / MS;
        if left == 0 {
            return None;
        }
        let (tag, body) = content(&s.world.plan, arrival);
        let submission = Submission::new(arrival, attempts, dispatcher, now + left * MS);
        s.messages.insert(
            message,
            SubmittedMessage {
                dispatcher,
                arrival: Rc::clone(arrival),
            },
        );
        s.observe(Observation::Submitted(submission));
        let class = &s.world.plan.spec.classes[arrival.class].name;
        let mut fields = format!("c={class},d={left},dest={}", arrival.destination);
        if !tag.is_empty() {
            fields += &format!(",k={tag}");
        }
        if attempts > 0 {
            fields += ",r=1";
        }
        let words: [&[u8]; 5] = [
            b"MSG.PUT",
            &format!("{:016x}", arrival.key.unwrap_or(0)).into_bytes(),
            &format!("{:016x}", message.0).into_bytes(),
            fields.as_bytes(),
            &body,
        ];
        let mut command = format!("*{}\r\n", words.len()).into_bytes();
        for word in words {
            command.extend(format!("${}\r\n", word.len()).as_bytes());
            command.extend(word);
            command.extend(b"\r\n");
        }
        (command, ms(s.world.plan.spec.load.answer_ms))
    };
    let reply_deadline = tokio::time::Instant::now() + Duration::from_nanos(reply_timeout);
    let result = loop {
        let result = tokio::time::timeout_at(reply_deadline, send_command(&mut stream.0, &command))
            .await
            .unwrap_or(SubmissionResult::TimedOut);
        match result {
            // The dispatcher closed the idle connection while the command was sent: retries once on a new one.
            SubmissionResult::Disconnected if stream.1 => match connect(shared, dispatcher).await {
                Some(new) => stream = (new, false),
                None => break SubmissionResult::Disconnected,
            },
            result => break result,
        }
    };
    let replied = matches!(
        result,
        SubmissionResult::Accepted | SubmissionResult::Rejected(_) | SubmissionResult::Failed(_)
    );
    if replied {
        shared.clients.borrow_mut()[dispatcher].0.push(stream.0);
    }
    shared.with(|s| {
        if replied {
            let span = s.now().saturating_sub(scheduled);
            s.ledger.measure.submission_answered(span);
        }
        match result {
            SubmissionResult::Accepted => {
                s.observe(Observation::Accepted { message });
                None
            }
            SubmissionResult::Rejected(retry_after) => {
                s.observe(Observation::Rejected {
                    message,
                    retry_after,
                });
                Some(RetryReason::Rejected(retry_after))
            }
            SubmissionResult::Failed(why) => {
                s.observe(Observation::Rejected {
                    message,
                    retry_after: None,
                });
                s.fault(format!(
                    "message {:016x}: unexpected reply: {why}",
                    message.0
                ));
                Some(RetryReason::Rejected(None))
            }
            SubmissionResult::Disconnected | SubmissionResult::TimedOut => {
                s.observe(Observation::Abandoned { message });
                Some(RetryReason::NoAnswer)
            }
        }
    })
}

/// Takes the most recently used idle connection that the dispatcher has not closed.
fn pooled(shared: &Rc<Shared>, dispatcher: usize) -> Option<TcpStream> {
    loop {
        let stream = shared.clients.borrow_mut()[dispatcher].0.pop()?;
        let mut byte = [0; 1];
        if matches!(stream.try_read(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
        {
            return Some(stream);
        }
    }
}

async fn connect(shared: &Rc<Shared>, dispatcher: usize) -> Option<TcpStream> {
    let (at, timeout, nagle) = {
        let s = shared.state.borrow();
        let load = &s.world.plan.spec.load;
        (s.net.listen(dispatcher), ms(load.answer_ms), load.nagle)
    };
    let stream = tokio::time::timeout(Duration::from_nanos(timeout), TcpStream::connect(at)).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(!nagle).ok()?;
    Some(stream)
}

fn split_in_half(command: &[u8]) -> Vec<&[u8]> {
    let (head, body) = command.split_at(command.len() / 2);
    vec![head, body]
}

async fn send_command(stream: &mut TcpStream, command: &[u8]) -> SubmissionResult {
    // With TCP_NODELAY the command is one write. Otherwise it is two, as in many client libraries, so that Nagle's
    // algorithm can delay the second.
    let parts = if stream.nodelay().unwrap_or(true) {
        vec![command]
    } else {
        split_in_half(command)
    };
    for part in parts {
        if stream.write_all(part).await.is_err() {
            return SubmissionResult::Disconnected;
        }
    }
    let mut line = Vec::with_capacity(64);
    while !line.ends_with(b"\r\n") {
        match stream.read_buf(&mut line).await {
            Ok(n) if n > 0 && line.len() < 1_024 => {}
            _ => return SubmissionResult::Disconnected,
        }
    }
    let line = String::from_utf8_lossy(&line).trim_end().to_string();
    match line
        .split_once(' ')
        .map_or((line.as_str(), ""), |(a, b)| (a, b))
    {
        ("-BUSY", wait) => SubmissionResult::Rejected(wait.parse().ok().map(ms)),
        _ if line.starts_with('+') => SubmissionResult::Accepted,
        _ => SubmissionResult::Failed(line),
    }
}

/// Sends `PING` to a dispatcher until it replies.
pub(super) async fn wait_until_ready(at: std::net::SocketAddr) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(at).await {
            let reply = tokio::time::timeout(
                Duration::from_secs(1),
                send_command(&mut stream, b"*1\r\n$4\r\nPING\r\n"),
            );
            if let Ok(SubmissionResult::Accepted) = reply.await {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

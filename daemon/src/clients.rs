//! Clients: commands in, in order, an answer to each.

use crate::conns::ConnId;
use crate::event_loop::Daemon;
use crate::mail_journal::KeptMail;
use crate::mails::{Due, Hands, Refusal};
use crate::resp;
use bellsill::interface::*;

/// How long no more clients are let in when there is no descriptor for them.
const BACK_OFF: Nanos = 50_000_000;
/// The longest text that PING gives back.
const PING_MOST: usize = 1024;
/// How long a client that was told something last may take to end its side.
const LINGER: Nanos = 5_000_000_000;
/// A client that neither sent nor read anything for so long gives way to a new one when there is no place.
const IDLE_LONG: Nanos = 10_000_000_000;

impl Hands {
    /// Sees to it that one more client can be let in. Idle connections to endpoints give way first, then a client that
    /// asks nothing for long: idle clients alone would otherwise lock out all new ones. One that gives way just before
    /// its next request sends it once more, as whenever a connection is closed between requests.
    fn make_way(&mut self) -> bool {
        if self.conns.clients_full() {
            let now = self.now;
            let idle = self.conns.idlest_client().filter(|(_, used)| now >= used + IDLE_LONG);
            let Some((id, _)) = idle else { return false };
            self.part_with(id);
        }
        !self.conns.full() || self.shed_idle()
    }

    /// Closes a client's connection.
    pub fn part_with(&mut self, id: ConnId) {
        self.deadlines.clear(Due::Conn(id));
        self.conns.close(id);
    }
}

impl Daemon {
    /// Lets clients in, while there are descriptors for them. Idle connections to endpoints give way first; then new
    /// clients wait a little in the kernel's queue, so that the ones served already are not starved.
    pub fn let_in(&mut self) {
        let hands = &mut self.hands;
        let mut again = Ok(());
        loop {
            if !hands.make_way() {
                // Said once, until there is place again.
                if !std::mem::replace(&mut self.turned_away, true) {
                    log::warn!("no place for more clients, {} connections are open", hands.conns.len());
                }
                return hands.deadlines.set(Due::Accept, hands.now + BACK_OFF);
            }
            match hands.conns.accept() {
                Ok(Some(id)) => {
                    self.turned_away = false;
                    let now = hands.now;
                    hands.conns.get_mut(id).into_iter().for_each(|c| c.used = now);
                }
                Ok(None) => break,
                // It has gone again while it waited.
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    again = Err(e);
                    break;
                }
            }
        }
        if let Err(e) = again.and_then(|()| hands.conns.arm_listener()) {
            log::warn!("a client could not be let in: {e}");
            hands.deadlines.set(Due::Accept, hands.now + BACK_OFF);
        }
    }

    pub fn client_ready(&mut self, id: ConnId) {
        let conns = &mut self.hands.conns;
        let broken = conns.fill(id).is_err();
        let Some(conn) = conns.get_mut(id) else { return };
        conn.used = self.hands.now;
        if conn.lingers {
            conn.input.consume(conn.input.len());
            if broken || conn.ended || conns.arm(id).is_err() {
                self.hands.part_with(id);
            }
        } else if broken || !self.answer_commands(id) {
            self.hands.part_with(id);
        }
    }

    /// Answers all commands that have come whole. False: the connection is done.
    fn answer_commands(&mut self, id: ConnId) -> bool {
        loop {
            let Some(conn) = self.hands.conns.get_mut(id) else { return true };
            // With no room for an answer, what has come waits until the client has read.
            if conn.last || conn.input.is_empty() || conn.output.room() < resp::COMMAND_MOST / 2 {
                break;
            }
            let full = conn.input.room() == 0;
            let bytes = conn.input.bytes();
            let (words, taken) = match resp::command(bytes) {
                Ok(Some(command)) => command,
                Ok(None) if !full => break,
                bad => {
                    let why = bad.err().map_or("a command is too long", |bad| bad.0);
                    conn.output.push(format!("-ERR Protocol error: {why}\r\n").as_bytes());
                    conn.last = true;
                    break;
                }
            };
            let words: Vec<&[u8]> = words.into_iter().map(|range| &bytes[range]).collect();
            let name = words.first().map(|name| name.to_ascii_uppercase()).unwrap_or_default();
            let mut last = false;
            let mut new = None;
            let answer = match (name.as_slice(), words.len()) {
                (b"", _) => String::new(),
                (b"PING", 1) => "+PONG\r\n".into(),
                (b"PING", 2) if words[1].len() > PING_MOST => "-ERR the text is too long\r\n".into(),
                (b"PING", 2) => {
                    let text = String::from_utf8_lossy(words[1]);
                    format!("${}\r\n{text}\r\n", text.len())
                }
                (b"QUIT", _) => {
                    last = true;
                    "+OK\r\n".into()
                }
                (b"MSG.PUT", _) => match resp::put(&words) {
                    Ok(put) => {
                        new = Some((put, words[4].to_vec()));
                        String::new()
                    }
                    Err(why) => format!("-ERR {why}\r\n"),
                },
                _ => format!("-ERR unknown command '{}'\r\n", name.escape_ascii()),
            };
            conn.input.consume(taken);
            conn.output.push(answer.as_bytes());
            conn.last |= last;
            if let Some((put, body)) = new {
                self.hand_in(id, put, body);
            }
        }
        let hands = &mut self.hands;
        if hands.conns.flush(id).is_err() {
            return false;
        }
        let Some(conn) = hands.conns.get(id) else { return true };
        if !conn.output.is_empty() || !(conn.last || conn.ended) {
            return true;
        }
        // Closed with input unread, a connection is reset, and the answer to what was wrong with it may be lost.
        if !conn.ended && hands.conns.linger(id).and_then(|()| hands.conns.arm(id)).is_ok() {
            hands.deadlines.set(Due::Conn(id), hands.now + LINGER);
            return true;
        }
        false
    }

    /// A mail is handed in.
    fn hand_in(&mut self, conn: ConnId, put: resp::Put, body: Vec<u8>) {
        let say = |hands: &mut Hands, answer: &str| {
            if let Some(to) = hands.conns.get_mut(conn) {
                to.output.push(answer.as_bytes());
            }
            // At once, for the client's wait is short. A break shows when its commands are done.
            let _ = hands.conns.flush(conn);
        };
        // A client that has ended its side may have given up waiting and handed the mail in elsewhere: taken here too, it
        // would go out twice. It covers a dispatcher that stood still; the harm is a needless -BUSY to one that ends its
        // side early and yet listens.
        let listens = self.hands.conns.get(conn).is_some_and(|c| !c.ended);
        let mail = KeptMail {
            id: MailId(put.id),
            class: put.class,
            key: put.key,
            destination: put.destination,
            due: self.hands.now.saturating_add(put.lifetime_ms.saturating_mul(1_000_000)),
            tag: put.tag,
            body,
            connects: vec![],
        };
        let taken = match listens {
            true => self.take_on(mail, |hands| say(hands, "+OK\r\n")),
            false => Err(Refusal::NoRoom),
        };
        match taken {
            Ok(()) => {}
            Err(Refusal::UnknownClass) => say(&mut self.hands, "-ERR c: unknown class\r\n"),
            Err(Refusal::Untagged) => say(&mut self.hands, "-ERR k: expected in this class\r\n"),
            Err(Refusal::NoRoom) => say(&mut self.hands, "-BUSY\r\n"),
        }
    }
}

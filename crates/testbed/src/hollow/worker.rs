//! A worker process: one thread that carries some dozens of hollow dispatchers and their sockets.

use super::clock::{self, MILLISECOND, SECOND};
use super::control_process::state_file;
use super::dispatcher::{Action, HollowDispatcher, Surroundings};
use super::messages::{FaultCounts, Order, Report, StartFrom, Status, Traffic};
use super::options::WorkerOptions;
use super::plan::{DispatcherIndex, Plan};
use anyhow::{Context, Result};
use bellsill_core::interface::Nanos;
use bellsill_directory::line::Version;
use bellsill_discovery_client::CallId;
use bellsill_net::ring_buffer::RingBuffer;
use polling::{Event, Events, PollMode, Poller};
use slotmap::{DefaultKey, Key, KeyData, SlotMap};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufWriter, Read, Stdin, Stdout, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const STATUS_EVERY: Nanos = 250 * MILLISECOND;
/// A dispatcher that has received nothing for this long counts as not served.
const SERVED_WITHIN: Nanos = 3 * SECOND / 2;
/// Capacity for what has been read of a connection and not processed yet.
const INPUT_CAPACITY: usize = 64 * 1024;
/// The poller's key of the standard input; connections have smaller ones.
const ORDERS_KEY: usize = usize::MAX - 1;

/// A connection of a dispatcher's watch.
struct Connection {
    socket: Socket,
    dispatcher: DispatcherIndex,
    call: CallId,
    server: SocketAddr,
    connecting: bool,
    input: RingBuffer,
    /// What is to be written of the request.
    output: Vec<u8>,
}

struct Worker {
    options: WorkerOptions,
    surroundings: Surroundings,
    poller: Poller,
    dispatchers: BTreeMap<DispatcherIndex, HollowDispatcher>,
    connections: SlotMap<DefaultKey, Connection>,
    /// When dispatchers have something due: at most one row of each.
    timers: BTreeSet<(Nanos, DispatcherIndex)>,
    timer_of: BTreeMap<DispatcherIndex, Nanos>,
    orders: Stdin,
    order_bytes: Vec<u8>,
    orders_ended: bool,
    reports: BufWriter<Stdout>,
    bytes: u64,
    connects: u64,
    /// Of dispatchers that have stopped.
    former_faults: FaultCounts,
    former_traffic: Traffic,
    status_at: Nanos,
}

/// Carries dispatchers until its standard input ends.
pub fn run(options: &str) -> Result<()> {
    let options: WorkerOptions = serde_json::from_str(options).context("the worker's options")?;
    let surroundings = Surroundings {
        plan: Arc::new(Plan::new(options.plan)?),
        servers: options.servers.clone(),
        report_above: Version(u64::MAX),
    };
    let poller = Poller::new()?;
    let orders = std::io::stdin();
    rustix::io::ioctl_fionbio(&orders, true)?;
    // Removed with the process: the standard input outlives the poller.
    unsafe { poller.add_with_mode(&orders, Event::readable(ORDERS_KEY), PollMode::Level)? };
    let mut worker = Worker {
        options,
        surroundings,
        poller,
        dispatchers: BTreeMap::new(),
        connections: SlotMap::new(),
        timers: BTreeSet::new(),
        timer_of: BTreeMap::new(),
        orders,
        order_bytes: vec![],
        orders_ended: false,
        reports: BufWriter::new(std::io::stdout()),
        bytes: 0,
        connects: 0,
        former_faults: FaultCounts::default(),
        former_traffic: Traffic::default(),
        status_at: clock::now() + STATUS_EVERY,
    };
    worker.report(&Report::Ready)?;
    worker.reports.flush()?;
    let mut events = Events::new();
    while !worker.orders_ended {
        worker.turn(&mut events)?;
    }
    Ok(())
}

fn key_of(key: DefaultKey) -> usize {
    key.data().as_ffi() as usize
}

impl Worker {
    /// Waits for the next events and handles them.
    fn turn(&mut self, events: &mut Events) -> Result<()> {
        let now = clock::now();
        let next = self
            .timers
            .first()
            .map_or(self.status_at, |&(at, _)| at.min(self.status_at));
        events.clear();
        self.poller
            .wait(events, Some(Duration::from_nanos(next.saturating_sub(now))))?;
        for event in events.iter() {
            match event.key {
                ORDERS_KEY => self.read_orders()?,
                key => self.ready(DefaultKey::from(KeyData::from_ffi(key as u64)), event)?,
            }
        }
        self.run_timers()?;
        if clock::now() >= self.status_at {
            self.tell_status()?;
        }
        Ok(self.reports.flush()?)
    }

    fn report(&mut self, report: &Report) -> Result<()> {
        serde_json::to_writer(&mut self.reports, report)?;
        Ok(self.reports.write_all(b"\n")?)
    }

    fn read_orders(&mut self) -> Result<()> {
        let mut part = [0; 16 * 1024];
        loop {
            match self.orders.lock().read(&mut part) {
                Ok(0) => {
                    self.orders_ended = true;
                    return Ok(());
                }
                Ok(count) => self.order_bytes.extend(&part[..count]),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e.into()),
            }
        }
        while let Some(end) = self.order_bytes.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = self.order_bytes.drain(..=end).collect();
            self.carry_out(serde_json::from_slice(&line).context("an order")?)?;
        }
        Ok(())
    }

    fn carry_out(&mut self, order: Order) -> Result<()> {
        match order {
            Order::Start { dispatchers, from } => dispatchers
                .into_iter()
                .try_for_each(|d| self.start(d, from)),
            Order::Stop { dispatchers } => dispatchers.into_iter().try_for_each(|d| self.stop(d)),
            Order::ReportAbove(version) => {
                self.surroundings.report_above = version;
                Ok(())
            }
            Order::BeginTraffic => {
                let now = clock::now();
                self.former_traffic = Traffic::default();
                self.dispatchers
                    .values_mut()
                    .for_each(|dispatcher| dispatcher.begin_traffic(now));
                Ok(())
            }
            Order::EndTraffic => {
                let now = clock::now();
                let mut traffic = std::mem::take(&mut self.former_traffic);
                self.dispatchers
                    .values_mut()
                    .for_each(|d| traffic.add(&d.end_traffic(now)));
                self.report(&Report::Traffic(traffic))
            }
            Order::Digest => {
                let plan = &self.surroundings.plan;
                let digests = self
                    .dispatchers
                    .values()
                    .flat_map(|d| d.digests(plan))
                    .collect();
                self.report(&Report::Digests(digests))
            }
        }
    }

    fn start(&mut self, index: DispatcherIndex, from: StartFrom) -> Result<()> {
        let name = self.surroundings.plan.dispatcher_name(index);
        let saved = from.read(&state_file(&self.options.state_directory, &name));
        let seed = self.options.seed + index.0 as u64;
        let saved = saved.as_deref();
        let mut dispatcher =
            HollowDispatcher::new(clock::now(), &self.surroundings, index, seed, saved);
        dispatcher.start(clock::now());
        self.dispatchers.insert(index, dispatcher);
        self.follow(index)
    }

    fn stop(&mut self, index: DispatcherIndex) -> Result<()> {
        let Some(mut dispatcher) = self.dispatchers.remove(&index) else {
            return Ok(());
        };
        let of_it = |(_, c): &(DefaultKey, &Connection)| c.dispatcher == index;
        let keys: Vec<DefaultKey> = self
            .connections
            .iter()
            .filter(of_it)
            .map(|(key, _)| key)
            .collect();
        keys.into_iter().for_each(|key| self.close(key));
        if let Some(at) = self.timer_of.remove(&index) {
            self.timers.remove(&(at, index));
        }
        self.former_faults.add(&dispatcher.faults());
        self.former_traffic
            .add(&dispatcher.end_traffic(clock::now()));
        let name = self.surroundings.plan.dispatcher_name(index);
        std::fs::write(
            state_file(&self.options.state_directory, &name),
            dispatcher.state(),
        )?;
        self.report(&Report::Stopped {
            dispatcher: index,
            at: clock::now(),
        })
    }

    fn close(&mut self, key: DefaultKey) {
        if let Some(connection) = self.connections.remove(key) {
            // It is closed next, which takes it out anyhow.
            let _ = self.poller.delete(&connection.socket);
        }
    }

    /// Something happened on a connection.
    fn ready(&mut self, key: DefaultKey, event: Event) -> Result<()> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Ok(());
        };
        if connection.connecting {
            if !event.writable && !event.readable {
                return Ok(());
            }
            return self.connected(key);
        }
        if !connection.output.is_empty() && event.writable && self.write(key).is_err() {
            return self.disconnected(key);
        }
        if event.readable {
            self.read(key)
        } else {
            Ok(())
        }
    }

    fn connected(&mut self, key: DefaultKey) -> Result<()> {
        let connection = &mut self.connections[key];
        if !matches!(connection.socket.take_error(), Ok(None))
            || connection.socket.peer_addr().is_err()
        {
            return self.disconnected(key);
        }
        connection.connecting = false;
        let (index, call) = (connection.dispatcher, connection.call);
        if let Some(dispatcher) = self.dispatchers.get_mut(&index) {
            dispatcher.connected(clock::now(), call);
        }
        match self.write(key) {
            Ok(()) => self.follow(index),
            Err(_) => self.disconnected(key),
        }
    }

    /// Writes what the socket takes of the request, and asks to be told of what matters next.
    fn write(&mut self, key: DefaultKey) -> std::io::Result<()> {
        let connection = &mut self.connections[key];
        while !connection.output.is_empty() {
            match connection.socket.write(&connection.output) {
                Ok(count) => drop(connection.output.drain(..count)),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        let interest = Event::new(key_of(key), true, !connection.output.is_empty());
        self.poller
            .modify_with_mode(&connection.socket, interest, PollMode::Level)
    }

    fn read(&mut self, key: DefaultKey) -> Result<()> {
        let connection = &mut self.connections[key];
        let before = connection.input.len();
        let filled = connection.input.read_from(&mut connection.socket);
        let count = connection.input.len() - before;
        let now = clock::now();
        let (index, call, server) = (connection.dispatcher, connection.call, connection.server);
        self.bytes += count as u64;
        let Some(dispatcher) = self.dispatchers.get_mut(&index) else {
            return Ok(());
        };
        if count > 0 {
            dispatcher.heard(now, server, count);
        }
        let Ok(ended) = filled else {
            return self.disconnected(key);
        };
        dispatcher.received(now, &self.surroundings, call, &mut connection.input, ended);
        if ended && self.connections.contains_key(key) {
            self.close(key);
        }
        self.follow(index)
    }

    fn disconnected(&mut self, key: DefaultKey) -> Result<()> {
        let Some(connection) = self.connections.get(key) else {
            return Ok(());
        };
        let (index, call) = (connection.dispatcher, connection.call);
        self.close(key);
        if let Some(dispatcher) = self.dispatchers.get_mut(&index) {
            dispatcher.broken(clock::now(), call);
        }
        self.follow(index)
    }

    /// Fires what is due.
    fn run_timers(&mut self) -> Result<()> {
        let now = clock::now();
        while let Some(&(at, index)) = self.timers.first().filter(|&&(at, _)| at <= now) {
            self.timers.remove(&(at, index));
            self.timer_of.remove(&index);
            if let Some(dispatcher) = self.dispatchers.get_mut(&index) {
                dispatcher.fire(now);
            }
            self.follow(index)?;
        }
        Ok(())
    }

    /// Carries out what a dispatcher wants done, tells what it reports, and notes when it is due next.
    fn follow(&mut self, index: DispatcherIndex) -> Result<()> {
        while let Some(action) = self
            .dispatchers
            .get_mut(&index)
            .and_then(HollowDispatcher::next_action)
        {
            match action {
                Action::Connect {
                    call,
                    address,
                    request,
                } => self.connect(index, call, address, request)?,
                Action::Close(call) => {
                    let found = self
                        .connections
                        .iter()
                        .find(|(_, c)| c.dispatcher == index && c.call == call);
                    if let Some(key) = found.map(|(key, _)| key) {
                        self.close(key);
                    }
                }
            }
        }
        let Some(dispatcher) = self.dispatchers.get_mut(&index) else {
            return Ok(());
        };
        let (reports, next) = (dispatcher.take_reports(), dispatcher.next_due());
        reports.iter().try_for_each(|report| self.report(report))?;
        self.set_timer(index, next);
        Ok(())
    }

    fn set_timer(&mut self, index: DispatcherIndex, next: Option<Nanos>) {
        if self.timer_of.get(&index).copied() == next {
            return;
        }
        if let Some(at) = self.timer_of.remove(&index) {
            self.timers.remove(&(at, index));
        }
        if let Some(at) = next {
            self.timer_of.insert(index, at);
            self.timers.insert((at, index));
        }
    }

    fn connect(
        &mut self,
        dispatcher: DispatcherIndex,
        call: CallId,
        server: SocketAddr,
        request: Vec<u8>,
    ) -> Result<()> {
        self.connects += 1;
        let socket = Socket::new(
            Domain::for_address(server),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        let begun = socket.connect(&server.into());
        let connecting = begun.is_err();
        let failed = begun
            .is_err_and(|e| e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()));
        if failed {
            if let Some(dispatcher) = self.dispatchers.get_mut(&dispatcher) {
                dispatcher.broken(clock::now(), call);
            }
            return Ok(());
        }
        let input = RingBuffer::new(INPUT_CAPACITY);
        let connection = Connection {
            socket,
            dispatcher,
            call,
            server,
            connecting,
            input,
            output: request,
        };
        let key = self.connections.insert(connection);
        let socket = &self.connections[key].socket;
        // `close` takes it out before the socket is closed.
        unsafe {
            self.poller
                .add_with_mode(socket, Event::all(key_of(key)), PollMode::Level)?
        };
        if connecting {
            Ok(())
        } else {
            self.connected(key)
        }
    }

    fn tell_status(&mut self) -> Result<()> {
        let now = clock::now();
        self.status_at = now + STATUS_EVERY;
        let mut status = Status {
            at: now,
            running: self.dispatchers.len(),
            by_server: vec![0; self.options.servers.len()],
            bytes: self.bytes,
            connects: self.connects,
            faults: self.former_faults,
            ..Status::default()
        };
        for dispatcher in self.dispatchers.values() {
            status.faults.add(&dispatcher.faults());
            let Some(heard) = dispatcher.heard_last() else {
                continue;
            };
            if heard.at + SERVED_WITHIN < now {
                continue;
            }
            status.served += 1;
            if let Some(n) = self
                .options
                .servers
                .iter()
                .position(|&address| address == heard.server)
            {
                status.by_server[n] += 1;
            }
        }
        self.report(&Report::Status(status))
    }
}

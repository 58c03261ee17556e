//! Stand-ins for the platform's store, endpoints, routers and clients, and the drivers of the
//! script cases. Uses the standard library alone. Follows PROTOCOL.md and DEPLOY.md.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SYN: u8 = 16;
const ACK: u8 = 64;
const FIN: u8 = 8;
const RST: u8 = 1;
const BOUNCED: u8 = 4;

const PACKETS_PORT: u16 = 8172;
const READY_PORT: u16 = 8167;
const CONTROL_PORT: u16 = 8166;
const OUTBOUND_PORT: u16 = 8162;
const APP_PORT: u16 = 8165;
const STORE_PORT: u16 = 8169;
const HEARTBEAT: Duration = Duration::from_millis(1_200);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Record of the case: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn new(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    fn at(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn line(&self, text: &str) {
        let line = format!("{:9.4} {text}\n", self.at());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Head of a packet.
#[derive(Clone, Copy, Debug)]
struct Head {
    flags: u8,
    seq: u32,
    ack: u32,
    to: SocketAddrV4,
    from: SocketAddrV4,
}

impl Head {
    fn read(p: &[u8]) -> Option<Self> {
        if p.len() < 32 {
            return None;
        }
        let word = |at: usize| u32::from_le_bytes([p[at], p[at + 1], p[at + 2], p[at + 3]]);
        let end = |at: usize| {
            let port = u16::from_le_bytes([p[at], p[at + 1]]);
            SocketAddrV4::new(Ipv4Addr::from(word(at + 2)), port)
        };
        Some(Self {
            flags: p[0],
            seq: word(12),
            ack: word(16),
            to: end(20),
            from: end(26),
        })
    }

    /// The packet, with a sum that stands for the keyed one.
    fn write(&self, data: &[u8]) -> Vec<u8> {
        let mut p = vec![0; 32];
        p[0] = self.flags;
        p[10..12].copy_from_slice(&(data.len() as u16).to_le_bytes());
        p[12..16].copy_from_slice(&self.seq.to_le_bytes());
        p[16..20].copy_from_slice(&self.ack.to_le_bytes());
        for (at, end) in [(20, self.to), (26, self.from)] {
            p[at..at + 2].copy_from_slice(&end.port().to_le_bytes());
            p[at + 2..at + 6].copy_from_slice(&u32::from(*end.ip()).to_le_bytes());
        }
        p.extend_from_slice(data);
        let sum = sum_of(&p);
        p[6..10].copy_from_slice(&sum.to_le_bytes());
        p
    }
}

/// Sum over all fields but `echo`, `pad`, `sum` and BOUNCED, and the data.
fn sum_of(p: &[u8]) -> u32 {
    let mut hash = 0x9e37_79b9_u32;
    for (at, &byte) in p.iter().enumerate() {
        let byte = match at {
            0 => byte & !BOUNCED,
            1..=9 => 0,
            _ => byte,
        };
        hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    hash | 1
}

fn is_intact(p: &[u8]) -> bool {
    p[6..10] == sum_of(p).to_le_bytes()
}

/// Second byte of all addresses of a run, so that runs beside each other do not meet.
fn network() -> u8 {
    20 + (std::process::id() % 200) as u8
}

static RANDOM: AtomicU64 = AtomicU64::new(0);

fn random() -> u64 {
    let mut x = RANDOM.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

// ---------------------------------------------------------------------------------------- store

#[derive(Default)]
struct StoreState {
    rev: u64,
    objects: BTreeMap<(String, String), String>,
    events: Vec<(u64, String, String, bool)>,
}

#[derive(Clone, Default)]
struct Store(Arc<(Mutex<StoreState>, Condvar)>);

impl Store {
    fn start(ip: Ipv4Addr) -> Self {
        let store = Self::default();
        store.0.0.lock().unwrap().rev = 10;
        let listener = TcpListener::bind((ip, STORE_PORT)).expect("a free port");
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    fn put(&self, kind: &str, name: &str, spec: &str) -> String {
        let mut state = self.0.0.lock().unwrap();
        let text = state.put(kind, name, spec);
        self.0.1.notify_all();
        text
    }

    /// Number of objects of a kind whose names begin so.
    fn count(&self, kind: &str, prefix: &str) -> usize {
        let state = self.0.0.lock().unwrap();
        let keys = state.objects.keys();
        keys.filter(|(k, name)| k == kind && name.starts_with(prefix))
            .count()
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let (method, path, body) = read_request(&mut reader)?;
        let (status, text) = self.respond(&method, &path, &body);
        let head = format!(
            "HTTP/1.1 {status} x\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            text.len()
        );
        stream.write_all(head.as_bytes()).ok()?;
        stream.write_all(text.as_bytes()).ok()
    }

    fn respond(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query: BTreeMap<_, _> = query.split('&').filter_map(|p| p.split_once('=')).collect();
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let mut state = self.0.0.lock().unwrap();
        match (method, name) {
            ("GET", None) if query.contains_key("watch") => {
                let after: u64 = query["watch"].parse().unwrap_or(0);
                let wait = query
                    .get("wait_ms")
                    .and_then(|w| w.parse().ok())
                    .unwrap_or(0);
                let end = Instant::now() + ms(wait);
                loop {
                    let events: Vec<_> = state
                        .events
                        .iter()
                        .filter(|e| e.0 > after && e.1 == kind)
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let list: Vec<_> = events
                            .iter()
                            .map(|e| format!("{{\"object\":{},\"deleted\":{}}}", e.2, e.3))
                            .collect();
                        return (
                            200,
                            format!("{{\"events\":[{}],\"at\":{}}}", list.join(","), state.rev),
                        );
                    }
                    state = self.0.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("GET", None) => {
                let of_kind = state.objects.iter().filter(|((k, _), _)| *k == kind);
                let items: Vec<_> = of_kind.map(|(_, text)| text.clone()).collect();
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"more\":false,\"at\":{}}}",
                        items.join(","),
                        state.rev
                    ),
                )
            }
            ("GET", Some(name)) => match state.objects.get(&(kind, name)) {
                Some(text) => (200, text.clone()),
                None => (404, "{}".to_owned()),
            },
            ("POST" | "PUT", name) => {
                let is_new = name.is_none();
                let name = name.or_else(|| member(body, "name")).unwrap_or_default();
                let present = state.objects.get(&(kind.clone(), name.clone())).cloned();
                let rev = member(body, "rev");
                let known = present.as_ref().and_then(|text| member(text, "rev"));
                match present {
                    Some(text) if is_new || (rev.is_some() && rev != known) => (409, text),
                    None if !is_new && rev.is_some() => (404, "{}".to_owned()),
                    _ => {
                        let text = state.put(&kind, &name, spec_of(body));
                        self.0.1.notify_all();
                        (200, text)
                    }
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

impl StoreState {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        self.rev += 1;
        let rev = self.rev;
        let text = format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"rev\":{rev},\"created_rev\":{rev},\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
        );
        self.objects
            .insert((kind.to_owned(), name.to_owned()), text.clone());
        self.events
            .push((rev, kind.to_owned(), text.clone(), false));
        text
    }
}

/// Value of the first member of this name that is a text or a number.
fn member(text: &str, key: &str) -> Option<String> {
    let at = text.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = text[at..].trim_start();
    let end = rest.trim_start_matches('"').find(['"', ',', '}'])?;
    Some(rest.trim_start_matches('"')[..end].to_owned())
}

/// The member `spec`, which the system writes last.
fn spec_of(body: &str) -> &str {
    let Some(at) = body.find("\"spec\":") else {
        return "null";
    };
    let rest = body[at + 7..].trim_end();
    rest.strip_suffix('}').unwrap_or(rest)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, String, String)> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        if header.trim().is_empty() {
            break;
        }
        if let Some(value) = header.to_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((method, path, String::from_utf8_lossy(&body).into_owned()))
}

/// One HTTP call. Returns the status if it arrives within a second.
fn call(to: SocketAddrV4, method: &str, path: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to.into(), ms(1_000)).ok()?;
    stream.set_read_timeout(Some(ms(1_000))).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.split_whitespace().nth(1)?.parse().ok()
}

// ------------------------------------------------------------------------------------- endpoint

/// Opening packet that an endpoint took.
#[derive(Clone, Copy)]
struct Taken {
    sent: f64,
    arrived: f64,
}

struct EndpointFlow {
    isn: u32,
    is_open: bool,
}

struct Endpoint {
    id: String,
    ip: Ipv4Addr,
    zone: String,
    service: String,
    slots: u16,
    born: u64,
    started: Instant,
    warmup: Duration,
    seq: AtomicU64,
    flows: Mutex<BTreeMap<SocketAddrV4, EndpointFlow>>,
    taken: Mutex<Vec<Taken>>,
    clients: Clients,
    record: Record,
}

impl Endpoint {
    fn start(
        ip: Ipv4Addr,
        zone: &str,
        service: &str,
        warmup: Duration,
        clients: &Clients,
        record: &Record,
    ) -> Arc<Self> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let endpoint = Arc::new(Self {
            id: format!("i-{:08x}", random() as u32),
            ip,
            zone: zone.to_owned(),
            service: service.to_owned(),
            slots: 4,
            born,
            started: Instant::now(),
            warmup,
            seq: AtomicU64::new(0),
            flows: Mutex::default(),
            taken: Mutex::default(),
            clients: clients.clone(),
            record: record.clone(),
        });
        record.line(&format!(
            "endpoint {} starts at {ip} and is cold for {} ms",
            endpoint.id,
            warmup.as_millis()
        ));
        let socket = UdpSocket::bind((ip, APP_PORT)).expect("a free port");
        let health = TcpListener::bind((ip, APP_PORT)).expect("a free port");
        thread::spawn(move || {
            for mut stream in health.incoming().flatten() {
                let _ = stream.write_all(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                );
            }
        });
        let receiver = Arc::clone(&endpoint);
        thread::spawn(move || {
            let mut buffer = [0; 2_048];
            while let Ok((length, _)) = socket.recv_from(&mut buffer) {
                if let Some(reply) = receiver.receive(&buffer[..length]) {
                    let _ = socket.send_to(&reply, (receiver.ip, OUTBOUND_PORT));
                }
            }
        });
        let beats = Arc::clone(&endpoint);
        thread::spawn(move || {
            loop {
                // Without an ack the next call follows soon.
                // The interval is approximate.
                let interval = HEARTBEAT.mul_f64(0.9 + (random() % 200) as f64 / 1_000.0);
                sleep(if beats.beat() { interval } else { ms(200) });
            }
        });
        endpoint
    }

    fn beat(&self) -> bool {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let left = self
            .warmup
            .saturating_sub(self.started.elapsed())
            .as_millis();
        let body = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}:{APP_PORT}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\"warm_left_ms\":{left},\"seq\":{seq},\"born\":{}}}",
            self.service, self.ip, self.zone, self.slots, self.born
        );
        let control = SocketAddrV4::new(self.ip, CONTROL_PORT);
        let status = call(control, "PUT", &format!("/instances/{}", self.id), &body);
        self.record.line(&format!(
            "heartbeat {} seq={seq} warm_left_ms={left} -> {status:?}",
            self.id
        ));
        status == Some(200)
    }

    fn receive(&self, packet: &[u8]) -> Option<Vec<u8>> {
        let head = Head::read(packet)?;
        if !is_intact(packet) {
            self.record.line(&format!(
                "endpoint {} gets a packet that its sender did not write so",
                self.id
            ));
            return None;
        }
        let data = &packet[32..];
        let mut flows = self.flows.lock().unwrap();
        let answer = |flags, seq, ack, data: &[u8]| {
            Some(
                Head {
                    flags,
                    seq,
                    ack,
                    to: head.from,
                    from: head.to,
                }
                .write(data),
            )
        };
        if head.flags & SYN != 0 {
            let flow = flows.entry(head.from).or_insert_with(|| {
                let arrived = self.record.at();
                let sent = self.clients.sent(head.from).unwrap_or(arrived);
                self.taken.lock().unwrap().push(Taken { sent, arrived });
                self.record.line(&format!(
                    "endpoint {} takes the opening packet of {}",
                    self.id, head.from
                ));
                EndpointFlow {
                    isn: random() as u32,
                    is_open: false,
                }
            });
            return answer(SYN | ACK, flow.isn, head.seq.wrapping_add(1), b"");
        }
        let Some(flow) = flows.get_mut(&head.from) else {
            let mut returned = packet.to_vec();
            returned[0] |= BOUNCED;
            returned[1] = 0;
            return Some(returned);
        };
        if head.flags & RST != 0 {
            flows.remove(&head.from);
            return None;
        }
        if !flow.is_open {
            flow.is_open = true;
            self.record.line(&format!(
                "flow {} is open at endpoint {}",
                head.from, self.id
            ));
        }
        let isn = flow.isn;
        let end = head.seq.wrapping_add(data.len() as u32);
        if head.flags & FIN != 0 {
            flows.remove(&head.from);
            return answer(ACK | FIN, isn.wrapping_add(3), end.wrapping_add(1), b"");
        }
        if data.is_empty() {
            return None;
        }
        drop(flows);
        sleep(ms(1));
        answer(ACK, isn.wrapping_add(1), end, b"ok")
    }
}

// -------------------------------------------------------------------------------------- clients

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Opening,
    Open,
    Answered,
    Closed,
}

struct Flow {
    state: State,
    seq: u32,
    last_ack: u32,
    opened: Instant,
    sent: f64,
    copies: u32,
    is_answered: bool,
}

/// Clients that open a flow for each request, and the routers in front of the balancers.
#[derive(Clone)]
struct Clients(Arc<ClientsInner>);

struct ClientsInner {
    sockets: Vec<UdpSocket>,
    ips: Vec<Ipv4Addr>,
    host: SocketAddrV4,
    rotation: Mutex<Vec<Ipv4Addr>>,
    flows: Mutex<BTreeMap<SocketAddrV4, Flow>>,
    answered: AtomicU32,
    resets: AtomicU32,
    record: Record,
}

impl Clients {
    fn start(ips: &[Ipv4Addr], host: SocketAddrV4, fronts: &[Ipv4Addr], record: &Record) -> Self {
        let bind = |&ip: &Ipv4Addr| UdpSocket::bind((ip, PACKETS_PORT)).expect("a free port");
        let clients = Self(Arc::new(ClientsInner {
            sockets: ips.iter().map(bind).collect(),
            ips: ips.to_vec(),
            host,
            rotation: Mutex::new(fronts.to_vec()),
            flows: Mutex::default(),
            answered: AtomicU32::new(0),
            resets: AtomicU32::new(0),
            record: record.clone(),
        }));
        for at in 0..ips.len() {
            let receiver = clients.clone();
            thread::spawn(move || {
                let mut buffer = [0; 2_048];
                while let Ok((length, _)) = receiver.0.sockets[at].recv_from(&mut buffer) {
                    receiver.receive(&buffer[..length]);
                }
            });
        }
        let timers = clients.clone();
        thread::spawn(move || {
            loop {
                sleep(ms(10));
                timers.send_copies();
            }
        });
        clients
    }

    /// When the opening packet was first sent.
    fn sent(&self, from: SocketAddrV4) -> Option<f64> {
        self.0
            .flows
            .lock()
            .unwrap()
            .get(&from)
            .map(|flow| flow.sent)
    }

    fn route(&self, from: SocketAddrV4, packet: &[u8]) {
        let rotation = self.0.rotation.lock().unwrap().clone();
        let score = |front: &&Ipv4Addr| {
            let mut x = u64::from(u32::from(**front)) << 32
                | u64::from(from.port()) << 8
                | u64::from(from.ip().octets()[3]);
            x = (x ^ (x >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            x ^ (x >> 29)
        };
        let Some(front) = rotation.iter().max_by_key(score) else {
            return;
        };
        let at = self.0.ips.iter().position(|ip| ip == from.ip()).unwrap();
        let _ = self.0.sockets[at].send_to(packet, (*front, PACKETS_PORT));
    }

    fn head(&self, from: SocketAddrV4, flags: u8, seq: u32, ack: u32) -> Head {
        Head {
            flags,
            seq,
            ack,
            to: self.0.host,
            from,
        }
    }

    fn open(&self, from: SocketAddrV4) {
        let seq = random() as u32;
        let sent = self.0.record.at();
        let flow = Flow {
            state: State::Opening,
            seq,
            last_ack: 0,
            opened: Instant::now(),
            sent,
            copies: 0,
            is_answered: false,
        };
        self.0.flows.lock().unwrap().insert(from, flow);
        self.route(from, &self.head(from, SYN, seq, 0).write(b""));
    }

    /// Sends copies of opening packets after 200 and 600 ms, and ends attempts after 1.4 s.
    fn send_copies(&self) {
        let mut due = Vec::new();
        for (&from, flow) in self.0.flows.lock().unwrap().iter_mut() {
            let age = flow.opened.elapsed();
            if flow.state != State::Opening {
                continue;
            }
            if age >= ms(1_400) {
                flow.state = State::Closed;
            } else if (flow.copies == 0 && age >= ms(200)) || (flow.copies == 1 && age >= ms(600)) {
                flow.copies += 1;
                due.push(self.head(from, SYN, flow.seq, flow.copies));
            }
        }
        for head in due {
            self.route(head.from, &head.write(b""));
        }
    }

    fn receive(&self, packet: &[u8]) {
        let Some(head) = Head::read(packet) else {
            return;
        };
        let from = head.to;
        let mut flows = self.0.flows.lock().unwrap();
        let Some(flow) = flows.get_mut(&from) else {
            return;
        };
        if head.flags & RST != 0 {
            self.0.resets.fetch_add(1, Ordering::Relaxed);
            if flow.state == State::Opening {
                flow.state = State::Closed;
            }
            return;
        }
        if head.flags & SYN != 0 {
            if flow.state == State::Opening {
                flow.state = State::Open;
                flow.last_ack = head.seq.wrapping_add(1);
                let request = self.head(from, ACK, flow.seq.wrapping_add(1), flow.last_ack);
                drop(flows);
                self.route(from, &request.write(b"request"));
            }
            return;
        }
        if flow.state == State::Open && packet.len() > 32 {
            flow.state = State::Answered;
            flow.is_answered = true;
            flow.last_ack = head.seq.wrapping_add(2);
            self.0.answered.fetch_add(1, Ordering::Relaxed);
            let fin = self.head(from, ACK | FIN, flow.seq.wrapping_add(8), flow.last_ack);
            drop(flows);
            self.route(from, &fin.write(b""));
        } else if head.flags & FIN != 0 {
            flow.state = State::Closed;
        }
    }
}

// ------------------------------------------------------------------------------------ processes

/// Program of the system, started as the deploy file says.
struct Program {
    child: Child,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
}

impl Program {
    fn start(role: &'static str, settings: &Path) -> Self {
        let log = settings.with_extension("log");
        let child = Self::spawn(role, settings, &log);
        Self {
            child,
            role,
            settings: settings.to_owned(),
            log,
        }
    }

    fn spawn(role: &str, settings: &Path, log: &Path) -> Child {
        let out = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        Command::new("target/release/monsoonrouter-platform")
            .args([role, "--metrics", "9464"])
            .env_clear()
            .env("MONSOONROUTER_CONFIG", settings)
            .stdout(Stdio::from(out.try_clone().expect("a log")))
            .stderr(Stdio::from(out))
            .spawn()
            .expect("the program starts")
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Replaces the seeds in the settings.
    fn set_seeds(&self, old: &[Ipv4Addr], new: &[Ipv4Addr]) {
        let line = |ips: &[Ipv4Addr]| {
            let seeds: Vec<_> = ips
                .iter()
                .map(|ip| format!("{ip}:{CONTROL_PORT}"))
                .collect();
            format!("seeds={}\n", seeds.join(","))
        };
        let text = std::fs::read_to_string(&self.settings).expect("the settings");
        std::fs::write(&self.settings, text.replace(&line(old), &line(new))).expect("the settings");
    }

    /// Starts the program again, with the settings in effect then.
    fn restart(&mut self) {
        let text = std::fs::read_to_string(&self.settings).expect("the settings");
        let text = text.replace("bootstrap=true", "bootstrap=false");
        std::fs::write(&self.settings, text).expect("the settings");
        self.child = Self::spawn(self.role, &self.settings, &self.log);
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Settings of a process in a small deployment of one zone.
fn settings(
    folder: &Path,
    node: &str,
    class: &str,
    ip: Ipv4Addr,
    seeds: &[Ipv4Addr],
    store: Ipv4Addr,
    service: &str,
) -> PathBuf {
    let seeds: Vec<_> = seeds
        .iter()
        .map(|ip| format!("{ip}:{CONTROL_PORT}"))
        .collect();
    let zone = if node.contains("-zb-") { "zb" } else { "za" };
    let mut text = format!(
        "node={node}\nrole=r\nclass={class}\nserves={class}\nip={ip}\nzone={zone}\nregion=ra\nzones.za=ra\nzones.zb=ra\n\
         listen.udp_addr={ip}:{PACKETS_PORT}\nlisten.ready={ip}:{READY_PORT}\nlisten.control={ip}:{CONTROL_PORT}\n\
         internal_port_range=7720,7735\nseeds={}\nbootstrap=true\nin_tolerance=false\nlimits.cpu_share=0.25\n\
         limits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n\
         discovery=local\nentry=announce\nheartbeat_ms=1200\n\
         contracts=base,drain,config,cost,recover,flows,places,platform\ntolerate.machines=2\ntolerate.zones=1\n\
         tolerate.regions=0\nbounds.seed_lag_s=3\nbounds.reuse_s=2\nbounds.contact_ms=4000\nbounds.ack_ms=5000\n\
         bounds.sync_s=4\nbounds.drain_ms=3000\nbounds.grace_s=6\nbounds.slack_ms=200\n\
         bounds.config_propagation_ms=3000\nbounds.revert_ms=250\nbounds.stretch_ms=12000\n\
         bounds.warmup_factor=1.5\nbounds.warmup_burst=5\nbounds.evacuation_ms=5000\nbounds.recover_s=12\n\
         bounds.flow_ms=2000\nbounds.flow_ttl_s=60\nhash=steady\nmode=agent\nplatform.addr={store}:{STORE_PORT}\n\
         platform.mode=objects\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n\
         platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n",
        seeds.join(",")
    );
    if class == "side" {
        text += &format!(
            "listen.outbound={ip}:{OUTBOUND_PORT}\napp={ip}:{APP_PORT}\nservice={service}\n"
        );
    }
    let path = folder.join(format!("{node}.conf"));
    std::fs::write(&path, text).expect("the settings can be written");
    path
}

fn config(
    version: u32,
    host: SocketAddrV4,
    service: &str,
    warmup_s: u64,
    warmup_per_s: u64,
) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{}\",\"path_prefix\":\"/{}/\",\"type\":\"idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":120,\"priority\":2,\"service\":\"{service}\",\"attempts\":2}}],\"services\":[{{\"name\":\"{service}\",\"health_path\":\"/health\",\"warmup_s\":{warmup_s}.0,\"warmup_per_s\":{warmup_per_s}.0}}],\"limits\":{{\"idle_timeout_ms\":12000}}}}",
        host.ip(),
        host.port()
    )
}

fn is_ready(ip: Ipv4Addr) -> bool {
    call(SocketAddrV4::new(ip, READY_PORT), "GET", "/ready", "") == Some(200)
}

// ---------------------------------------------------------------------------------------- cases

const WARMUP_S: u64 = 30;
const WARMUP_PER_S: u64 = 10;
/// `warmup_per_s` x `warmup_factor` + `warmup_burst`.
const COLD_LIMIT: usize = 20;

/// The most opening packets that were sent and arrived inside one second, and when.
fn busiest_second(taken: &[Taken]) -> (usize, f64) {
    let inside = |start: f64| {
        taken
            .iter()
            .filter(|t| t.sent >= start && t.arrived < start + 1.0)
            .count()
    };
    let mut most = (0, 0.0);
    for t in taken {
        let count = inside(t.sent);
        if count > most.0 {
            most = (count, t.sent);
        }
    }
    most
}

/// A cold endpoint, steady load, and restarts of the agent beside it after a kill.
fn cold_restart(folder: &Path, record: &Record, trouble: bool) -> i32 {
    let ip = |a, b| Ipv4Addr::new(127, network(), a, b);
    let (store_ip, fronts, side) = (ip(0, 1), [ip(1, 1), ip(1, 2)], ip(2, 1));
    let host = SocketAddrV4::new(ip(9, 1), 8443);
    let client_ips: Vec<_> = (1..=4).map(|n| ip(3, n)).collect();
    let store = Store::start(store_ip);
    store.put(
        "config",
        "main",
        &config(7, host, "svc-a", WARMUP_S, WARMUP_PER_S),
    );
    let clients = Clients::start(&client_ips, host, &fronts, record);
    let mut programs = Vec::new();
    for (n, &front) in fronts.iter().enumerate() {
        let path = settings(
            folder,
            &format!("front-za-{}", n + 1),
            "front",
            front,
            &fronts,
            store_ip,
            "",
        );
        programs.push(Program::start("balancer", &path));
    }
    let path = settings(
        folder,
        "side-za-1",
        "side",
        side,
        &fronts,
        store_ip,
        "svc-a",
    );
    let mut agent = Program::start("agent", &path);
    let deadline = Instant::now() + ms(10_000);
    while !fronts.iter().all(|&front| is_ready(front)) {
        if Instant::now() > deadline {
            record.line("the balancers are not ready");
            return 2;
        }
        sleep(ms(100));
    }
    sleep(ms(2_000));
    let endpoint = Endpoint::start(
        side,
        "za",
        "svc-a",
        Duration::from_secs(WARMUP_S),
        &clients,
        record,
    );
    let started = Instant::now();
    sleep(ms(700));
    let mut kills: Vec<u64> = (0..5).map(|n| 4_000 + n * 4_800).rev().collect();
    let mut port = 1_024_u16;
    let mut restart_at = None;
    while started.elapsed() < ms(WARMUP_S * 1_000 - 500) {
        // 60 requests a second.
        for &client in &client_ips[..1 + usize::from(port % 2)] {
            clients.open(SocketAddrV4::new(client, port));
        }
        port += 1;
        sleep(ms(25));
        // A process is killed while its endpoint gets work.
        let recent = |taken: &[Taken]| {
            taken
                .iter()
                .rev()
                .filter(|t| t.arrived > record.at() - 0.4)
                .count()
        };
        let is_due = kills.last().is_some_and(|&at| started.elapsed() >= ms(at));
        if trouble && is_due && recent(&endpoint.taken.lock().unwrap()) >= 15 {
            kills.pop();
            agent.kill();
            record.line("the process beside the endpoint is killed");
            restart_at = Some(Instant::now() + ms(200));
        }
        if restart_at.is_some_and(|at| Instant::now() >= at) {
            restart_at = None;
            agent.restart();
            record.line("the process beside the endpoint is started again");
        }
    }
    let taken = endpoint.taken.lock().unwrap().clone();
    let answered = clients.0.answered.load(Ordering::Relaxed);
    let (most, at) = busiest_second(&taken);
    record.line(&format!(
        "result: {} opening packets at the cold endpoint, {answered} requests answered; at most {most} in the second from {at:.4}, allowed are {COLD_LIMIT}",
        taken.len()
    ));
    println!(
        "at most {most} opening packets in a second at the cold endpoint, allowed {COLD_LIMIT}; {answered} answered"
    );
    if answered < 100 {
        return 2;
    }
    i32::from(most > COLD_LIMIT)
}

/// Time after which most requests are served again (`recover_s`).
const RECOVER: Duration = Duration::from_secs(12);
/// Machines that are removed for good before the final fault.
const REMOVED: u16 = 70;
/// Variable that sets another number of them, a multiple of [`BATCH`].
const REMOVED_VARIABLE: &str = "REMOVED";
/// Of these, how many run at once.
const BATCH: u16 = 35;

/// Requests that were sent from `from` until `to`, and how many of them were answered.
fn served(clients: &Clients, from: f64, to: f64) -> (usize, usize) {
    let flows = clients.0.flows.lock().unwrap();
    let sent = flows
        .values()
        .filter(|flow| flow.sent >= from && flow.sent < to);
    let is_answered =
        |flow: &&Flow| matches!(flow.state, State::Answered | State::Closed) && flow.is_answered;
    (sent.clone().count(), sent.filter(is_answered).count())
}

/// Opens 20 flows a second for a span of time.
fn press(clients: &Clients, client: Ipv4Addr, port: &mut u16, span: Duration) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        clients.open(SocketAddrV4::new(client, *port));
        *port += 1;
        sleep(ms(50));
    }
}

/// Many machines are removed for good, and then all processes are killed and start again.
fn replaced_machines(folder: &Path, record: &Record, trouble: bool) -> i32 {
    let ip = |a, b| Ipv4Addr::new(127, network(), a, b);
    let (store_ip, fronts, side) = (ip(0, 1), [ip(1, 1), ip(1, 2)], ip(2, 1));
    let host = SocketAddrV4::new(ip(9, 1), 8443);
    let client = ip(3, 1);
    let removed = |n: u16| ip(4 + (n / 200) as u8, (n % 200 + 1) as u8);
    let store = Store::start(store_ip);
    store.put("config", "main", &config(7, host, "svc-a", 2, 0));
    let clients = Clients::start(&[client], host, &fronts, record);
    let mut programs = Vec::new();
    for (n, &front) in fronts.iter().enumerate() {
        let node = format!("front-za-{}", n + 1);
        let path = settings(folder, &node, "front", front, &fronts, store_ip, "");
        programs.push(Program::start("balancer", &path));
    }
    let path = settings(
        folder,
        "side-za-1",
        "side",
        side,
        &fronts,
        store_ip,
        "svc-a",
    );
    programs.push(Program::start("agent", &path));
    let endpoint = Endpoint::start(side, "za", "svc-a", Duration::ZERO, &clients, record);
    let deadline = Instant::now() + ms(10_000);
    while !fronts.iter().all(|&front| is_ready(front)) {
        if Instant::now() > deadline {
            record.line("the balancers are not ready");
            return 2;
        }
        sleep(ms(100));
    }
    sleep(ms(3_000));
    let mut port = 1_024;
    let before = record.at();
    press(&clients, client, &mut port, ms(4_000));
    sleep(ms(2_000));
    let (sent, answered) = served(&clients, before, record.at());
    record.line(&format!(
        "before the final fault: {sent} requests sent, {answered} served"
    ));
    if answered * 4 < sent * 3 {
        return 2;
    }
    let count = std::env::var(REMOVED_VARIABLE)
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(REMOVED);
    if trouble {
        for batch in 0..count / BATCH {
            let range = batch * BATCH..(batch + 1) * BATCH;
            let mut machines = Vec::new();
            for n in range {
                let node = format!("front-zb-{}", n + 1);
                let path = settings(folder, &node, "front", removed(n), &fronts, store_ip, "");
                machines.push(Program::start("balancer", &path));
            }
            let deadline = Instant::now() + ms(8_000);
            let wanted = usize::from((batch + 1) * BATCH);
            while store.count("monsoon-balancers", "front-zb-") < wanted
                && Instant::now() < deadline
            {
                sleep(ms(100));
            }
            // They are removed without SIGTERM.
            drop(machines);
        }
        let listed = store.count("monsoon-balancers", "front-zb-");
        record.line(&format!(
            "{count} machines of zb were added and removed for good; {listed} in the store"
        ));
    }
    sleep(ms(5_000));
    let again = record.at();
    press(&clients, client, &mut port, ms(2_000));
    sleep(ms(2_000));
    let (sent, answered) = served(&clients, again, record.at());
    record.line(&format!(
        "after the removal: {sent} requests sent, {answered} served"
    ));
    for program in &mut programs {
        program.kill();
    }
    record.line("all processes are killed");
    sleep(ms(1_000));
    let seeds = match std::env::var("SEEDS") {
        Ok(value) if value == "valid" => fronts.to_vec(),
        _ => vec![removed(0), removed(1), removed(2)],
    };
    for program in &mut programs {
        program.set_seeds(&fronts, &seeds);
        program.restart();
    }
    let back = record.at();
    record.line(&format!(
        "all processes are started again, with the seeds {seeds:?}"
    ));
    press(&clients, client, &mut port, RECOVER + ms(24_000));
    let to = record.at();
    sleep(ms(2_000));
    let (sent, answered) = served(&clients, back + RECOVER.as_secs_f64(), to);
    record.line(&format!(
        "result: {sent} requests sent later than {} s after the machines were back, {answered} served; endpoint {} lives",
        RECOVER.as_secs(),
        endpoint.id
    ));
    println!(
        "{answered} of {sent} requests served later than {} s after the machines were back",
        RECOVER.as_secs()
    );
    i32::from(answered * 4 < sent)
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, folder, record] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let seed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_nanos() as u64;
    RANDOM.store(seed, Ordering::Relaxed);
    let record = Record::new(Path::new(record));
    let code = match case.as_str() {
        "cold-restart" => cold_restart(Path::new(folder), &record, trouble),
        "replaced-machines" => replaced_machines(Path::new(folder), &record, trouble),
        _ => 2,
    };
    std::process::exit(code);
}

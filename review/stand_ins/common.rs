//! What the cases share: the platform's store, replicas' entries, node processes, an HTTP/1.1 reader and
//! writer, and the record. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The exit code of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// The interval of replicas' entries, as in the settings.
pub const HEARTBEAT_MS: u64 = 1_200;

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run: lines with the time since its start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn open(path: &Path) -> Arc<Self> {
        let file = File::create(path).unwrap_or_else(|error| fail(&format!("no record: {error}")));
        Arc::new(Self {
            start: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now_ms = self.now_ms();
        let line = format!("{:>7}.{:03} s  {text}\n", now_ms / 1000, now_ms % 1000);
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ends the process because the case could not run.
pub fn fail(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(COULD_NOT_RUN);
}

extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Starts a process that is killed when the main thread of this one ends, however that comes about.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let end_with_parent = || match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    };
    // Only a system call is made between the fork and the start of the program.
    unsafe { command.pre_exec(end_with_parent) };
    command.spawn()
}

/// A small random generator (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        let mut random = Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
        for _ in 0..8 {
            random.next();
        }
        random
    }

    pub fn of_time() -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        Self::new(now.as_nanos() as u64 ^ u64::from(std::process::id()))
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }
}

/// The loopback addresses of one run: a number of hosts in 127.0.0.0/8 that no other run uses.
#[derive(Clone, Copy)]
pub struct Hosts {
    a: u8,
    b: u8,
}

impl Hosts {
    pub fn open() -> Self {
        let pid = std::process::id();
        Self {
            a: (pid >> 8) as u8,
            b: pid as u8,
        }
    }

    pub fn host(self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 20 + number, self.a, self.b)
    }
}

/// Binds a free port of a host.
pub fn listen(host: Ipv4Addr) -> TcpListener {
    TcpListener::bind((host, 0)).unwrap_or_else(|error| fail(&format!("can't listen: {error}")))
}

// ---------------------------------------------------------------- HTTP

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map_or("", |(_, value)| value)
}

fn bad(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

fn read_line(from: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    let length = from.read_until(b'\n', &mut line)?;
    if length == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

fn read_headers(from: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("a header"))?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads chunks up to the last one. What arrived before an error is kept in `body`.
fn read_chunks(from: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| bad("a chunk's size"))?;
        let mut chunk = vec![0; size];
        from.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk);
        let end = read_line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if !end.is_empty() {
            return Err(bad("a chunk's end"));
        }
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads a request. Returns `None` if the connection ended before one.
pub fn read_request(from: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(from)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(bad("a request line"));
    };
    let headers = read_headers(from)?;
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding") == "chunked" {
        read_chunks(from, &mut body)?;
    } else if let Ok(length) = header(&headers, "content-length").parse::<usize>() {
        body.resize(length, 0);
        from.read_exact(&mut body)?;
    }
    Ok(Some(Request {
        method: method.to_owned(),
        target: target.to_owned(),
        headers,
        body,
    }))
}

/// An answer as a client received it.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// True if the answer's framing says that it is whole.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }
}

/// Reads an answer up to its end or the loss of its connection.
pub fn read_answer(from: &mut impl BufRead) -> io::Result<Answer> {
    let line = read_line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| bad("a status line"))?;
    let headers = read_headers(from)?;
    let mut body = Vec::new();
    let is_whole = if header(&headers, "transfer-encoding") == "chunked" {
        read_chunks(from, &mut body).is_ok()
    } else if let Ok(length) = header(&headers, "content-length").parse::<usize>() {
        body.resize(length, 0);
        from.read_exact(&mut body).is_ok()
    } else {
        from.read_to_end(&mut body).is_ok()
    };
    Ok(Answer {
        status,
        headers,
        body,
        is_whole,
    })
}

/// Sends a request on a new connection and reads the answer. The connection is closed after `limit_ms`.
pub fn exchange(address: SocketAddr, text: &str, limit_ms: u64) -> io::Result<Answer> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(limit_ms)))?;
    (&stream).write_all(text.as_bytes())?;
    read_answer(&mut BufReader::new(&stream))
}

/// Builds an answer with a length.
pub fn answer_text(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// ---------------------------------------------------------------- the store

#[derive(Clone)]
struct Entry {
    at: Instant,
    key: String,
    value: Option<Vec<u8>>,
}

struct Log {
    topics: BTreeMap<String, Vec<Entry>>,
    era: u64,
    is_away: bool,
    connections: Vec<TcpStream>,
}

/// The platform's store: keyed topics with a history, which may come back from an older copy.
pub struct Store {
    pub address: SocketAddr,
    log: Mutex<Log>,
    changed: Condvar,
}

impl Store {
    pub fn open(host: Ipv4Addr) -> Arc<Self> {
        let listener = listen(host);
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            log: Mutex::new(Log {
                topics: BTreeMap::new(),
                era: 1,
                is_away: false,
                connections: Vec::new(),
            }),
            changed: Condvar::new(),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record. Returns false if the store is away.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) -> bool {
        let mut log = self.log.lock().unwrap();
        if log.is_away {
            return false;
        }
        let value = value.map(|text| text.as_bytes().to_vec());
        append(&mut log, topic, key.to_owned(), value);
        self.changed.notify_all();
        true
    }

    /// Closes all connections and answers nothing until [`Store::come_back`].
    pub fn go_away(&self) {
        let mut log = self.log.lock().unwrap();
        log.is_away = true;
        for connection in log.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
    }

    /// Returns with the contents of a copy that was made at `copied_at`, in the next era.
    pub fn come_back(&self, copied_at: Instant) {
        let mut log = self.log.lock().unwrap();
        for topic in log.topics.values_mut() {
            topic.retain(|entry| entry.at <= copied_at);
        }
        log.era += 1;
        log.is_away = false;
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        {
            let mut log = self.log.lock().unwrap();
            if log.is_away {
                return;
            }
            if let Ok(clone) = stream.try_clone() {
                log.connections.push(clone);
            }
        }
        let mut reader = BufReader::new(&stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let Some((status, body, era)) = self.answer(&request) else {
                break;
            };
            let era = era.to_string();
            let bytes = answer_text(status, &[("store-era", &era)], &body);
            if (&stream).write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Returns the status, the body and the era of the answer, or `None` if the store is away.
    fn answer(&self, request: &Request) -> Option<(&'static str, Vec<u8>, u64)> {
        let topic = request.query("topic").unwrap_or("").to_owned();
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let mut log = self.log.lock().unwrap();
        if log.is_away {
            return None;
        }
        match request.path() {
            "/bluebellpond/log-append" => {
                let Some(records) = decode_records(&request.body) else {
                    return Some(("400 Bad Request", Vec::new(), log.era));
                };
                let count = records.len();
                for (key, value) in records {
                    append(&mut log, &topic, key, value);
                }
                self.changed.notify_all();
                let end = log.topics.get(&topic).map_or(0, Vec::len);
                let body = format!("{{\"offset\":{},\"end\":{end}}}", end - count);
                Some(("200 OK", body.into_bytes(), log.era))
            }
            "/bluebellpond/log-newest" => Some(("200 OK", newest(&log, &topic), log.era)),
            "/bluebellpond/log-read" => {
                let from: usize = number("from").unwrap_or(0u64) as usize;
                let wait_ms: u64 = number("waitMs").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                loop {
                    let era = log.era;
                    let end = log.topics.get(&topic).map_or(0, Vec::len);
                    if from > end {
                        return Some(("410 Gone", b"{\"first\":0}".to_vec(), era));
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    if end > from || left.is_zero() {
                        return Some(("200 OK", slice(&log, &topic, from), era));
                    }
                    log = self.changed.wait_timeout(log, left).unwrap().0;
                    if log.is_away || log.era != era {
                        return None;
                    }
                }
            }
            _ => Some(("400 Bad Request", Vec::new(), log.era)),
        }
    }
}

fn append(log: &mut Log, topic: &str, key: String, value: Option<Vec<u8>>) {
    let entry = Entry {
        at: Instant::now(),
        key,
        value,
    };
    log.topics.entry(topic.to_owned()).or_default().push(entry);
}

fn decode_records(mut bytes: &[u8]) -> Option<Vec<(String, Option<Vec<u8>>)>> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let (length, rest) = bytes.split_first_chunk::<4>()?;
        let (content, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        let (key_length, content) = content.split_first()?;
        let (key, value) = content.split_at_checked(usize::from(*key_length))?;
        let value = (!value.is_empty()).then(|| value.to_vec());
        records.push((String::from_utf8_lossy(key).into_owned(), value));
        bytes = rest;
    }
    Some(records)
}

fn slice(log: &Log, topic: &str, from: usize) -> Vec<u8> {
    let entries = log.topics.get(topic).map(Vec::as_slice).unwrap_or_default();
    let mut bytes = (entries.len() as u64).to_be_bytes().to_vec();
    bytes.extend(0u64.to_be_bytes());
    for entry in entries.get(from..).unwrap_or_default() {
        let value = entry.value.as_deref().unwrap_or_default();
        let length = 1 + entry.key.len() + value.len();
        bytes.extend((length as u32).to_be_bytes());
        bytes.push(entry.key.len() as u8);
        bytes.extend(entry.key.as_bytes());
        bytes.extend(value);
    }
    bytes
}

fn newest(log: &Log, topic: &str) -> Vec<u8> {
    let entries = log.topics.get(topic).map(Vec::as_slice).unwrap_or_default();
    let mut by_key = BTreeMap::new();
    for (offset, entry) in entries.iter().enumerate() {
        by_key.insert(entry.key.as_str(), (offset, entry));
    }
    let listed = by_key.values().filter_map(|(offset, entry)| {
        let (key, value) = (&entry.key, base64(entry.value.as_ref()?));
        Some(format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"))
    });
    let items = listed.collect::<Vec<_>>().join(",");
    let end = entries.len();
    format!("{{\"items\":[{items}],\"hasMore\":false,\"end\":{end}}}").into_bytes()
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let get = |at: usize| u32::from(*group.get(at).unwrap_or(&0));
        let bits = get(0) << 16 | get(1) << 8 | get(2);
        for at in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * at)) as usize & 63];
            text.push(if at <= group.len() { letter as char } else { '=' });
        }
    }
    text
}

// ---------------------------------------------------------------- entries of replicas

/// Returns the text of a replica's entry.
pub fn entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    state: &str,
    sequence: u64,
    born: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}}}"
    )
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}

// ---------------------------------------------------------------- nodes

/// The zones of the deployment, one node in each.
pub const ZONES: [&str; 3] = ["galway-a", "galway-b", "ennis-c"];

/// A node's process, which is killed when this is dropped.
pub struct Node {
    child: Child,
    pub frontend: SocketAddr,
    ready: SocketAddr,
}

impl Node {
    pub fn spawn(folder: &Path, number: u8, hosts: Hosts, store: SocketAddr) -> Self {
        let host = hosts.host(number);
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let seeds: Vec<String> = (0..3).map(|n| format!("\"{}:8229\"", hosts.host(n))).collect();
        let seeds = seeds.join(",");
        let text = format!(
            r#"{{"nodeName":"front-{zone}-{number}","role":"node","machineClass":"front",
"serves":["front","control"],"ip":"{host}","zone":"{zone}","region":"eire-west",
"zones":{{"galway-a":"eire-west","galway-b":"eire-west","ennis-c":"eire-west"}},
"listen":{{"frontend":"{host}:8227","ready":"{host}:8220","control":"{host}:8229"}},
"internalPortRange":[7340,7355],"seeds":[{seeds}],"bootstrap":true,"faultCounted":false,
"limits":{{"cpuShare":0.25,"cpuCores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":{HEARTBEAT_MS},
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"],
"faultTolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"addressReuseS":2,"stableWindowMs":3000,"ackTimeoutMs":4000,"catchUpS":4,
"drainMs":2000,"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,
"maxStretchMs":5000,"revokeStrict":false,"revokeMs":5000,"retryBudgetRatio":0.2,"retryWindowS":10,
"retryBudgetExtra":106,"recoverS":12,"passMs":120,"retryAfterS":0,"stall_ms":1500,"maxHoldMs":20000,
"freeMs":4000,"maxIdleMs":9000}},
"platform":{{"address":"{store}","form":"log","writesPerS":400,"readsPerS":2000,"parts":12,
"appendMs":2.0,"partMbS":20.0,"readMbS":80.0,"recordBytes":262144,"callBytes":2097152,"keep_s":300,
"partMb":200,"minTtlMs":1000}}}}"#
        );
        let boot = folder.join(format!("node-{number}.json"));
        let log = File::create(folder.join(format!("node-{number}.log")));
        let log = log.unwrap_or_else(|error| fail(&format!("no log: {error}")));
        if let Err(error) = std::fs::write(&boot, text) {
            fail(&format!("no settings file: {error}"));
        }
        let mut command = Command::new("target/release/bluebellpond");
        let command = command.arg("front").env("BLUEBELLPOND_BOOT", &boot);
        let child = spawn(command.stdin(Stdio::null()).stdout(log).stderr(Stdio::null()));
        Self {
            child: child.unwrap_or_else(|error| fail(&format!("no node: {error}"))),
            frontend: SocketAddr::from((host, 8227)),
            ready: SocketAddr::from((host, 8220)),
        }
    }

    pub fn is_ready(&self) -> bool {
        let text = "GET /bluebellpond/ready HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
        exchange(self.ready, text, 500).is_ok_and(|answer| answer.status == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts one node in each zone and waits until all are ready.
pub fn spawn_nodes(folder: &Path, hosts: Hosts, store: SocketAddr) -> Vec<Node> {
    let spawn = |number| Node::spawn(folder, number, hosts, store);
    let nodes: Vec<Node> = (0..3).map(spawn).collect();
    let until = Instant::now() + Duration::from_secs(15);
    while !nodes.iter().all(Node::is_ready) {
        if Instant::now() > until {
            drop(nodes);
            fail("the nodes aren't ready");
        }
        sleep_ms(100);
    }
    nodes
}

/// A temporary folder, which is removed when this is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn open() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        if let Err(error) = std::fs::create_dir_all(&path) {
            fail(&format!("no temporary folder: {error}"));
        }
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

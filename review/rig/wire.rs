//! JSON, base64 and HTTP/1.1 for the stand-ins, with the standard library only.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            text: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.text.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        match self {
            Json::Map(map) => map.get(key).unwrap_or(NULL),
            _ => NULL,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    pub fn int(&self) -> Option<u64> {
        match self {
            Json::Num(number) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.text.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.text[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.text.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut map = BTreeMap::new();
                if self.eat(b'}').is_some() {
                    return Some(Json::Map(map));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.eat(b':')?;
                    map.insert(key, self.value()?);
                    if self.eat(b',').is_none() {
                        self.eat(b'}')?;
                        return Some(Json::Map(map));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.eat(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.eat(b',').is_none() {
                        self.eat(b']')?;
                        return Some(Json::List(list));
                    }
                }
            }
            b'"' => self.string().map(Json::Str),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                let is_part = |byte: &u8| b"+-.eE0123456789".contains(byte);
                while self.text.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                text.parse().ok().map(Json::Num)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let letter = char::from_u32(code.ok()?).unwrap_or('?');
                            out.extend(letter.to_string().into_bytes());
                        }
                        other => out.push(other),
                    }
                }
                _ => out.push(byte),
            }
        }
    }
}

/// Quotes a string for JSON.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' | '\\' => {
                out.push('\\');
                out.push(letter);
            }
            letter if (letter as u32) < 32 => {
                let _ = write!(out, "\\u{:04x}", letter as u32);
            }
            letter => out.push(letter),
        }
    }
    out.push('"');
    out
}

const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0u32;
        for at in 0..3 {
            word = word << 8 | u32::from(chunk.get(at).copied().unwrap_or(0));
        }
        for at in 0..4 {
            if at <= chunk.len() {
                out.push(char::from(ALPHABET[(word >> (18 - 6 * at) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|letter| *letter == byte) else {
            continue;
        };
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits & 255) as u8);
        }
    }
    out
}

/// A path between two parties, which can be cut: nothing passes then, and connections that were
/// open stay silent for good.
#[derive(Default)]
pub struct Gate {
    cut: AtomicBool,
    /// Incremented by each cut.
    cuts: AtomicU64,
}

impl Gate {
    pub fn set_cut(&self, cut: bool) {
        if cut {
            self.cuts.fetch_add(1, Ordering::SeqCst);
        }
        self.cut.store(cut, Ordering::SeqCst);
    }

    pub fn cuts(&self) -> u64 {
        self.cuts.load(Ordering::SeqCst)
    }

    /// Returns true if a connection that was opened after that many cuts still works.
    pub fn is_open(&self, since: u64) -> bool {
        !self.cut.load(Ordering::SeqCst) && self.cuts() == since
    }
}

/// A request, as a server reads it.
#[derive(Clone)]
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map_or("", |(_, value)| value)
    }
}

/// What a server does with a request.
pub enum Answer {
    Reply(u16, String),
    /// The connection stays open and silent.
    Silence,
    /// The connection is closed.
    Close,
}

pub type Handler = Arc<dyn Fn(&Request) -> Answer + Send + Sync>;

/// The open connections of a server, to break them.
pub type Connections = Arc<Mutex<Vec<TcpStream>>>;

/// Serves a handler on a free loopback port, behind a gate.
pub fn serve(gate: Arc<Gate>, connections: Connections, handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let (gate, handler) = (Arc::clone(&gate), Arc::clone(&handler));
            if let Ok(copy) = stream.try_clone() {
                connections.lock().unwrap().push(copy);
            }
            thread::spawn(move || {
                let _ = serve_connection(stream, &gate, &handler);
            });
        }
    });
    address
}

fn serve_connection(stream: TcpStream, gate: &Gate, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let since = gate.cuts();
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((head, body)) = read_message(&mut reader)? {
        let path = head[0].split(' ').nth(1).unwrap_or_default();
        let request = Request {
            path: path.to_owned(),
            headers: split_headers(&head),
            body,
        };
        let answer = if gate.is_open(since) {
            handler(&request)
        } else {
            Answer::Silence
        };
        match answer {
            Answer::Reply(status, body) if gate.is_open(since) => {
                let text = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                writer.write_all(text.as_bytes())?;
            }
            Answer::Close => {
                let _ = writer.shutdown(Shutdown::Both);
                return Ok(());
            }
            _ => {
                // Reads without ever answering, until the other side closes.
                let mut sink = [0u8; 4096];
                while reader.read(&mut sink)? > 0 {}
                return Ok(());
            }
        }
    }
    Ok(())
}

fn split_headers(head: &[String]) -> Vec<(String, String)> {
    let lines = head[1..].iter().filter_map(|line| line.split_once(':'));
    lines
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect()
}

/// Reads the lines of the head, and the body.
fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<(Vec<String>, String)>> {
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            if head.is_empty() {
                continue;
            }
            break;
        }
        head.push(line);
    }
    let length = split_headers(&head)
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0usize);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((head, String::from_utf8_lossy(&body).into_owned())))
}

/// Sends one request on a connection of its own, and returns the status and the body.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    limit_ms: u64,
) -> io::Result<(u16, String)> {
    let limit = Duration::from_millis(limit_ms);
    let target: SocketAddr = address.parse().expect("an address with a port");
    let mut stream = TcpStream::connect_timeout(&target, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Deadline-Ms: {limit_ms}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let message = read_message(&mut BufReader::new(stream))?;
    let (head, body) = message.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head[0].split(' ').nth(1).and_then(|word| word.parse().ok());
    Ok((status.ok_or(io::ErrorKind::InvalidData)?, body))
}

/// Forwards connections to an address, behind a gate.
pub fn forward(gate: Arc<Gate>, target: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(near), gate, target) = (stream, Arc::clone(&gate), target.clone()) else {
                continue;
            };
            thread::spawn(move || {
                let since = gate.cuts();
                if !gate.is_open(since) {
                    // Behind a cut nothing answers; the connection is kept until its owner leaves.
                    let mut sink = [0u8; 4096];
                    while (&near).read(&mut sink).is_ok_and(|read| read > 0) {}
                    return;
                }
                let Ok(far) = TcpStream::connect(&target) else {
                    return;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else {
                    return;
                };
                let gate2 = Arc::clone(&gate);
                thread::spawn(move || pump(far2, near2, &gate2, since));
                pump(near, far, &gate, since);
            });
        }
    });
    address
}

fn pump(mut from: TcpStream, mut to: TcpStream, gate: &Gate, since: u64) {
    let mut buffer = [0u8; 65536];
    loop {
        match from.read(&mut buffer) {
            // What was sent before a cut is lost with the connection, also its end.
            Ok(read) if !gate.is_open(since) && read > 0 => {}
            Ok(read) if read > 0 => {
                if to.write_all(&buffer[..read]).is_err() {
                    return;
                }
            }
            _ => {
                if gate.is_open(since) {
                    let _ = to.shutdown(Shutdown::Write);
                }
                return;
            }
        }
    }
}

//! A small HTTP/1.1 server and client, one thread for each connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    /// The path with its query.
    pub target: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        all.find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        for pair in query.split('&') {
            if let Some((key, value)) = pair.split_once('=') {
                if key == name {
                    return percent_decode(value);
                }
            }
        }
        String::new()
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3);
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) if bytes[at] == b'%' => {
                out.push(byte);
                at += 3;
            }
            _ => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub enum Answer {
    Reply(u16, String),
    /// The connection stays open and silent.
    Silence,
}

/// The open connections of a server.
#[derive(Clone, Default)]
pub struct Connections(Arc<Mutex<Vec<TcpStream>>>);

impl Connections {
    pub fn close_all(&self) {
        for stream in self.0.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves on a free port of `ip`.
pub fn serve<H>(ip: &str, handler: H) -> (SocketAddr, Connections)
where
    H: Fn(&Request) -> Answer + Send + Sync + 'static,
{
    let listener = TcpListener::bind((ip, 0)).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let connections = Connections::default();
    let open = connections.clone();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                open.0.lock().unwrap().push(copy);
            }
            let handler = Arc::clone(&handler);
            let builder = thread::Builder::new().stack_size(256 << 10);
            let _ = builder.spawn(move || serve_connection(stream, &*handler));
        }
    });
    (address, connections)
}

fn serve_connection<H: Fn(&Request) -> Answer>(stream: TcpStream, handler: &H) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(&request) {
            Answer::Reply(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Answer::Silence => {
                let mut rest = [0; 1024];
                while matches!(reader.read(&mut rest), Ok(count) if count > 0) {}
                return;
            }
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let target = line.split_whitespace().nth(1)?.to_owned();
    let headers = read_headers(reader)?;
    let length = content_length(&headers);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { target, headers, body })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn content_length(headers: &[(String, String)]) -> usize {
    let mut all = headers.iter();
    let length = all.find(|(key, _)| key == "content-length");
    length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

/// Sends a client's request on a connection of its own. Returns the status, which is 0 if no complete
/// answer came in time, and the body.
pub fn call(address: SocketAddr, host: &str, method: &str, path: &str, body: &str, limit_ms: u64) -> (u16, String) {
    exchange(address, host, method, path, body, limit_ms).unwrap_or((0, String::new()))
}

fn exchange(
    address: SocketAddr,
    host: &str,
    method: &str,
    path: &str,
    body: &str,
    limit_ms: u64,
) -> Option<(u16, String)> {
    let limit = Duration::from_millis(limit_ms);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nDeadline-Ms: {limit_ms}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

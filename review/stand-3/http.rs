//! HTTP/1.1 over TCP: servers with a thread for each connection, and a client.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request as a server sees it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// The first request of its connection.
    pub is_first: bool,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        self.query
            .iter()
            .find(|(key, _)| key == name)
            .map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map_or("", |(_, value)| value)
    }
}

/// What a server does with a request: status and body, or nothing, which closes the connection.
pub type Answer = Option<(u16, String)>;

/// A server that can be stopped at once, with its connections.
pub struct Server {
    stop: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Server {
    pub fn start<F>(address: SocketAddr, handle: F) -> io::Result<Self>
    where
        F: Fn(&Request) -> Answer + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let stop = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::<TcpStream>::new()));
        let handle = Arc::new(handle);
        let (stopped, known) = (Arc::clone(&stop), Arc::clone(&streams));
        let accepting = thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    let mut known = known.lock().unwrap();
                    known.retain(|stream| stream.peer_addr().is_ok());
                    known.push(copy);
                }
                let (handle, stopped) = (Arc::clone(&handle), Arc::clone(&stopped));
                thread::spawn(move || {
                    let _ = serve(&stream, &*handle, &stopped);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        Ok(Self {
            stop,
            streams,
            accepting: Some(accepting),
        })
    }

    /// Stops listening and breaks all connections. Nothing that is still being handled is answered.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(
    stream: &TcpStream,
    handle: &(impl Fn(&Request) -> Answer + ?Sized),
    stopped: &AtomicBool,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream.try_clone()?;
    let mut is_first = true;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split_whitespace();
        let (Some(method), Some(target)) = (words.next(), words.next()) else {
            return Ok(());
        };
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            Some((key.to_owned(), percent_decode(value)))
        });
        let mut request = Request {
            method: method.to_owned(),
            path: path.to_owned(),
            query: query.collect(),
            headers: Vec::new(),
            body: String::new(),
            is_first: std::mem::take(&mut is_first),
        };
        let mut length = 0;
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let Some((name, value)) = line.trim().split_once(':') else {
                break;
            };
            let (name, value) = (name.to_ascii_lowercase(), value.trim().to_owned());
            if name == "content-length" {
                length = value.parse().unwrap_or(0);
            }
            request.headers.push((name, value));
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        request.body = String::from_utf8_lossy(&body).into_owned();
        let Some((status, text)) = handle(&request) else {
            return Ok(());
        };
        if stopped.load(Ordering::SeqCst) {
            return Ok(());
        }
        let reply = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        writer.write_all(reply.as_bytes())?;
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a connection of its own; an error if no complete answer comes in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    wait: Duration,
) -> io::Result<(u16, String)> {
    let until = Instant::now() + wait;
    let mut stream = TcpStream::connect_timeout(&address, wait)?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        head.push_str("Content-Type: application/json\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(head.as_bytes())?;
    let mut answer = Vec::new();
    let mut buf = [0; 16384];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        let count = stream.read(&mut buf)?;
        answer.extend_from_slice(&buf[..count]);
        let text = String::from_utf8_lossy(&answer);
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length")
                    .then(|| value.trim().parse::<usize>().ok())
                    .flatten()
            });
            if rest.len() >= length.unwrap_or(0) {
                let status = head.split_whitespace().nth(1);
                let status = status.and_then(|status| status.parse().ok());
                let status = status.ok_or(io::ErrorKind::InvalidData)?;
                return Ok((status, rest.to_owned()));
            }
        }
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

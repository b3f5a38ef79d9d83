//! HTTP/1.1 with one thread for each connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// A message head and its body; `None` at the end of the stream.
fn read_message(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>, String)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.to_owned(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_owned(), headers, String::from_utf8_lossy(&body).into_owned()))
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
            out.push(u8::from_str_radix(digits, 16).unwrap_or(b' '));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Serves requests until `is_gone` is set: then the port has no listener, and all channels end.
pub fn serve<F>(address: SocketAddr, is_gone: Arc<AtomicBool>, handler: F) -> std::io::Result<SocketAddr>
where
    F: Fn(Request) -> (u16, String) + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        let mut streams: Vec<TcpStream> = Vec::new();
        while !is_gone.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            let (Ok(()), Ok(kept)) = (stream.set_nonblocking(false), stream.try_clone()) else { continue };
            streams.push(kept);
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, handler.as_ref()));
        }
        drop(listener);
        for stream in streams {
            let _ = stream.shutdown(Shutdown::Both);
        }
    });
    Ok(address)
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> (u16, String)) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, headers, body) = read_message(&mut reader)?;
        let mut words = first.split(' ');
        let method = words.next()?.to_owned();
        let target = words.next()?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(key, value)| (decoded(key), decoded(value))).collect();
        let request = Request { method, path: decoded(path), query, headers, body };
        let (status, body) = handler(request);
        let length = body.len();
        let head = format!("HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n");
        writer.write_all(format!("{head}{body}").as_bytes()).ok()?;
    }
}

/// Connection of a client that sends one request after the other.
pub struct Client {
    address: SocketAddr,
    reader: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, reader: None }
    }

    /// Status and body; `None` without a whole answer in time, after which the channel is closed.
    pub fn call(&mut self, method: &str, path: &str, headers: &[(&str, String)], body: &str, timeout: Duration) -> Option<(u16, String)> {
        let answer = self.try_call(method, path, headers, body, timeout);
        if answer.is_none() {
            self.reader = None;
        }
        answer
    }

    fn try_call(&mut self, method: &str, path: &str, headers: &[(&str, String)], body: &str, timeout: Duration) -> Option<(u16, String)> {
        if self.reader.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, timeout).ok()?;
            stream.set_nodelay(true).ok()?;
            self.reader = Some(BufReader::new(stream));
        }
        let reader = self.reader.as_mut()?;
        reader.get_ref().set_read_timeout(Some(timeout)).ok()?;
        let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
        if !headers.iter().any(|(key, _)| key.eq_ignore_ascii_case("host")) {
            head.push_str(&format!("host: {}\r\n", self.address));
        }
        for (key, value) in headers {
            head.push_str(&format!("{key}: {value}\r\n"));
        }
        if !body.is_empty() {
            head.push_str("content-type: application/json\r\n");
        }
        reader.get_mut().write_all(format!("{head}\r\n{body}").as_bytes()).ok()?;
        let (first, headers, body) = read_message(reader)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let closes = |(key, value): &(String, String)| key.eq_ignore_ascii_case("connection") && value.eq_ignore_ascii_case("close");
        if headers.iter().any(closes) {
            self.reader = None;
        }
        Some((status, body))
    }
}

//! HTTP/1.1 over threads: a server for stand-ins, and single requests of clients.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn parameter(&self, name: &str) -> &str {
        let mut query = self.query.iter();
        query
            .find(|(parameter, _)| parameter == name)
            .map_or("", |(_, value)| value)
    }
}

#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub body: String,
}

/// Serves requests on a thread a connection.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(Request) -> Response + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    Ok(address)
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Response) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let response = handler(request);
        let text = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            response.status,
            response.body.len(),
            response.body
        );
        writer.write_all(text.as_bytes())?;
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), unescape(value)));
    let (headers, body) = read_rest(reader, false)?;
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    }))
}

fn read_rest(
    reader: &mut BufReader<TcpStream>,
    is_response: bool,
) -> io::Result<(Vec<(String, String)>, String)> {
    let mut headers = Vec::new();
    let mut length = None;
    let mut is_chunked = false;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let Some((name, value)) = line.split_once(':') else {
            continue;
        };
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            length = value.parse().ok();
        }
        is_chunked |= name.eq_ignore_ascii_case("transfer-encoding") && value == "chunked";
        headers.push((name.to_owned(), value.to_owned()));
    }
    let mut body = Vec::new();
    if is_chunked {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = length {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if is_response {
        reader.read_to_end(&mut body)?;
    }
    Ok((headers, String::from_utf8_lossy(&body).into_owned()))
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match escaped {
            Some(byte) => {
                out.push(byte);
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

/// What came of a client's request.
#[derive(Debug, Clone)]
pub enum Outcome {
    Answer(Response),
    /// No answer within the time that the client waits.
    NoAnswer,
    /// The channel broke, or could not be opened.
    Broken(#[allow(dead_code, reason = "it is printed")] String),
}

/// An open channel of a client to an entry.
pub struct Channel {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn send(&mut self, request: &Request) -> io::Result<()> {
        let mut text = format!("{} {} HTTP/1.1\r\n", request.method, request.path);
        for (name, value) in &request.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !request.body.is_empty() {
            text.push_str("Content-Type: application/json\r\n");
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", request.body.len()));
        text.push_str(&request.body);
        self.stream.write_all(text.as_bytes())
    }

    /// Waits for the answer until the client gives up.
    pub fn receive(&mut self, wait: Duration) -> Outcome {
        let until = Instant::now() + wait;
        let mut line = String::new();
        let left = until.saturating_duration_since(Instant::now());
        let left = left.max(Duration::from_millis(1));
        let _ = self.stream.set_read_timeout(Some(left));
        match self.reader.read_line(&mut line) {
            Ok(0) => return Outcome::Broken("closed".to_owned()),
            Ok(_) => {}
            Err(error) if is_timeout(&error) => return Outcome::NoAnswer,
            Err(error) => return Outcome::Broken(error.to_string()),
        }
        let status = line.split_whitespace().nth(1).and_then(|s| s.parse().ok());
        match read_rest(&mut self.reader, true) {
            Ok((_, body)) => Outcome::Answer(Response {
                status: status.unwrap_or(0),
                body,
            }),
            Err(error) => Outcome::Broken(error.to_string()),
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Sends one request on a new channel.
pub fn call(address: SocketAddr, request: &Request, wait: Duration) -> Outcome {
    let sent = Channel::open(address).and_then(|mut channel| {
        channel.send(request)?;
        Ok(channel)
    });
    match sent {
        Ok(mut channel) => channel.receive(wait),
        Err(error) => Outcome::Broken(error.to_string()),
    }
}

//! The platform's metadata store: rows, their feed, and the operator's desired state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::json::Json;
use crate::json::quoted;

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<RowKey, (String, u64)>,
    changes: Vec<(u64, RowKey, Option<String>)>,
    ver: u64,
}

#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<(Self, SocketAddr)> {
        let store = Self { rows: Arc::default(), started: Instant::now() };
        let served = store.clone();
        let address = http::serve(address, Arc::default(), move |request| served.handle(&request))?;
        Ok((store, address))
    }

    /// A row that the operator writes.
    pub fn put_operator(&self, key: &str, value: &str) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        let key = ("op".to_owned(), String::new(), key.to_owned());
        let value = base64(value.as_bytes());
        rows.rows.insert(key.clone(), (value.clone(), ver));
        rows.changes.push((ver, key, Some(value)));
        changed.notify_all();
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.commit(request),
            ("GET", "/rows-get") => self.range(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn commit(&self, request: &Request) -> (u16, String) {
        let Some(body) = Json::parse(&request.body) else { return (400, "{}".to_owned()) };
        let key = |row: &Json| {
            let part = |name: &str| row.text(name).unwrap_or_default().to_owned();
            (part("table"), part("part"), part("key"))
        };
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        for row in body.list("expect") {
            let present = rows.rows.get(&key(row)).map_or(0, |(_, ver)| *ver);
            if row.number("ver").unwrap_or(0.0) as u64 != present {
                return (412, "{\"rows\":[]}".to_owned());
            }
        }
        rows.ver += 1;
        let ver = rows.ver;
        for row in body.list("setKeys") {
            if ["op", "servers"].contains(&row.text("table").unwrap_or_default()) {
                return (403, "{}".to_owned());
            }
            let value = row.text("value").unwrap_or_default().to_owned();
            rows.rows.insert(key(row), (value.clone(), ver));
            rows.changes.push((ver, key(row), Some(value)));
        }
        for row in body.list("remove") {
            rows.rows.remove(&key(row));
            rows.changes.push((ver, key(row), None));
        }
        changed.notify_all();
        (200, format!("{{\"ver\":{ver},\"nowMs\":{}}}", self.now_ms()))
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let param = |name: &str| request.param(name).unwrap_or_default().to_owned();
        let (table, part, from, target) = (param("table"), param("part"), param("from"), param("target"));
        let (rows, _) = &*self.rows;
        let rows = rows.lock().unwrap();
        let found = rows.rows.range((table.clone(), part.clone(), from)..);
        let found = found.take_while(|((t, p, key), _)| *t == table && *p == part && (target.is_empty() || *key < target));
        let found: Vec<_> = found.map(|(key, (value, ver))| row(key, Some(value), *ver)).collect();
        (200, format!("{{\"rows\":[{}],\"hasMore\":false,\"ver\":{},\"nowMs\":{}}}", found.join(","), rows.ver, self.now_ms()))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let number = |name: &str| request.param(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let table = request.param("table").unwrap_or_default();
        let (after, wait_until) = (number("after"), Instant::now() + Duration::from_millis(number("waitMs")));
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        loop {
            let news = rows.changes.iter().filter(|(ver, key, _)| *ver > after && key.0 == table);
            let news: Vec<_> = news.map(|(ver, key, value)| row(key, value.as_deref(), *ver)).collect();
            let now = Instant::now();
            if !news.is_empty() || now >= wait_until {
                return (200, format!("{{\"rows\":[{}],\"ver\":{},\"nowMs\":{}}}", news.join(","), rows.ver, self.now_ms()));
            }
            rows = changed.wait_timeout(rows, wait_until - now).unwrap().0;
        }
    }
}

fn row(key: &RowKey, value: Option<&str>, ver: u64) -> String {
    let (table, part, name) = key;
    let value = match value {
        Some(value) => format!("\"value\":{}", quoted(value)),
        None => "\"removed\":true".to_owned(),
    };
    format!("{{\"table\":{},\"part\":{},\"key\":{},{value},\"ver\":{ver}}}", quoted(table), quoted(part), quoted(name))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(char::from(DIGITS[(word >> (18 - 6 * place) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

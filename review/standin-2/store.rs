//! Stand-in for the platform's metadata store: rows only.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::http::Response;
use crate::json::Json;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (String, i128)>,
    /// Version of the last change of each row that was ever written.
    changed: BTreeMap<Key, i128>,
    version: i128,
}

#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let mut store = Self {
            rows: Arc::default(),
            started: Instant::now(),
            address,
        };
        let handler = store.clone();
        store.address = http::serve(address, move |request| handler.handle(&request))
            .expect("the store's address is free");
        store
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows
            .insert(key.clone(), (base64(value.as_bytes()), version));
        rows.changed.insert(key, version);
        changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Response {
        match request.path.as_str() {
            "/rows-get" => self.get(request),
            "/rows-feed" => self.feed(request),
            "/rows-tx" => self.transact(request),
            _ => answer(404, Json::Null),
        }
    }

    fn now_ms(&self) -> Json {
        Json::Int(self.started.elapsed().as_millis() as i128)
    }

    fn get(&self, request: &Request) -> Response {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, target) = (request.parameter("from"), request.parameter("target"));
        let rows = self.rows.0.lock().unwrap();
        let found = rows.rows.iter().filter(|((t, p, key), _)| {
            t == table
                && p == part
                && key.as_str() >= from
                && (target.is_empty() || key.as_str() < target)
        });
        let found = found.map(|(key, (value, version))| row(key, Some(value), *version));
        answer(
            200,
            object(vec![
                ("rows", Json::List(found.collect())),
                ("hasMore", Json::Bool(false)),
                ("ver", Json::Int(rows.version)),
                ("nowMs", self.now_ms()),
            ]),
        )
    }

    fn feed(&self, request: &Request) -> Response {
        let after: i128 = request.parameter("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.parameter("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let table = request.parameter("table");
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        loop {
            let mut found: Vec<_> = rows
                .changed
                .iter()
                .filter(|((t, _, _), version)| t == table && **version > after)
                .collect();
            found.sort_by_key(|(_, version)| **version);
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let found = found.into_iter().map(|(key, version)| {
                    row(key, rows.rows.get(key).map(|(value, _)| value), *version)
                });
                return answer(
                    200,
                    object(vec![
                        ("rows", Json::List(found.collect())),
                        ("ver", Json::Int(rows.version)),
                        ("nowMs", self.now_ms()),
                    ]),
                );
            }
            rows = changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> Response {
        let Some(body) = Json::parse(&request.body) else {
            return answer(400, Json::Null);
        };
        let key = |row: &Json| -> Key {
            let text = |name| row.get(name).text().unwrap_or_default().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let writes = body.get("setKeys").list().iter();
        if writes
            .chain(body.get("remove").list())
            .any(|row| matches!(row.get("table").text(), Some("op" | "servers")))
        {
            return answer(403, Json::Null);
        }
        let holds = body.get("expect").list().iter().all(|expected| {
            let version = rows
                .rows
                .get(&key(expected))
                .map_or(0, |(_, version)| *version);
            expected.get("ver").int() == Some(version)
        });
        if !holds {
            return answer(412, object(vec![("rows", Json::List(Vec::new()))]));
        }
        rows.version += 1;
        let version = rows.version;
        for set in body.get("setKeys").list() {
            let value = set.get("value").text().unwrap_or_default().to_owned();
            rows.rows.insert(key(set), (value, version));
            rows.changed.insert(key(set), version);
        }
        for removed in body.get("remove").list() {
            rows.rows.remove(&key(removed));
            rows.changed.insert(key(removed), version);
        }
        changed.notify_all();
        answer(
            200,
            object(vec![("ver", Json::Int(version)), ("nowMs", self.now_ms())]),
        )
    }
}

pub fn object(fields: Vec<(&str, Json)>) -> Json {
    let fields = fields.into_iter();
    Json::Object(
        fields
            .map(|(name, value)| (name.to_owned(), value))
            .collect(),
    )
}

pub fn answer(status: u16, body: Json) -> Response {
    Response {
        status,
        body: body.encode(),
    }
}

fn row(key: &Key, value: Option<&String>, version: i128) -> Json {
    let mut fields = vec![
        ("table", Json::Text(key.0.clone())),
        ("part", Json::Text(key.1.clone())),
        ("key", Json::Text(key.2.clone())),
        ("ver", Json::Int(version)),
    ];
    match value {
        Some(value) => fields.push(("value", Json::Text(value.clone()))),
        None => fields.push(("removed", Json::Bool(true))),
    }
    object(fields)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk
            .iter()
            .fold(0u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                out.push(char::from(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

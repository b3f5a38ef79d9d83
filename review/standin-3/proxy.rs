//! A proxy whose open channels can go silent for good, without a reset, while new ones work.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

/// Bytes that a silent channel takes: a peer that is gone takes none.
const RECEIVE_BUFFER_BYTES: i32 = 16 << 10;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

fn limit_receive_buffer(stream: &TcpStream) {
    // The value outlives the call, and its length is given.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER_BYTES, 4) };
}

#[derive(Clone, Default)]
pub struct Proxy {
    /// A flag of each channel that carries data; set, it is silent.
    open: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
    /// Both ends of the silent channels: they stay open.
    silent: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(address: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let proxy = Self::default();
        let served = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                limit_receive_buffer(&server);
                let flag = Arc::new(AtomicBool::new(false));
                served.open.lock().unwrap().push(Arc::clone(&flag));
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let (flag, silent) = (Arc::clone(&flag), Arc::clone(&served.silent));
                    thread::spawn(move || carry(from, to, &flag, &silent));
                }
            }
        });
        Ok(proxy)
    }

    /// All channels that are open now go silent.
    pub fn silence(&self) -> usize {
        let open = std::mem::take(&mut *self.open.lock().unwrap());
        let silenced = open.iter().filter(|flag| Arc::strong_count(flag) > 1 && !flag.swap(true, Ordering::Relaxed));
        silenced.count()
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream, is_silent: &AtomicBool, silent: &Mutex<Vec<TcpStream>>) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = from.read(&mut buffer);
        if is_silent.load(Ordering::Relaxed) {
            // What arrives is lost, nothing more is read, and neither end learns of the other's close.
            let mut silent = silent.lock().unwrap();
            silent.push(from);
            silent.push(to);
            return;
        }
        match read {
            Ok(bytes) if bytes > 0 && to.write_all(&buffer[..bytes]).is_ok() => {}
            _ => {
                let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
                return;
            }
        }
    }
}

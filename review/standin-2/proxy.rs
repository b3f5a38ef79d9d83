//! Passes bytes between a process and the store, until the path between them is cut.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

#[derive(Clone)]
pub struct Proxy {
    is_cut: Arc<AtomicBool>,
    pub address: SocketAddr,
}

impl Proxy {
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the proxy's address is free");
        let proxy = Self {
            is_cut: Arc::default(),
            address: listener.local_addr().expect("a bound address"),
        };
        let is_cut = Arc::clone(&proxy.is_cut);
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let is_cut = Arc::clone(&is_cut);
                std::thread::spawn(move || {
                    wait_while(&is_cut);
                    let Ok(server) = TcpStream::connect(target) else {
                        return;
                    };
                    let (Ok(to_server), Ok(to_client)) = (server.try_clone(), client.try_clone())
                    else {
                        return;
                    };
                    let other = Arc::clone(&is_cut);
                    std::thread::spawn(move || pass(client, to_server, &other));
                    pass(server, to_client, &is_cut);
                });
            }
        });
        proxy
    }

    /// Holds all bytes back in both directions, or lets them pass again.
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn wait_while(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buffer = [0; 16 << 10];
    while let Ok(bytes) = from.read(&mut buffer) {
        wait_while(is_cut);
        if bytes == 0 || to.write_all(&buffer[..bytes]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

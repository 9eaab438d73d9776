//! The link between the machines and a backend, which can be cut.
//!
//! While it is cut, what was sent on open connections is held up, and new connections hang. Bytes
//! that were held up are sent again as TCP does it: 200 ms after they were sent first, and then each
//! time after twice the time before, until the link carries them. If their sender resets the
//! connection, they are lost.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

unsafe extern "C" {
    fn listen(descriptor: i32, backlog: i32) -> i32;
}

/// First retransmission timeout of TCP.
const FIRST_TIMEOUT: Duration = Duration::from_millis(200);

/// A link to one backend.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    listener: Arc<TcpListener>,
    fillers: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    pub fn start(backend: SocketAddr, name: &str, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("address");
        listener.set_nonblocking(true).expect("listener");
        let link = Self {
            address: listener.local_addr().expect("address"),
            cut: Arc::default(),
            listener: Arc::new(listener),
            fillers: Arc::default(),
        };
        let (accepting, name, record) = (link.clone(), name.to_owned(), record.clone());
        thread::spawn(move || {
            loop {
                let accepted = if accepting.is_cut() {
                    None
                } else {
                    accepting.listener.accept().ok()
                };
                let Some((host, _)) = accepted else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let Ok(server) = TcpStream::connect(backend) else { continue };
                let _ = host.set_nonblocking(false);
                let _ = (host.set_nodelay(true), server.set_nodelay(true));
                for (from, to, way) in [(&host, &server, "to"), (&server, &host, "from")] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let (link, record) = (accepting.clone(), record.clone());
                    let name = format!("{way} {name}");
                    thread::spawn(move || link.pump(from, to, &name, &record));
                }
            }
        });
        link
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Cuts the link. The queue of new connections is filled, so that opening packets are dropped.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        // SAFETY: the descriptor is that of an open listener.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        for _ in 0..3 {
            let filler = TcpStream::connect_timeout(&self.address, Duration::from_millis(20));
            self.fillers.lock().unwrap().extend(filler);
        }
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.fillers.lock().unwrap().clear();
        // SAFETY: the descriptor is that of an open listener.
        unsafe { listen(self.listener.as_raw_fd(), 128) };
        self.cut.store(false, Ordering::SeqCst);
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, name: &str, record: &Record) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let count = match from.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(count) => count,
            };
            let sent = Instant::now();
            let mut wait = Duration::ZERO;
            let mut timeout = FIRST_TIMEOUT;
            while self.is_cut() {
                wait += timeout;
                timeout *= 2;
                thread::sleep((sent + wait).saturating_duration_since(Instant::now()));
            }
            if !wait.is_zero() {
                let reset = is_reset(&from);
                let line = String::from_utf8_lossy(&buffer[..count]);
                let line = line.lines().next().unwrap_or("").to_owned();
                let fate = if reset { "lost" } else { "arrives" };
                let late = sent.elapsed().as_millis();
                record.write(&format!("held up {late} ms {name}, {fate}: {line}"));
                if reset {
                    break;
                }
            }
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}

/// Returns true if the sender has reset the connection.
fn is_reset(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let result = stream.peek(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    matches!(result, Err(error) if error.kind() != ErrorKind::WouldBlock)
}

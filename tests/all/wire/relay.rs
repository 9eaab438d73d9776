//! UDP relay between two hosts that drops datagrams on request.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};

use futures_lite::future::or;
use smol::net::UdpSocket;
use smol::{Task, block_on};

use super::support::loopback;

#[derive(Debug)]
struct State {
    target: Mutex<SocketAddr>,
    drop_all: AtomicBool,
    drop_to_client: AtomicBool,
}

/// Relays the datagrams of one client to a target and back.
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    state: Arc<State>,
    _task: Task<()>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub fn new(target: SocketAddr) -> Self {
        let client_socket = block_on(UdpSocket::bind(loopback())).unwrap();
        let target_socket = block_on(UdpSocket::bind(loopback())).unwrap();
        let addr = client_socket.local_addr().unwrap();
        let state = Arc::new(State {
            target: Mutex::new(target),
            drop_all: AtomicBool::new(false),
            drop_to_client: AtomicBool::new(false),
        });
        let task = smol::spawn(relay_datagrams(
            client_socket,
            target_socket,
            Arc::clone(&state),
        ));
        Self {
            addr,
            state,
            _task: task,
        }
    }

    /// Returns the address to which the client connects.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Drops all datagrams until [`restore`](Self::restore).
    pub fn drop_all(&self) {
        self.state.drop_all.store(true, SeqCst);
    }

    /// Drops the datagrams to the client while `on` is true.
    pub fn drop_to_client(&self, on: bool) {
        self.state.drop_to_client.store(on, SeqCst);
    }

    /// Relays datagrams again, from now on to `target`.
    pub fn restore(&self, target: SocketAddr) {
        *self.state.target.lock().unwrap() = target;
        self.state.drop_all.store(false, SeqCst);
    }
}

async fn relay_datagrams(client_socket: UdpSocket, target_socket: UdpSocket, state: Arc<State>) {
    let client = Mutex::new(None);
    let to_target = async {
        let mut buf = vec![0; 65_536];
        while let Ok((len, from)) = client_socket.recv_from(&mut buf).await {
            *client.lock().unwrap() = Some(from);
            let target = *state.target.lock().unwrap();
            if !state.drop_all.load(SeqCst) {
                target_socket.send_to(&buf[..len], target).await.unwrap();
            }
        }
    };
    let to_client = async {
        let mut buf = vec![0; 65_536];
        while let Ok((len, from)) = target_socket.recv_from(&mut buf).await {
            let to = *client.lock().unwrap();
            let known = from == *state.target.lock().unwrap();
            let lost = state.drop_all.load(SeqCst) || state.drop_to_client.load(SeqCst);
            if let Some(to) = to.filter(|_| known && !lost) {
                client_socket.send_to(&buf[..len], to).await.unwrap();
            }
        }
    };
    or(to_target, to_client).await;
}

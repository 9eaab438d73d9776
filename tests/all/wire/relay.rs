//! A UDP relay that stands between two hosts and can lose everything.

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
    cut: AtomicBool,
    mute: AtomicBool,
}

/// Relays one client's datagrams to a target and back.
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    state: Arc<State>,
    _task: Task<()>,
}

impl Relay {
    /// A relay to `target`.
    pub fn new(target: SocketAddr) -> Self {
        let front = block_on(UdpSocket::bind(loopback())).unwrap();
        let back = block_on(UdpSocket::bind(loopback())).unwrap();
        let addr = front.local_addr().unwrap();
        let state = Arc::new(State {
            target: Mutex::new(target),
            cut: AtomicBool::new(false),
            mute: AtomicBool::new(false),
        });
        let task = smol::spawn(relay(front, back, Arc::clone(&state)));
        Self {
            addr,
            state,
            _task: task,
        }
    }

    /// Where the client connects.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Loses all datagrams from now on.
    pub fn cut(&self) {
        self.state.cut.store(true, SeqCst);
    }

    /// Loses the datagrams to the client while `on` holds.
    pub fn mute(&self, on: bool) {
        self.state.mute.store(on, SeqCst);
    }

    /// Delivers datagrams again, from now on to `target`.
    pub fn restore(&self, target: SocketAddr) {
        *self.state.target.lock().unwrap() = target;
        self.state.cut.store(false, SeqCst);
    }
}

async fn relay(front: UdpSocket, back: UdpSocket, state: Arc<State>) {
    let client = Mutex::new(None);
    let forth = async {
        let mut buf = vec![0; 65_536];
        while let Ok((len, from)) = front.recv_from(&mut buf).await {
            *client.lock().unwrap() = Some(from);
            let target = *state.target.lock().unwrap();
            if !state.cut.load(SeqCst) {
                back.send_to(&buf[..len], target).await.unwrap();
            }
        }
    };
    let reverse = async {
        let mut buf = vec![0; 65_536];
        while let Ok((len, from)) = back.recv_from(&mut buf).await {
            let to = *client.lock().unwrap();
            let known = from == *state.target.lock().unwrap();
            let lost = state.cut.load(SeqCst) || state.mute.load(SeqCst);
            if let Some(to) = to.filter(|_| known && !lost) {
                front.send_to(&buf[..len], to).await.unwrap();
            }
        }
    };
    or(forth, reverse).await;
}

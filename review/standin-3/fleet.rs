//! Processes of the system, started as the deploy file says.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::net::call;

/// A machine that runs `trefoild serve`.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// First and number of the ports that are tried, below those of outgoing connections.
const PORTS: (u32, u32) = (20_000, 12_000);

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// An address that is free for TCP and UDP.
fn free_address() -> SocketAddr {
    loop {
        let number = NEXT_PORT.fetch_add(1, Ordering::Relaxed) + std::process::id() * 37;
        let port = u16::try_from(PORTS.0 + number % PORTS.1).expect("port");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Machine {
    /// Prepares the settings of a machine, with the bounds of the small deployment.
    pub fn new(name: &str, zone: &str, store: SocketAddr, folder: &Path) -> Self {
        let [front, ready, peer, operator] = [(); 4].map(|()| free_address());
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "name: {name}\ndomain: {zone}\ncores: 0.2\ncaller: \"{front}\"\nready: \"{ready}\"\n\
             peer: \"{peer}\"\noperator: \"{operator}\"\nstore: \"{store}\"\nmemory-mb: 260\n\
             descriptors: 4100\nbounds:\n  drain-ms: 2000\n  config-apply-ms: 2000\n  grace-s: 6\n  \
             repeat-ratio: 0.2\n  repeat-fixed: 64\n  repeat-window-s: 10\n  hold-max-ms: 10000\n  \
             evacuate-ms: \n  warmup-overage: \n  warmup-slack: \n"
        );
        std::fs::write(&settings, text).expect("settings");
        Self {
            name: name.to_owned(),
            front,
            ready,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("log");
        let errors = log.try_clone().expect("log");
        let child = Command::new("target/release/trefoild")
            .arg("serve")
            .env("TREFOILCART_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("trefoild"));
    }

    /// Returns true if the machine says that it is ready.
    pub fn is_ready(&self) -> bool {
        let head = "GET /readyz HTTP/1.1\r\nhost: ready";
        let answer = call(self.ready, head, b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

//! Starts `trefoild serve` as the deploy file does, with settings of a small deployment.

use std::fs::{self, OpenOptions};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Wire;

/// Settings that differ between sites.
pub struct Site {
    pub zone: &'static str,
    pub drain_ms: u32,
    pub apply_ms: u32,
    pub grace_s: u32,
    pub budget_min: u32,
}

pub const MPTSA: Site =
    Site { zone: "ub-east", drain_ms: 2500, apply_ms: 2500, grace_s: 6, budget_min: 162 };

pub const SMAGM_LARGE: Site =
    Site { zone: "noreste-mty", drain_ms: 3000, apply_ms: 3000, grace_s: 10, budget_min: 630 };

/// A process of the deploy file. It is killed when it is dropped.
pub struct Host {
    child: Child,
    settings: PathBuf,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
}

/// Different ports that are free for TCP and UDP. All are held until the last one is found.
fn free_ports<const N: usize>() -> [SocketAddr; N] {
    let mut held = Vec::new();
    while held.len() < N {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let address = listener.local_addr().expect("address");
        if let Ok(socket) = UdpSocket::bind(address) {
            held.push((listener, socket, address));
        }
    }
    std::array::from_fn(|index| held[index].2)
}

fn spawn(settings: &Path) -> Child {
    let log = settings.with_extension("log");
    let log = OpenOptions::new().create(true).append(true).open(log).expect("log");
    Command::new("target/release/trefoild")
        .arg("serve")
        .env("TREFOILCART_NODE_FILE", settings)
        .stdout(log)
        .spawn()
        .expect("start trefoild")
}

impl Host {
    /// Starts a host whose settings and log lie in `folder`.
    pub fn start(folder: &Path, site: &Site, store: SocketAddr) -> Self {
        let name = format!("edge-{}-1", site.zone);
        let [caller, ready, peer, operator] = free_ports();
        let template = fs::read_to_string("deploy/settings.yaml").expect("template of the settings");
        let text = template
            .replace("{{nodeName}}", &name)
            .replace("{{zone}}", site.zone)
            .replace("{{limits.cpuShare}}", "0.5")
            .replace("{{bindAddrs.front}}", &caller.to_string())
            .replace("{{bindAddrs.ready}}", &ready.to_string())
            .replace("{{ip}}:{{internalPortRange.0}}", &peer.to_string())
            .replace("{{ip}}:9464", &operator.to_string())
            .replace("{{platform.address}}", &store.to_string())
            .replace("{{limits.memoryMb}}", "512")
            .replace("{{limits.maxFds}}", "8192")
            .replace("{{bounds.drainMs}}", &site.drain_ms.to_string())
            .replace("{{bounds.configApplyMs}}", &site.apply_ms.to_string())
            .replace("{{bounds.graceS}}", &site.grace_s.to_string())
            .replace("{{bounds.retryBudgetRatio}}", "0.2")
            .replace("{{bounds.retryBudgetMin}}", &site.budget_min.to_string())
            .replace("{{bounds.budgetWindowS}}", "10")
            .replace("{{bounds.holdMaxMs}}", "10000")
            .replace("{{bounds.evacuateMs}}", "")
            .replace("{{bounds.warmupOverage}}", "")
            .replace("{{bounds.warmupSlack}}", "");
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("write the settings");
        let child = spawn(&settings);
        Self { child, settings, caller, ready }
    }

    /// Waits until the host says that it is ready.
    pub fn wait_ready(&self, most: Duration) -> bool {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if let Ok(stream) = TcpStream::connect(self.ready) {
                let mut wire = Wire::new(stream);
                let asked = wire.send(b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n");
                if asked.is_ok() && wire.head().is_ok_and(|h| h.is_some_and(|h| h.status() == 200)) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns true while the process runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings.
    pub fn start_again(&mut self) {
        self.child = spawn(&self.settings);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A folder of its own for the settings and the logs, which is removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let folder = std::env::temp_dir().join(format!("trefoil-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("folder");
        Self(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

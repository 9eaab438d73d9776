//! Processes of the project: `trefoild serve` with settings from the template of the deploy file.

use std::fs::File;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use crate::http::Connection;
use crate::world::World;

pub struct Router {
    world: Arc<World>,
    child: Option<Child>,
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Router {
    /// Starts a process on an address of its own. Its files are in `folder`.
    pub fn start(
        world: &Arc<World>,
        name: &str,
        zone: &str,
        store: SocketAddr,
        folder: &str,
    ) -> Self {
        let ip = world.ip();
        let fields = [
            ("nodeName", name.to_owned()),
            ("zone", zone.to_owned()),
            ("limits.cpuShare", "0.2".to_owned()),
            ("limits.memoryMb", "260".to_owned()),
            ("limits.maxFds", "4100".to_owned()),
            ("bindAddrs.front", format!("{ip}:8548")),
            ("bindAddrs.ready", format!("{ip}:8542")),
            ("internalPortRange.0", "7540".to_owned()),
            ("ip", ip.to_string()),
            ("platform.address", store.to_string()),
            ("bounds.drainMs", "2000".to_owned()),
            ("bounds.configApplyMs", "2000".to_owned()),
            ("bounds.graceS", "6".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.retryBudgetMin", "62".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.holdMaxMs", "10000".to_owned()),
        ];
        let mut text = String::new();
        File::open("deploy/settings.yaml")
            .and_then(|mut f| f.read_to_string(&mut text))
            .expect("template of the settings");
        for (field, value) in fields {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        let settings = PathBuf::from(format!("{folder}/{name}.yaml"));
        std::fs::write(&settings, text).expect("settings");
        let log = PathBuf::from(format!("{folder}/{name}.log"));
        let mut router = Self {
            world: Arc::clone(world),
            child: None,
            name: name.to_owned(),
            ip,
            settings,
            log,
        };
        router.restart();
        router
    }

    /// Starts the process (again).
    pub fn restart(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("log");
        let child = Command::new("target/release/trefoild")
            .arg("serve")
            .env("TREFOILCART_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("target/release/trefoild, built by the deploy file"));
        self.world.note(&format!("router {} starts", self.name));
    }

    pub fn front(&self) -> SocketAddr {
        (self.ip, 8548).into()
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self, until: f64) -> bool {
        while self.world.now() < until {
            if self.is_ready() {
                self.world.note(&format!("router {} is ready", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let address: SocketAddr = (self.ip, 8542).into();
        let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut connection = Connection::new(stream);
        let sent =
            connection.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        sent.is_ok()
            && connection
                .read(true)
                .ok()
                .flatten()
                .is_some_and(|a| a.status() == 200)
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            self.world
                .note(&format!("router {} gets SIG{signal}", self.name));
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(child.id().to_string())
                .status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.world.note(&format!("router {} is killed", self.name));
        }
    }

    /// How the process has ended by itself, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

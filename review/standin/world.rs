//! Common state: time, the record, and free addresses.

use std::fmt::Write as _;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub struct World {
    start: Instant,
    lines: Mutex<Vec<String>>,
    next_ip: AtomicU8,
    next_id: AtomicU64,
}

impl World {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
            next_ip: AtomicU8::new(1),
            next_id: AtomicU64::new(1),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left));
        }
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.4} {text}", self.now());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let mut text = String::new();
        for line in lines {
            let _ = writeln!(text, "{line}");
        }
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("{path}: {error}");
        }
    }

    /// A loopback address that no other process of this run uses.
    pub fn ip(&self) -> Ipv4Addr {
        let [.., high, low] = std::process::id().to_be_bytes();
        Ipv4Addr::new(
            127,
            high | 0x40,
            low,
            self.next_ip.fetch_add(1, Ordering::SeqCst),
        )
    }

    pub fn request_id(&self) -> String {
        let n = self.next_id.fetch_add(1, Ordering::SeqCst);
        format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// A pseudo-random sequence.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
}

//! Keys that a backend holds, by the calls `/grant` and `/release`.

use std::sync::Mutex;
use std::time::{Duration, Instant};

struct Hold {
    from: u32,
    target: u32,
    fence: u64,
    until: Instant,
}

#[derive(Default)]
pub struct Keys(Mutex<Vec<Hold>>);

/// The number of a field in a flat JSON object.
fn number(body: &str, field: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{field}\":"))?;
    let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

impl Keys {
    /// Carries out a grant and returns the status of its answer.
    pub fn grant(&self, body: &[u8]) -> u16 {
        let body = String::from_utf8_lossy(body);
        let field = |name| number(&body, name);
        let (Some(from), Some(target)) = (field("from"), field("target")) else { return 400 };
        let (Some(fence), Some(hold)) = (field("fence"), field("holdMs")) else { return 400 };
        let (from, target) = (from as u32, target as u32);
        let mut holds = self.0.lock().expect("lock");
        let meets = |h: &Hold| h.from <= target && from <= h.target;
        if holds.iter().any(|h| meets(h) && h.fence > fence) {
            return 409;
        }
        let until = Instant::now() + Duration::from_millis(hold);
        holds.retain(|h| !(from <= h.from && h.target <= target));
        holds.push(Hold { from, target, fence, until });
        200
    }

    /// Ends the hold of a range. Work that runs is not waited for.
    pub fn release(&self, body: &[u8]) {
        let body = String::from_utf8_lossy(body);
        let field = |name| number(&body, name).unwrap_or(0) as u32;
        let (from, target) = (field("from"), field("target"));
        let now = Instant::now();
        let mut holds = self.0.lock().expect("lock");
        for hold in holds.iter_mut().filter(|h| from <= h.from && h.target <= target) {
            hold.until = now;
        }
    }

    pub fn holds(&self, key: u32) -> bool {
        let now = Instant::now();
        let holds = self.0.lock().expect("lock");
        holds.iter().any(|h| (h.from..=h.target).contains(&key) && now < h.until)
    }
}

//! The record of a run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines with their times, and counters.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
    counts: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record"))),
            counts: Arc::default(),
        }
    }

    pub fn write(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {text}");
    }

    pub fn count(&self, who: &str, what: &str) {
        *self.counts.lock().unwrap().entry(format!("{who}: {what}")).or_default() += 1;
    }

    pub fn write_counts(&self) {
        for (name, count) in self.counts.lock().unwrap().iter() {
            self.write(&format!("count  {name}  {count}"));
        }
    }
}

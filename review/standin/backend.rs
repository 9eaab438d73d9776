//! Backends: they register, beat, hold keys, and run requests.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{answer, Connection, Message};
use crate::store::Store;
use crate::world::{unix_ms, World};

/// How often a backend writes its entry (`heartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(870);

/// A request that a backend has run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: f64,
    pub id: String,
    pub backend: String,
    pub service: String,
    pub path: String,
    pub key: Option<u64>,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub work: Duration,
    /// How long it is slow after its start.
    pub warmup: Duration,
    pub sharded: bool,
}

struct Held {
    from: u64,
    to: u64,
    fence: u64,
    until: Instant,
}

/// A time in which a backend held keys.
#[derive(Debug, Clone)]
pub struct Hold {
    pub backend: String,
    pub from: u64,
    pub to: u64,
    pub fence: u64,
    pub start: f64,
    pub end: f64,
    /// It was granted by this order.
    pub order: String,
}

pub type Holds = Arc<Mutex<Vec<Hold>>>;

pub struct Backend {
    world: Arc<World>,
    store: Arc<Store>,
    pub spec: Spec,
    pub address: SocketAddr,
    runs: Runs,
    holds: Holds,
    born: AtomicU64,
    /// Number of restarts. Connections of an earlier life end.
    life: AtomicU64,
    down: AtomicBool,
    /// Connections of this life.
    streams: Mutex<Vec<TcpStream>>,
    start: Mutex<Instant>,
    sequence: AtomicU64,
    draining: AtomicBool,
    pub gone: AtomicBool,
    busy: Mutex<u32>,
    /// Highest fence of each key range granted, and the grants that hold.
    held: Mutex<Vec<Held>>,
    fences: Mutex<HashMap<u64, u64>>,
}

impl Backend {
    pub fn start(world: &Arc<World>, store: &Arc<Store>, runs: &Runs, spec: Spec) -> Arc<Self> {
        Self::start_with(world, store, runs, &Holds::default(), spec)
    }

    pub fn start_with(
        world: &Arc<World>,
        store: &Arc<Store>,
        runs: &Runs,
        holds: &Holds,
        spec: Spec,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((world.ip(), 0)).expect("bind a backend");
        let backend = Arc::new(Self {
            world: Arc::clone(world),
            store: Arc::clone(store),
            address: listener.local_addr().expect("address of a backend"),
            spec,
            runs: Arc::clone(runs),
            holds: Arc::clone(holds),
            born: AtomicU64::new(unix_ms()),
            life: AtomicU64::new(0),
            down: AtomicBool::new(false),
            streams: Mutex::default(),
            start: Mutex::new(Instant::now()),
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            gone: AtomicBool::new(false),
            busy: Mutex::new(0),
            held: Mutex::default(),
            fences: Mutex::default(),
        });
        world.note(&format!(
            "backend {} of service {} starts at {}",
            backend.spec.id, backend.spec.service, backend.address
        ));
        backend.beat();
        let shared = Arc::clone(&backend);
        std::thread::spawn(move || shared.listen(listener));
        let shared = Arc::clone(&backend);
        std::thread::spawn(move || shared.keep_beating());
        backend
    }

    /// Accepts connections. While the process is down there is no listener.
    fn listen(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if self.gone.load(Ordering::SeqCst) {
                return;
            }
            if self.down.load(Ordering::SeqCst) {
                listener = None;
                std::thread::sleep(Duration::from_millis(1));
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let Some(open) = &listener else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = open.set_nonblocking(true);
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let backend = Arc::clone(&self);
                    std::thread::spawn(move || backend.serve(Connection::new(stream)));
                }
                Err(_) => std::thread::sleep(Duration::from_micros(500)),
            }
        }
    }

    fn warmup_left(&self) -> Duration {
        self.spec
            .warmup
            .saturating_sub(self.start.lock().unwrap().elapsed())
    }

    /// Writes the entry in the store.
    pub fn beat(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let s = &self.spec;
        let text = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"warmupLeftMs\":{},\"sequence\":{sequence},\"born\":{}}}",
            s.service, self.address, s.zone, s.slots, self.warmup_left().as_millis(), self.born.load(Ordering::SeqCst),
        );
        self.store.set("keyed.servers", &s.id, Some(&text));
    }

    fn keep_beating(&self) {
        loop {
            // The entry also changes at the moment at which the backend is warm.
            let left = self.warmup_left();
            let pause = if left.is_zero() {
                HEARTBEAT
            } else {
                HEARTBEAT.min(left + Duration::from_millis(1))
            };
            std::thread::sleep(pause);
            if self.gone.load(Ordering::SeqCst) {
                return;
            }
            if !self.down.load(Ordering::SeqCst) {
                self.beat();
            }
        }
    }

    /// Crashes and starts again under its id and address after `pause`, with nothing kept.
    pub fn crash(&self, pause: Duration) {
        self.world
            .note(&format!("backend {} crashes", self.spec.id));
        self.down.store(true, Ordering::SeqCst);
        self.life.fetch_add(1, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let now = self.world.now();
        for held in self.held.lock().unwrap().drain(..) {
            self.end_hold(&held, now);
        }
        self.fences.lock().unwrap().clear();
        std::thread::sleep(pause);
        self.born.store(unix_ms(), Ordering::SeqCst);
        *self.start.lock().unwrap() = Instant::now();
        self.sequence.store(0, Ordering::SeqCst);
        self.down.store(false, Ordering::SeqCst);
        self.world.note(&format!(
            "backend {} starts again under its id",
            self.spec.id
        ));
        self.beat();
    }

    /// Records the end of a hold at `at`, or at its expiry if that was before.
    fn end_hold(&self, held: &Held, at: f64) {
        let now = self.world.now();
        let expiry = if held.until > Instant::now() {
            f64::MAX
        } else {
            now - held.until.elapsed().as_secs_f64()
        };
        let mut holds = self.holds.lock().unwrap();
        let open = holds.iter_mut().rev();
        for hold in open.filter(|h| {
            h.backend == self.spec.id && h.end == f64::MAX && h.from <= held.to && held.from <= h.to
        }) {
            hold.end = at.min(expiry);
        }
    }

    /// Reports that it leaves.
    pub fn drain(&self) {
        self.world
            .note(&format!("backend {} reports draining", self.spec.id));
        self.draining.store(true, Ordering::SeqCst);
        self.beat();
    }

    /// Leaves: the entry is removed.
    pub fn leave(&self) {
        self.world
            .note(&format!("backend {} is gone", self.spec.id));
        self.gone.store(true, Ordering::SeqCst);
        self.store.set("keyed.servers", &self.spec.id, None);
    }

    fn serve(&self, mut connection: Connection) {
        let life = self.life.load(Ordering::SeqCst);
        if let Ok(stream) = connection.stream.try_clone() {
            self.streams.lock().unwrap().push(stream);
        }
        let ended = || self.down.load(Ordering::SeqCst) || self.life.load(Ordering::SeqCst) != life;
        while let Ok(Some(request)) = connection.read(false) {
            if self.gone.load(Ordering::SeqCst) || ended() {
                return;
            }
            let answer = self.handle(&request);
            if ended() {
                return;
            }
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let own = self.spec.id.as_str();
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let named = request.header("x-target-instance");
        if named.is_some_and(|named| named != own) {
            return answer(
                421,
                &[
                    ("X-Request-Id", &id),
                    ("X-Instance-Id", own),
                    ("X-Not-Executed", "1"),
                ],
                b"",
            );
        }
        match request.path() {
            "/healthz" => return answer(200, &[("X-Instance-Id", own)], b""),
            "/grant" | "/release" => return self.order(request, &id),
            _ => {}
        }
        if id.is_empty() {
            return answer(400, &[("X-Not-Executed", "1"), ("X-Instance-Id", own)], b"");
        }
        let key = request
            .header("x-shard-key")
            .and_then(|v| v.parse::<u64>().ok());
        if self.spec.sharded {
            if !key.is_some_and(|key| self.holds(key)) {
                return answer(
                    421,
                    &[
                        ("X-Request-Id", &id),
                        ("X-Instance-Id", own),
                        ("X-Not-Executed", "1"),
                    ],
                    b"",
                );
            }
        }
        {
            let mut busy = self.busy.lock().unwrap();
            if *busy >= self.spec.slots * 5 {
                return answer(
                    503,
                    &[
                        ("X-Request-Id", &id),
                        ("X-Instance-Id", own),
                        ("X-Not-Executed", "1"),
                    ],
                    b"",
                );
            }
            *busy += 1;
        }
        let run = Run {
            at: self.world.now(),
            id: id.clone(),
            backend: own.to_owned(),
            service: self.spec.service.clone(),
            path: request.first.get(1).cloned().unwrap_or_default(),
            key,
        };
        self.world.note(&format!(
            "run      request {id} {} by backend {own} of service {}",
            run.path, run.service
        ));
        self.runs.lock().unwrap().push(run);
        std::thread::sleep(self.spec.work);
        *self.busy.lock().unwrap() -= 1;
        let body = format!("done by {own} for {id}");
        let seal = format!("{own}.{id}");
        answer(
            200,
            &[
                ("X-Request-Id", &id),
                ("X-Instance-Id", own),
                ("X-Response-Seal", &seal),
            ],
            body.as_bytes(),
        )
    }

    fn holds(&self, key: u64) -> bool {
        let held = self.held.lock().unwrap();
        held.iter()
            .any(|h| h.from <= key && key <= h.to && Instant::now() < h.until)
    }

    fn order(&self, order: &Message, id: &str) -> Vec<u8> {
        let body = String::from_utf8_lossy(&order.body).into_owned();
        let number = |name: &str| -> Option<u64> {
            let at = body.find(&format!("\"{name}\":"))? + name.len() + 3;
            let digits: String = body[at..]
                .chars()
                .take_while(char::is_ascii_digit)
                .collect();
            digits.parse().ok()
        };
        let own = self.spec.id.as_str();
        let (Some(from), Some(to), Some(fence)) =
            (number("from"), number("target"), number("fence"))
        else {
            return answer(400, &[("X-Request-Id", id), ("X-Instance-Id", own)], b"");
        };
        let mut held = self.held.lock().unwrap();
        let mut fences = self.fences.lock().unwrap();
        if order.path() == "/grant" {
            if (from..=to).any(|key| fences.get(&key).is_some_and(|seen| *seen > fence)) {
                return answer(409, &[("X-Request-Id", id), ("X-Instance-Id", own)], b"");
            }
            for key in from..=to {
                fences.insert(key, fence);
            }
            self.close_holds(&mut held, from, to);
            let until = Instant::now() + Duration::from_millis(number("holdMs").unwrap_or(0));
            held.push(Held {
                from,
                to,
                fence,
                until,
            });
            let hold = Hold {
                backend: own.to_owned(),
                from,
                to,
                fence,
                start: self.world.now(),
                end: f64::MAX,
                order: id.to_owned(),
            };
            self.holds.lock().unwrap().push(hold);
            self.world.note(&format!(
                "granted  {from} to {to} to {own} with fence {fence} for {} ms",
                number("holdMs").unwrap_or(0)
            ));
            return answer(200, &[("X-Request-Id", id), ("X-Instance-Id", own)], b"");
        }
        self.close_holds(&mut held, from, to);
        self.world.note(&format!(
            "released {from} to {to} by {own} with fence {fence}"
        ));
        answer(
            200,
            &[
                ("X-Request-Id", id),
                ("X-Instance-Id", own),
                ("X-Handover", "5c0e7a21d94b36f8"),
            ],
            b"",
        )
    }
}

impl Backend {
    /// Takes a range out of the held ones, and records the parts that stay as holds of their own.
    fn close_holds(&self, held: &mut Vec<Held>, from: u64, to: u64) {
        let now = self.world.now();
        for h in held.iter().filter(|h| h.from <= to && from <= h.to) {
            self.end_hold(h, now);
        }
        cut(held, from, to);
        let mut holds = self.holds.lock().unwrap();
        for h in held.iter().filter(|h| h.until > Instant::now()) {
            let known = holds.iter().any(|o| {
                o.backend == self.spec.id && o.end == f64::MAX && o.from == h.from && o.to == h.to
            });
            if !known {
                holds.push(Hold {
                    backend: self.spec.id.clone(),
                    from: h.from,
                    to: h.to,
                    fence: h.fence,
                    start: now,
                    end: f64::MAX,
                    order: "rest".to_owned(),
                });
            }
        }
    }

    /// Records the holds that have expired or still last.
    pub fn finish_holds(&self) {
        let held = self.held.lock().unwrap();
        for h in held.iter() {
            self.end_hold(h, self.world.now());
        }
    }
}

/// Takes a range out of the held ones.
fn cut(held: &mut Vec<Held>, from: u64, to: u64) {
    let mut rest = Vec::new();
    for h in held.drain(..) {
        if h.to < from || to < h.from {
            rest.push(h);
            continue;
        }
        if h.from < from {
            rest.push(Held {
                from: h.from,
                to: from - 1,
                fence: h.fence,
                until: h.until,
            });
        }
        if to < h.to {
            rest.push(Held {
                from: to + 1,
                to: h.to,
                fence: h.fence,
                until: h.until,
            });
        }
    }
    *held = rest;
}

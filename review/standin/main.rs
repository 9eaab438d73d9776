//! Stand-ins for the platform's store, backends and clients, and the cases that use them.
//!
//! `standin CASE RECORD` plays one case with real `trefoild serve` processes. It exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption
//! out.

mod backend;
mod cases;
mod client;
mod http;
mod router;
mod store;
mod world;

fn main() {
    let mut args = std::env::args().skip(1);
    let (case, record) = (
        args.next().unwrap_or_default(),
        args.next().unwrap_or_default(),
    );
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    std::process::exit(cases::run(&case, &record, trouble));
}

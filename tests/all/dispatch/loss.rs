//! Time from the freeze of an upstream to the release of its shards.

use std::time::Duration;

use trefoil_core::{Revision, Shard, Slots, Tick};
use trefoil_dispatch::health::{Health, HealthState, Probe};
use trefoil_dispatch::ownership::RENEWAL_INTERVAL;
use trefoil_dispatch::{Admission, Decision, Origin, Proof, Request, WallClock};

use super::ms;

/// Time until a probe is answered.
const ANSWER: Duration = Duration::from_millis(6);

/// Drives an upstream that freezes at `freeze` with a request in flight, and returns the tick at
/// which its shard may be released.
fn release_after(freeze: Tick) -> Tick {
    let builder = Admission::builder(WallClock::default())
        .slots(Slots(2))
        .proof(Proof::Grant);
    let mut admission = builder.build().expect("the charts load");
    let mut health = Health::new(Tick::default()).expect("the chart loads");
    let origin = Origin::New;
    admission
        .assign(Tick::default(), Shard(0), origin)
        .expect("a new shard");
    let mut answer: Option<(Tick, Probe)> = None;
    let mut renewal = Tick::default();
    let mut lost = false;
    for now in (0..20_000).map(ms) {
        if now == freeze {
            let request = Request::new(Shard(0), now.after(Duration::from_mins(1)));
            let Decision::Start(_) = admission.offer(now, request) else {
                panic!("an idle upstream starts a request");
            };
        }
        if let Some((_, probe)) = answer.take_if(|&mut (at, _)| at <= now) {
            health.on_probe_answered(now, probe);
        }
        if let Some(probe) = health.poll(now)
            && now.after(ANSWER) < freeze
        {
            answer = Some((now.after(ANSWER), probe));
        }
        if now >= renewal && health.may_grant() {
            let _granted = admission.renew_grant(now);
            renewal = now.after(RENEWAL_INTERVAL);
        }
        if health.state() == HealthState::Lost && !lost {
            lost = true;
            let _closed = admission.set_access(now, health.access());
            let to = "standby".parse().expect("a name");
            let revoked = admission.revoke(now, Shard(0), to, Revision(1));
            assert_eq!(revoked.expect("a served shard").len(), 0);
        }
        if !admission.poll(now).releases.is_empty() {
            return now;
        }
    }
    panic!("the shard is not released");
}

/// Guards against a key that is not served again within 4 s of a loss: the standby needs 0.3 s
/// more.
#[test]
fn frozen_upstream_releases_its_shards_in_time() {
    let freezes = (5000..5500).step_by(7).map(ms);
    let times: Vec<Duration> = freezes.map(|at| release_after(at).since(at)).collect();
    let (least, most) = (times.iter().min(), times.iter().max());
    println!("release of a frozen upstream after {least:?} to {most:?}");
    assert!(most < Some(&Duration::from_millis(3700)));
    // The last grant, which was sent at most 400 ms before the freeze, must have expired.
    assert!(least >= Some(&Duration::from_millis(1100)));
}

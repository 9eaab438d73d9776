//! Tests of the load meter.

use trefoil_core::KeyHash;
use trefoil_placement::Meter;

fn observe(meter: &mut Meter, key: u64, weight: u64) {
    meter.observe(KeyHash(key), weight);
}

/// Guards against a meter that reports random variation as a change of load, and against one that
/// reports a change late.
#[test]
fn random_variation_is_smoothed_and_changes_are_not() {
    let mut meter = Meter::new(2, 16, 0.75);
    observe(&mut meter, 0, 100);
    assert_eq!(meter.end_window(4).shards, [100.0, 0.0]);
    // A deviation of less than four standard deviations: a quarter of the difference is added.
    observe(&mut meter, 0, 120);
    assert_eq!(meter.end_window(4).shards, [105.0, 0.0]);
    // A deviation of more than four standard deviations: the new count replaces the load.
    observe(&mut meter, 0, 200);
    observe(&mut meter, 1, 50);
    assert_eq!(meter.end_window(4).shards, [200.0, 50.0]);
    assert_eq!(meter.end_window(4).shards, [0.0, 0.0]);
}

/// Guards against a key with an entry whose load counts as load of the shard's owner, because
/// hotter keys evicted the key from the sketch.
#[test]
fn tracked_keys_are_counted_exactly() {
    let mut meter = Meter::new(4, 2, 0.0);
    meter.track_keys([KeyHash(7)]);
    observe(&mut meter, 7, 3);
    (100..110).for_each(|key| observe(&mut meter, key, 50));
    let load = meter.end_window(1);
    let found: Vec<(u64, f64)> = load.hot.iter().map(|h| (h.key.0, h.load)).collect();
    assert_eq!(found[0], (7, 3.0));
    assert_eq!(load.shards, [150.0, 150.0, 100.0, 103.0]);
    meter.track_keys([]);
    assert_eq!(meter.end_window(1).hot, []);
}

/// Guards against load that is counted twice or lost when the meters of two hosts are merged, also
/// when one host does not track a key yet.
#[test]
fn merged_meters_add_up() {
    let mut meters = [Meter::new(4, 8, 0.0), Meter::new(4, 8, 0.0)];
    meters[0].track_keys([KeyHash(7)]);
    for meter in &mut meters {
        observe(meter, 7, 10);
        observe(meter, 8, 5);
    }
    let [mut left, right] = meters;
    left.merge(&right);
    let load = left.end_window(8);
    assert_eq!(load.shards, [10.0, 0.0, 0.0, 20.0]);
    let keys: Vec<u64> = load.hot.iter().map(|h| h.key.0).collect();
    assert_eq!(keys, [7, 8]);
}

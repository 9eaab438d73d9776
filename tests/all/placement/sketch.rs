//! Tests of the hot-key sketch.

use std::collections::BTreeMap;

use proptest::collection::vec;
use proptest::prelude::*;
use trefoil_core::KeyHash;
use trefoil_placement::HotKeys;
use trefoil_placement::sketch::DECAY_UNIT;

use super::seeded_runner;

type Exact = BTreeMap<u64, u64>;

fn observe_all(sketch: &mut HotKeys, exact: &mut Exact, keys: &[(u64, u64)]) {
    for &(key, weight) in keys {
        sketch.observe(KeyHash(key), weight);
        *exact.entry(key).or_default() += weight;
    }
}

/// Checks the bounds of every estimate. `scale / DECAY_UNIT` is the decay of the exact weights.
fn check_bounds(sketch: &HotKeys, exact: &Exact, scale: u64) -> Result<(), TestCaseError> {
    let counters = sketch.top(usize::MAX);
    prop_assert!(counters.len() <= sketch.capacity());
    for (&key, &weight) in exact {
        let (low, high) = match sketch.get(KeyHash(key)) {
            Some(e) => (e.count - e.error, e.count),
            None => (0, sketch.floor()),
        };
        let weight = weight * scale;
        prop_assert!(low * DECAY_UNIT <= weight && weight <= high * DECAY_UNIT);
    }
    Ok(())
}

fn stream() -> impl Strategy<Value = Vec<(u64, u64)>> {
    // Squares make small keys more frequent.
    vec(((0u64..12).prop_map(|k| k * k / 4), 1u64..50), 0..200)
}

/// Guards against an estimate outside its bounds after observations, a merge of sketches of
/// different capacities and decay.
#[test]
fn estimates_stay_in_bounds() {
    let input = (
        1usize..20,
        1usize..20,
        0u64..=DECAY_UNIT,
        stream(),
        stream(),
    );
    let check = |(left, right, keep, first, second): (_, _, _, Vec<_>, Vec<_>)| {
        let mut exact = Exact::new();
        let mut a = HotKeys::new(left);
        observe_all(&mut a, &mut exact, &first);
        check_bounds(&a, &exact, DECAY_UNIT)?;
        let error = a.total() / a.capacity() as u64;
        prop_assert!(a.top(usize::MAX).iter().all(|e| e.error <= error));
        let mut b = HotKeys::new(right);
        observe_all(&mut b, &mut exact, &second);
        a.merge(&b);
        check_bounds(&a, &exact, DECAY_UNIT)?;
        prop_assert_eq!(a.total(), exact.values().sum::<u64>());
        let bytes = postcard::to_stdvec(&a).expect("encodes");
        let mut a: HotKeys = postcard::from_bytes(&bytes).expect("decodes");
        a.decay(keep);
        check_bounds(&a, &exact, keep)
    };
    seeded_runner(256).run(&input, check).expect("bounds hold");
}

/// Guards against a sketch without a counter for a key that is heavier than the error bound.
#[test]
fn heavy_keys_are_found() {
    let mut sketch = HotKeys::new(64);
    for i in 0..2_000u64 {
        sketch.observe(KeyHash(i % 4), 1);
        sketch.observe(KeyHash(1_000 + i), 1);
    }
    let found: Vec<u64> = sketch.top(4).iter().map(|e| e.key.0).collect();
    assert_eq!(found, [0, 1, 2, 3]);
}

/// Guards against formerly hot keys that occupy the counters of new hot keys.
#[test]
fn decay_removes_old_keys() {
    let mut sketch = HotKeys::new(8);
    (0..8).for_each(|k| sketch.observe(KeyHash(k), 1_000));
    for _ in 0..12 {
        sketch.decay(DECAY_UNIT / 2);
        (100..108).for_each(|k| sketch.observe(KeyHash(k), 100));
    }
    assert!(sketch.top(8).iter().all(|e| e.key.0 >= 100));
    sketch.decay(0);
    assert_eq!((sketch.total(), sketch.top(8).len()), (0, 0));
}

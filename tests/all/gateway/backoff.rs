//! Waits between campaigns.

use std::time::Duration;

use trefoil_gateway::coordinator::Backoff;

/// Guards against hosts that depose each other for as long as they cannot hear of each other, and
/// against one that no longer campaigns after it was deposed a few times.
#[test]
fn the_wait_grows_with_each_loss_and_ends_after_a_stable_term() {
    let mut backoff = Backoff::default();
    let short = Duration::from_secs(1);
    let waits: Vec<Duration> = (0..6).map(|_| backoff.after_loss(short, 0.5)).collect();
    let expected = [500, 1000, 2000, 4000, 4000, 4000].map(Duration::from_millis);
    assert_eq!(waits, expected);
    let stable = Duration::from_secs(10);
    assert_eq!(backoff.after_loss(stable, 0.5), expected[0]);
}

/// Guards against hosts that lose at the same moment and campaign again at the same moment.
#[test]
fn the_wait_is_random() {
    let wait = |draw| Backoff::default().after_loss(Duration::ZERO, draw);
    assert_eq!(wait(0.0), Duration::from_millis(250));
    assert!(wait(0.99) > Duration::from_millis(740));
}

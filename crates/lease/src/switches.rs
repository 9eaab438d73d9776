//! Switches for tests that turn single mechanisms off.

/// Mechanisms that a test can turn off, to show that the checker then finds a violation.
///
/// The default, in which every mechanism is on, is the only value outside tests.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is independent of the others"
)]
pub struct Switches {
    /// The holder counts a promise from its arrival instead of from the heartbeat's send time.
    pub count_from_arrival: bool,
    /// The holder does not shorten promises by the clock drift.
    pub ignore_drift: bool,
    /// The holder sends heartbeats after its lease has ended.
    pub heartbeat_after_end: bool,
    /// The holder relies on the next generation without closing the current one.
    pub skip_closing: bool,
    /// The witness answers heartbeats with promises after it has attested the expiry.
    pub renew_after_attesting: bool,
    /// A fresh witness attests in its predecessor's place without waiting for a lease.
    pub skip_wait: bool,
    /// A fresh witness attests in its predecessor's place before it has read the log to its tail.
    pub skip_tail: bool,
    /// A fresh witness never attests in its predecessor's place.
    pub no_address_rule: bool,
    /// A fresh witness renews promises in its predecessor's place.
    pub renew_in_place: bool,
    /// A fresh witness attests the expiry of a generation that its predecessor may have closed.
    pub attest_outdated: bool,
    /// A successor acts on a majority of the newest generation even if the holder may not rely on
    /// it.
    pub skip_relied: bool,
    /// A successor acts on one attestation instead of a majority.
    pub any_attestation: bool,
    /// Rank 2 acts when rank 0 is lost, even if rank 1 is not.
    pub skip_rank: bool,
    /// A host acts in a new term before the hosts of earlier terms have renounced theirs.
    pub skip_renounce: bool,
    /// A host acts without a valid lease of its own.
    pub ignore_own_lease: bool,
}

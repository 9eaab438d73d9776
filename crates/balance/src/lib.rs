//! Load balancing and admission.
//!
//! Every host sends to every upstream, so no host alone knows how many requests an upstream has.
//! Hosts gossip their open requests and measured service times, which [`Tally`] sums up, and
//! [`Balancer`] predicts from the sums when an upstream would answer one more request. A request
//! goes to the upstream with the lowest predicted latency. If even that is too late for the caller,
//! the request is refused at once: a caller can retry after an early refusal, while a late answer
//! is worth little and delays the requests queued behind it. A request that could be in time and
//! finds no room waits in the host, in the order that [`Admission`] keeps.
//!
//! An upstream may state how many requests a second it takes from all hosts together. [`Limits`] keeps
//! all hosts together within that.
//!
//! An upstream that warms up may take very few. [`Issuer`] and [`Asks`] issue permits for single
//! requests to it.
//! An upstream that fails far more requests than the others of its service is ejected for a while, see
//! [`Outliers`].
//!
//! [`RetryBudget`] bounds the number of retries. The bound applies to all hosts together, so each
//! host uses a share of it.

mod admission;
mod balancer;
mod estimate;
mod health;
mod limits;
mod load;
mod outlier;
mod permit;
mod retry;
mod share;
mod tag;
mod tally;
mod tempo;
mod work;

pub use admission::{Admission, Class, Place, Prospect, Refusal, bounds, own_bound, return_time};
pub use balancer::{Balancer, Bound, Choice, Member, Requirement};
pub use estimate::Estimate;
pub use health::{Counts, HealthTally, Others};
pub use limits::{Fleet, LimitReport, LimitTally, Limits, Statement, Usage, without_own};
pub use load::{Load, Outcome};
pub use outlier::{Basis, Change, Decision, End, Outliers};
pub use permit::{Asks, Denial, Issuer, PERMIT_TTL, Permit, PermitLimit, PermitRefusal, Quorum};
pub use retry::RetryBudget;
pub use share::Occupancy;
pub use tag::Tag;
pub use tally::Tally;

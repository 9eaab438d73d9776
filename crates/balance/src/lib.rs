//! Which upstream gets a request, and whether any should.
//!
//! Every host sends to every upstream, so no host knows by itself how many requests an upstream has.
//! Hosts tell each other what they have open and how long answers took ([`Tally`] adds it up), and
//! [`Balancer`] predicts from the sum when an upstream would answer one more request. A request goes
//! to the upstream with the earliest prediction, and is refused at once if that is too late for its
//! caller: a refusal in time can be repeated, a late answer is worth little and makes the requests
//! behind it late as well.
//!
//! [`RetryBudget`] bounds how often requests are sent again. The bound holds for all hosts
//! together, so each host takes a share of it.

mod balancer;
mod estimate;
mod load;
mod retry;
mod tally;

pub use balancer::{Balancer, Choice, Member, Requirement};
pub use estimate::Estimate;
pub use load::{Load, Outcome};
pub use retry::RetryBudget;
pub use tally::Tally;

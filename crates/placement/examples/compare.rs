//! Prints the comparison of placements at today's sizes.
//!
//! `cargo run --release -p trefoil-placement --example compare [FIRST_SEED [SEEDS]]`

use trefoil_placement::baseline::{FirstPlanner, Greedy, KEEP, Named, Placer, Rendezvous};
use trefoil_placement::compare::{Scenario, objective, table};
use trefoil_placement::{Objective, Planner};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = std::env::args().skip(1);
    let first: u64 = args.next().map_or(Ok(1), |a| a.parse())?;
    let seeds: u64 = args.next().map_or(Ok(5), |a| a.parse())?;
    for scenario in [Scenario::monterrey(), Scenario::brekkestad()] {
        let objective = objective(&scenario);
        let mut free = objective;
        free.weights.churn = 0.0;
        let eager = Named {
            name: "planner, churn 0",
            keep: KEEP,
            placer: Planner::new(free).budget(1.0),
        };
        let equal = Named {
            name: "planner, equal weights",
            keep: KEEP,
            placer: Planner::new(Objective::default()),
        };
        let smoothed = Named {
            name: "greedy, smoothed load",
            keep: KEEP,
            placer: Greedy::default(),
        };
        let placers: [&dyn Placer; 7] = [
            &Rendezvous,
            &Greedy::default(),
            &smoothed,
            &eager,
            &equal,
            &FirstPlanner::new(objective),
            &Planner::new(objective),
        ];
        println!("{}", table(&scenario, placers, first..first + seeds)?);
    }
    Ok(())
}

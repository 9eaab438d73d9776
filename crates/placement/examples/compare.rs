//! Compares the placement strategies in both scenarios at today's sizes.
//!
//! `cargo run --release -p trefoil-placement --example compare [FIRST_SEED [SEEDS]]`

use trefoil_placement::baseline::{
    FirstPlanner, Greedy, HISTORY_WEIGHT, Named, PlacementStrategy, Rendezvous,
};
use trefoil_placement::compare::{Scenario, objective, render_table};
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
            history_weight: HISTORY_WEIGHT,
            strategy: Planner::new(free).churn_budget(1.0),
        };
        let equal = Named {
            name: "planner, equal weights",
            history_weight: HISTORY_WEIGHT,
            strategy: Planner::new(Objective::default()),
        };
        let smoothed = Named {
            name: "greedy, smoothed load",
            history_weight: HISTORY_WEIGHT,
            strategy: Greedy::default(),
        };
        let strategies: [&dyn PlacementStrategy; 7] = [
            &Rendezvous,
            &Greedy::default(),
            &smoothed,
            &eager,
            &equal,
            &FirstPlanner::new(objective),
            &Planner::new(objective),
        ];
        println!(
            "{}",
            render_table(&scenario, strategies, first..first + seeds)?
        );
    }
    Ok(())
}

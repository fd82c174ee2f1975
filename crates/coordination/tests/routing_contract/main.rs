//! Contract of the route planner: fault cases in tables, and coverage under any fleet.

mod load;
mod routes;
mod support;

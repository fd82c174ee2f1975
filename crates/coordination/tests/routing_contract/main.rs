//! Contract of the route planner: tables of fault cases, and completeness over random fleets.

mod load;
mod routes;
mod support;

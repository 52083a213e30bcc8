//! Load and experiment tools: bounded open-loop load on loopback, and experiments that compare
//! placement policies.
//!
//! [`load`] sends requests and measures what callers see; [`workload`] is the file format of the
//! load; [`site`] is a complete deployment in one process; [`experiment`] runs policies over a
//! range of loads; [`latency`] measures the latency that the router adds; [`report`] writes results
//! as CSV, SVG and text.

pub mod experiment;
pub mod latency;
pub mod load;
pub mod report;
pub mod site;
pub mod workload;

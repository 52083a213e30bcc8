//! The load and experiment tool: bounded open-loop load from loopback, and
//! experiments that put placement policies side by side.
//!
//! [`load`] sends requests and measures what callers see; [`workload`] is
//! the file format of what is sent; [`site`] is a whole deployment in one
//! process; [`experiment`] runs policies over a range of loads; [`report`]
//! writes what came out as CSV, SVG and text.

pub mod experiment;
pub mod latency;
pub mod load;
pub mod report;
pub mod site;
pub mod workload;

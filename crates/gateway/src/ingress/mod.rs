//! HTTP servers of the gateway: callers' connections, the load balancer's readiness checks and
//! operators' metrics.

mod accepted_request;
mod answer_body;
mod connection_end;
mod connection_limits;
mod find_route;
mod front_server;
mod head_stream;
mod head_timer;
mod read_call;
mod ready_server;

pub use self::front_server::serve_front;
pub use self::ready_server::serve_ready;

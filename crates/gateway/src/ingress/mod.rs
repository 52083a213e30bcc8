//! Callers' connections, and the balancer's and operators' questions.

mod find_route;
mod front_server;
mod read_call;
mod ready_server;

pub use self::front_server::serve_front;
pub use self::ready_server::serve_ready;
